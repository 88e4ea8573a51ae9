"""Detection of requests that crash replicas, and their broadcast to other VMs."""

import logging
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import AttemptReport, Placement
from hemlocktrestle.errors import RequestError
from hemlocktrestle.peers import PeerNetwork
from hemlocktrestle.quarantine import CrashLog, CrashReport, QuarantineRegistry
from hemlocktrestle.relay import ConnectTimeoutError, open_connection
from hemlocktrestle.wire import Message, PartTrial, Suspicion

log = logging.getLogger(__name__)

PROBE_DELAY_S = 0.05
"""Delay before a replica that closed a connection is probed, in seconds."""

PENDING_PROBES_MAX = 64
"""Replicas that may wait for a probe; more of them fail only in an outage."""

SEEN_SUSPICIONS_MAX = 4_096
"""Suspicions that are remembered, so that each is passed on and counted once."""

RESENT_SUSPICIONS_MAX = 64
"""Most suspicions of whole requests that are sent to a VM whose link has opened."""


class _SeenSuspicion(NamedTuple):
    suspicion: Suspicion
    at_ms: float


class _PendingProbe(NamedTuple):
    suspicion: Suspicion
    address: str


class CrashMonitor:
    """Distinguishes crashes from broken connections; broadcasts suspected requests.

    A replica that closed a connection without an answer is probed.  If it still
    accepts connections, only the connection broke; if not, the request that it ran
    is suspected of having crashed it.

    Args:
        quarantine: registry of suspected requests.
        network: links to other VMs.
        part_gate: records the parts of prompts that a crash may be blamed on.
    """

    def __init__(
        self,
        quarantine: QuarantineRegistry,
        network: PeerNetwork,
        part_gate: PartGate,
    ) -> None:
        self._part_gate = part_gate
        self._quarantine = quarantine
        self._network = network
        part_gate.trials.broadcast = self._broadcast
        self._crash_log = CrashLog()
        self._seen: dict[tuple[str, str], _SeenSuspicion] = {}
        self._probe_sender, self._probe_receiver = trio.open_memory_channel[
            _PendingProbe
        ](PENDING_PROBES_MAX)

    def on_replica_disconnected(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Queue a probe of a replica that closed the connection during a request."""
        suspicion = self._part_gate.create_suspicion(job, placement, report)
        try:
            self._probe_sender.send_nowait(_PendingProbe(suspicion, placement.address))
        except trio.WouldBlock:
            log.warning("broken_replicas_not_looked_at")
            self._part_gate.on_probed(suspicion)

    def on_message(self, vm: str, message: Message) -> None:
        """Record a suspicion or a trial of another VM, and forward it if it is new."""
        if isinstance(message, Suspicion):
            self._record_suspicion(message, source=vm)
        elif isinstance(message, PartTrial):
            self._part_gate.on_trial(vm, message)

    def on_link_opened(self, vm: str) -> None:
        """Send the crashes that another VM may not know: it may have restarted."""
        known = {
            (suspicion.fingerprint, suspicion.upstream, suspicion.request_id): suspicion
            for suspicion in (
                *self._known_suspicions(),
                *self._part_gate.known_suspicions(),
            )
        }
        for suspicion in known.values():
            if not self._network.reply(vm, suspicion):
                self._network.send(vm, suspicion)

    async def run(self) -> None:
        """Probe replicas that closed connections, until cancelled."""
        async with trio.open_nursery() as nursery:
            async for pending in self._probe_receiver:
                nursery.start_soon(self._probe, pending)

    async def _probe(self, pending: _PendingProbe) -> None:
        try:
            await self._probe_replica(pending)
        finally:
            self._part_gate.on_probed(pending.suspicion)

    async def _probe_replica(self, pending: _PendingProbe) -> None:
        await trio.sleep(PROBE_DELAY_S)
        try:
            stream = await open_connection(pending.address)
        except ConnectTimeoutError:
            # A crashed process refuses connections; no reply may be this VM's fault.
            log.info(
                "replica_probe_unanswered",
                extra={
                    "request": pending.suspicion.request_id,
                    "replica": pending.suspicion.upstream,
                },
            )
            return
        except RequestError:
            self._record_suspicion(pending.suspicion, source="")
            return
        # The replica still accepts connections, so it did not crash.
        await trio.aclose_forcefully(stream)

    def _broadcast(self, message: Message, skip: str) -> None:
        self._network.broadcast(message, skip=skip)

    def _record_suspicion(self, suspicion: Suspicion, *, source: str) -> None:
        at_ms = now_ms() - suspicion.age_ms
        report = CrashReport(suspicion.upstream, at_ms - suspicion.ran_ms, at_ms)
        crash = self._crash_log.identify(report)
        self._part_gate.record_crash(suspicion, crash=crash, source=source)
        key = (crash, suspicion.fingerprint)
        if key in self._seen:
            return
        self._seen[key] = _SeenSuspicion(suspicion, at_ms)
        if len(self._seen) > SEEN_SUSPICIONS_MAX:
            del self._seen[next(iter(self._seen))]
        if self._quarantine.answered_ms(suspicion.fingerprint) >= report.began_ms:
            log.info(
                "request_not_suspected",
                extra={
                    "request": suspicion.request_id,
                    "replica": suspicion.upstream,
                    "crash": crash,
                    "source": source,
                    "reason": "answered since it was sent",
                },
            )
        else:
            self._suspect(suspicion, crash, source=source)
        if not suspicion.age_ms:
            # One that is sent again comes from each of the VMs that know it.
            self._network.broadcast(suspicion, skip=source)

    def _known_suspicions(self) -> list[Suspicion]:
        """Return the latest suspicions of whole requests that still count.

        Their parts are left out: the part gate knows which of them still count.
        """
        now = now_ms()
        entries = {entry.fingerprint: entry for entry in self._quarantine.entries(now)}
        found = [
            seen.suspicion._replace(parts=(), age_ms=max(1, int(now - seen.at_ms)))
            for (crash, fingerprint), seen in self._seen.items()
            if fingerprint in entries and crash in entries[fingerprint].crashes
        ]
        return found[-RESENT_SUSPICIONS_MAX:]

    def _suspect(self, suspicion: Suspicion, crash: str, *, source: str) -> None:
        entry = self._quarantine.record_crash(
            suspicion.pool,
            suspicion.fingerprint,
            upstream=crash,
            request_id=suspicion.request_id,
            now_ms=now_ms(),
        )
        log.warning(
            "request_suspected",
            extra={
                "request": suspicion.request_id,
                "replica": suspicion.upstream,
                "crash": crash,
                "source": source,
                "crash_count": len(entry.upstreams),
                "is_quarantined": entry.is_quarantined,
            },
        )
