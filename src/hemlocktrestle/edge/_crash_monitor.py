"""Requests that crash replicas: found here, told to all, and run no more."""

import logging
from typing import NamedTuple

import trio

from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import Placement
from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.errors import RequestError
from hemlocktrestle.peers import PeerNetwork
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import open_connection
from hemlocktrestle.wire import Message, Suspicion

log = logging.getLogger(__name__)

LOOK_S = 0.05
"""Wait before a replica that broke off is looked at, in seconds."""

WAITING_MAX = 64
"""Replicas that may wait to be looked at; more break off only in an outage."""


class _Broken(NamedTuple):
    suspicion: Suspicion
    address: str


class CrashMonitor:
    """Tells a crash from a broken connection, and spreads the word of it.

    Args:
        quarantine: requests that are suspected.
        network: links to other VMs.
    """

    def __init__(self, quarantine: QuarantineRegistry, network: PeerNetwork) -> None:
        self._quarantine = quarantine
        self._network = network
        self._broken, self._to_look_at = trio.open_memory_channel[_Broken](WAITING_MAX)

    def broke(self, job: Job, place: Placement) -> None:
        """Take note that a replica broke off while it ran a request."""
        suspicion = Suspicion(
            job.service.name, job.fingerprint, place.replica_id, job.facts.request_id
        )
        try:
            self._broken.send_nowait(_Broken(suspicion, place.address))
        except trio.WouldBlock:
            log.warning("broken_replicas_not_looked_at")

    def heard(self, vm: str, message: Message) -> None:
        """Take in another VM's word, and pass on what is new."""
        if isinstance(message, Suspicion):
            self._suspect(message, source=vm)

    async def run(self) -> None:
        """Look at replicas that broke off until cancelled."""
        async with trio.open_nursery() as nursery:
            async for broken in self._to_look_at:
                nursery.start_soon(self._look, broken)

    async def _look(self, broken: _Broken) -> None:
        await trio.sleep(LOOK_S)
        try:
            stream = await open_connection(broken.address)
        except RequestError:
            self._suspect(broken.suspicion, source="")
            return
        # It still takes connections, so only this one broke.
        await trio.aclose_forcefully(stream)

    def _suspect(self, suspicion: Suspicion, *, source: str) -> None:
        known = self._quarantine.find(suspicion.fingerprint, now_ms())
        if known is not None and suspicion.upstream in known.upstreams:
            return
        entry = self._quarantine.record_crash(
            suspicion.pool,
            suspicion.fingerprint,
            upstream=suspicion.upstream,
            request_id=suspicion.request_id,
            now_ms=now_ms(),
        )
        log.warning(
            "request_suspected",
            extra={
                "request": suspicion.request_id,
                "replica": suspicion.upstream,
                "source": source,
                "crash_count": len(entry.upstreams),
                "is_quarantined": entry.is_quarantined,
            },
        )
        self._network.broadcast(suspicion, skip=source)
