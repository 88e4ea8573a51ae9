"""Trials of parts that may crash replicas: one request at a time, over all VMs.

A part that is suspected together with others is tried by letting one request with it
through.  Its answer acquits the part; its crash tells the guilty part from the others.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import AnswerTimes
from hemlocktrestle.quarantine import PartQuarantine, QuarantinedPart
from hemlocktrestle.wire import Message, PartTrial

log = logging.getLogger(__name__)

TRIAL_MS_MAX = 5_000.0
"""Time after which a trial no longer holds others back, in milliseconds."""


class _Trial(NamedTuple):
    suspects: frozenset[str]
    until_ms: float


class PartTrials:
    """The trials that run on this VM and on others.

    Args:
        parts: suspected and quarantined parts.
        answer_times: how long answers usually take.
    """

    def __init__(self, parts: PartQuarantine, answer_times: AnswerTimes) -> None:
        self._parts = parts
        self._answer_times = answer_times
        self._running: dict[str, _Trial] = {}
        self._attempt_counts: dict[str, int] = {}
        self._changed = trio.Event()
        self.broadcast: Callable[[Message, str], None] = lambda message, skip: None
        """Sends a message to all VMs but one."""

    async def begin(self, job: Job) -> None:
        """Wait until a request may be sent; it is a trial if its parts are in doubt.

        It waits while an answer can still come within the caller's time.

        Raises:
            RequestError: of kind ``QUARANTINED`` if other trials take too long.
        """
        request_id = job.metadata.request_id
        if request_id in self._attempt_counts:
            self._attempt_counts[request_id] += 1
            return
        until_ms = 0.0
        with trio.move_on_at(self._latest_start_ms(job) / 1000):
            while True:
                entry = self._parts.doubtful(job.metadata.prompt_parts, now_ms())
                if entry is None:
                    return
                until_ms = self._running_until_ms(entry.suspects)
                if until_ms <= now_ms():
                    self._start(request_id, entry)
                    return
                with trio.move_on_at(until_ms / 1000):
                    await self._changed.wait()
        raise RequestError(
            ErrorKind.QUARANTINED,
            "another request tells whether a part of this one crashes replicas",
            retry_after_ms=max(0.0, until_ms - now_ms()),
        )

    def _latest_start_ms(self, job: Job) -> float:
        left_ms = job.part_due_ms - now_ms()
        return job.part_due_ms - self._answer_times.needed_ms(job.route.name, left_ms)

    def end_attempt(self, request_id: str) -> None:
        """Note that an attempt of a request has ended, and its trial with the last."""
        count = self._attempt_counts.get(request_id, 0)
        if count > 1:
            self._attempt_counts[request_id] = count - 1
        elif count:
            self._end(request_id, ())

    def acquit(self, request_id: str, parts: Iterable[str]) -> None:
        """End the trial of a request that was answered; its parts are sound."""
        if request_id in self._attempt_counts:
            self._end(request_id, tuple(parts))

    def on_message(self, vm: str, trial: PartTrial) -> None:
        """Apply the beginning or the end of another VM's trial; forward it once."""
        is_known = trial.request_id in self._running
        if trial.is_running == is_known:
            return
        if trial.is_running:
            suspects = frozenset(trial.suspects)
            self._running[trial.request_id] = _Trial(suspects, now_ms() + TRIAL_MS_MAX)
        else:
            del self._running[trial.request_id]
        self._wake()
        self.broadcast(trial, vm)

    def _running_until_ms(self, suspects: frozenset[str]) -> float:
        """Return the latest end of the trials that test some of the parts."""
        now = now_ms()
        self._running = {
            request_id: trial
            for request_id, trial in self._running.items()
            if trial.until_ms > now
        }
        return max(
            (
                trial.until_ms
                for trial in self._running.values()
                if trial.suspects & suspects
            ),
            default=0.0,
        )

    def _start(self, request_id: str, entry: QuarantinedPart) -> None:
        log.warning(
            "part_trial_started",
            extra={"request": request_id, "parts": sorted(entry.suspects)},
        )
        self._attempt_counts[request_id] = 1
        self._running[request_id] = _Trial(entry.suspects, now_ms() + TRIAL_MS_MAX)
        suspects = tuple(sorted(entry.suspects))
        self.broadcast(PartTrial(request_id, suspects, True), "")

    def _end(self, request_id: str, sound_parts: tuple[str, ...]) -> None:
        log.info(
            "part_trial_ended",
            extra={"request": request_id, "sound_parts": sound_parts},
        )
        del self._attempt_counts[request_id]
        self._running.pop(request_id, None)
        self._wake()
        self.broadcast(PartTrial(request_id, (), False, sound_parts), "")

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
