"""Refusal of requests whose prompts have a part that crashes replicas."""

import logging

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._part_trials import PartTrials
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.quarantine import (
    PartChanges,
    PartCrash,
    PartQuarantine,
    QuarantinedPart,
    upstream_of,
)
from hemlocktrestle.wire import Heartbeat, PartTrial, SoundPart, Suspicion

log = logging.getLogger(__name__)

VERDICT_TIMEOUT_S = 0.3
"""Longest wait for the probe of a replica before a request is retried, in seconds."""

SOUND_PARTS_MAX = 16
"""Most sound parts that one heartbeat states."""

RESENT_CRASHES_MAX = 64
"""Most crashes that are sent to a VM whose link has opened."""


class PartGate:
    """Applies the quarantine of parts to the requests of this VM.

    Args:
        state: shared state of the process.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._parts = PartQuarantine()
        self._pending: dict[tuple[str, str], trio.Event] = {}
        self.trials = PartTrials(self._parts, state.answer_times)
        self.refused_count = 0

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined parts."""
        return len(self._parts)

    def check(self, job: Job) -> None:
        """Refuse a request that has a quarantined part, unless it is time to try it.

        Raises:
            RequestError: of kind ``QUARANTINED``.
        """
        now = now_ms()
        entry = self._refusing(job, now)
        if entry is None:
            return
        self.refused_count += 1
        log.info(
            "part_refused",
            extra={
                "request": job.metadata.request_id,
                "part": entry.part,
                "crashes": _crash_ids(entry),
            },
        )
        raise RequestError(
            ErrorKind.QUARANTINED,
            "prompts with a part of this one crash replicas",
            retry_after_ms=min(entry.retrial_ms, entry.expires_ms) - now,
        )

    def would_refuse(self, job: Job) -> bool:
        """Tell whether :meth:`check` would refuse a request."""
        return self._refusing(job, now_ms()) is not None

    def _refusing(self, job: Job, now: float) -> QuarantinedPart | None:
        entry = self._parts.quarantined(job.metadata.prompt_parts, now)
        return None if entry is None or now >= entry.retrial_ms else entry

    def is_suspected(self, job: Job) -> bool:
        """Tell whether a part of a request may have crashed a replica under it."""
        return self._parts.is_suspected(job.fingerprint)

    def on_attempt_ended(self, job: Job, report: AttemptReport) -> None:
        """Clear the parts of a request that a replica answered, or began to.

        The caller may have left as soon as it had the answer.
        """
        has_answer = report.end is AttemptEnd.RELAYED or bool(report.first_ms)
        if not report.event_count and not (has_answer and report.status < 300):
            return
        self.acquit(job)

    def acquit(self, job: Job) -> None:
        """Clear the parts of a request that a replica answers."""
        now = now_ms()
        metadata = job.metadata
        changes = self._parts.record_sound(metadata.prompt_parts, at_ms=now, now_ms=now)
        _log_changes(changes, cause=metadata.request_id)
        self.trials.acquit(metadata.request_id, metadata.prompt_parts)

    def create_suspicion(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> Suspicion:
        """Describe the crash that may have ended an attempt, and await its probe.

        Events of a stream show that the request did not crash the replica.  A replica
        that leaves ends its connections without a crash.
        """
        record = next(
            (
                known
                for known in self._state.replicas.replicas()
                if known.replica_id == placement.replica_id and not known.is_draining
            ),
            None,
        )
        is_blamed = record is not None and not report.event_count
        parts = job.metadata.prompt_parts if is_blamed else ()
        if parts:
            key = (job.metadata.request_id, placement.replica_id)
            self._pending[key] = trio.Event()
        return Suspicion(
            job.service.name,
            job.fingerprint,
            placement.replica_id,
            job.metadata.request_id,
            parts,
            bool(report.status),
            record.born_ms if record is not None else 0,
            ran_ms=int(report.total_ms),
        )

    def on_probed(self, suspicion: Suspicion) -> None:
        """Note that the probe of a replica has ended, or will not be done."""
        event = self._pending.pop((suspicion.request_id, suspicion.upstream), None)
        if event is not None:
            event.set()
        self.trials.end_attempt(suspicion.request_id)

    async def wait_for_verdict(self, job: Job, placement: Placement) -> None:
        """Wait until it is known whether a request may have crashed its replica."""
        event = self._pending.get((job.metadata.request_id, placement.replica_id))
        if event is not None and job.route.may_retry:
            with trio.move_on_after(VERDICT_TIMEOUT_S):
                await event.wait()

    def record_crash(self, suspicion: Suspicion, *, crash: str, source: str) -> None:
        """Record a crash that this VM or another one noticed.

        Args:
            suspicion: the crash, with the request that ran.
            crash: name of the crash.
            source: the VM that noticed it, empty for this one.
        """
        now = now_ms()
        known = PartCrash(
            suspicion.parts,
            crash,
            suspicion.fingerprint,
            suspicion.request_id,
            suspicion.is_started,
            now - suspicion.age_ms,
            suspicion.born_ms,
            suspicion.ran_ms,
        )
        changes = self._parts.record_crash(known, now)
        if changes is None:
            return
        log.warning(
            "part_suspected",
            extra={
                "request": suspicion.request_id,
                "replica": suspicion.upstream,
                "crash": crash,
                "source": source,
                "parts": suspicion.parts,
                "is_started": suspicion.is_started,
            },
        )
        _log_changes(changes, cause=suspicion.request_id)

    def sound_parts(self) -> tuple[SoundPart, ...]:
        """Return the parts that other VMs may suspect but this one saw answered."""
        now = now_ms()
        for entry in self._parts.pop_expired(now):
            log.info("part_quarantine_expired", extra={"part": entry.part})
        newest = sorted(
            (now - at_ms, part)
            for part, at_ms in self._parts.sound_accused(now).items()
        )
        return tuple(
            SoundPart(part, int(age_ms)) for age_ms, part in newest[:SOUND_PARTS_MAX]
        )

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat) -> None:
        """Record the parts that another VM saw in answered requests."""
        now = now_ms()
        for part, age_ms in heartbeat.sound_parts:
            changes = self._parts.record_sound([part], at_ms=now - age_ms, now_ms=now)
            _log_changes(changes, cause=vm)

    def on_trial(self, vm: str, trial: PartTrial) -> None:
        """Apply the beginning or the end of another VM's trial."""
        now = now_ms()
        changes = self._parts.record_sound(trial.sound_parts, at_ms=now, now_ms=now)
        _log_changes(changes, cause=trial.request_id)
        self.trials.on_message(vm, trial)

    def known_suspicions(self) -> list[Suspicion]:
        """Return the crashes that a VM whose link has opened may not know."""
        now = now_ms()
        crashes = self._parts.crashes_to_tell(now)[:RESENT_CRASHES_MAX]
        return [_suspicion_of(crash, now) for crash in crashes]


def _suspicion_of(crash: PartCrash, now: float) -> Suspicion:
    return Suspicion(
        "",
        crash.fingerprint,
        upstream_of(crash.upstream),
        crash.request_id,
        crash.parts,
        crash.is_started,
        crash.born_ms,
        max(1, int(now - crash.at_ms)),
        crash.ran_ms,
    )


def _crash_ids(entry: QuarantinedPart) -> dict[str, str]:
    return {crash.upstream: crash.request_id for crash in entry.crashes}


def _log_changes(changes: PartChanges, *, cause: str) -> None:
    for entry in changes.quarantined:
        log.warning(
            "part_quarantined",
            extra={
                "part": entry.part,
                "alternatives": [sorted(parts) for parts in entry.alternatives],
                "crashes": _crash_ids(entry),
                "cause": cause,
            },
        )
    for entry in changes.lifted:
        log.warning(
            "part_acquitted",
            extra={"part": entry.part, "crashes": _crash_ids(entry), "cause": cause},
        )
