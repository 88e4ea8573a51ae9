"""The attempts of one request: whether it may be sent again, and to which replica."""

import logging
from collections.abc import Callable
from contextlib import ExitStack
from typing import NamedTuple, Self

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._attempt import Attempt
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placer
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import CallerConnection

log = logging.getLogger(__name__)

SENDS_MAX = 3
"""Most replicas that one request is sent to, including those that refuse it."""

CONNECTS_MAX = 4
"""Most replicas that a connection is attempted to for one request."""

OWED_FACTOR = 2
"""Factor on both limits for an answer that the caller is owed."""

SEARCH_PAUSE_S = 0.1
"""Pause after a search without a result, in seconds; it doubles with each one."""

SEARCH_PAUSE_S_MAX = 1.0
"""Longest pause between two searches, in seconds."""

_LASTING_OBSTACLES = frozenset(
    {
        "attempts",
        "may run once",
        "sends",
        "connections",
        "shutdown",
        "suspected part",
        ErrorKind.QUARANTINED.value,
    }
)
"""Obstacles to one more attempt that do not pass with time."""


class _Reservation(NamedTuple):
    """A retry that was spent before it is sent.

    Args:
        send_count: how often the request had been sent.
        spent_ms: when the retry was spent.
    """

    send_count: int
    spent_ms: float


class AttemptSequence:
    """Prepares the attempts of one request, one after the other.

    Args:
        state: shared state of the process.
        placer: decides when the request is sent, and to which replicas.
        job: the request.
        connection: the caller's connection.
        progress: counters of the request over all its attempts.
        on_ended: called when an attempt that was never sent has ended.
        is_suspected: tells whether a request may have crashed a replica.
        kept: owns what has to last until the request has ended.
    """

    def __init__(
        self,
        state: EdgeState,
        placer: Placer,
        job: Job,
        connection: CallerConnection,
        progress: RequestProgress,
        *,
        on_ended: Callable[[Job, Attempt, AttemptReport], None],
        is_suspected: Callable[[Job], bool],
        kept: ExitStack,
    ) -> None:
        self._kept = kept
        self._placer = placer
        self._job = job
        self._state = state
        self._connection = connection
        self._progress = progress
        self._on_ended = on_ended
        self._is_suspected = is_suspected
        self._excluded: set[str] = set()
        self._budget = state.retry_budget(job.service.name)
        self._reservation: _Reservation | None = None
        self._successor: Attempt | None = None
        self._pauses = _Pauses()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._refund_retry()
        await self.withdraw()

    async def next(
        self, failure: RequestError, *, has_answer: bool = False
    ) -> Attempt | None:
        """Return the next attempt, or ``None`` if the request may not be sent again.

        An answer that has begun, or whose replica was left for another one, is not
        given up at once for an obstacle that may pass.

        Args:
            failure: why the previous attempt failed, for the log.
            has_answer: whether there is a replica's answer to send if no attempt
                follows.

        Raises:
            RequestError: if there is no placement and nothing was sent.
        """
        if self._successor is not None:
            attempt, self._successor = self._successor, None
            return attempt
        if self._progress.connect_count >= SENDS_MAX and self._is_owed:
            await self._pauses.wait()
        until_ms = now_ms() + self._deferral_ms(has_answer=has_answer)
        while True:
            obstacle = self._reserve_retry()
            if not obstacle:
                if self._progress.connect_count:
                    self._log_decision("request_repeated", failure)
                try:
                    return await self._place()
                except RequestError as error:
                    if not self._progress.may_have_sent:
                        raise
                    obstacle = error.kind.value
                    self._relax_exclusions()
            self._refund_retry()
            if self._progress.met_dead_connection:
                # The replica need not have failed, so it may have the request again.
                self._progress.met_dead_connection = False
                continue
            if obstacle in _LASTING_OBSTACLES or now_ms() >= until_ms:
                self._log_decision("request_not_repeated", failure, obstacle)
                return None
            self._log_decision("request_deferred", failure, obstacle)
            await self._pauses.wait()

    async def search(self) -> None:
        """Return when the next attempt has a connection to its replica.

        Until then the current attempt is not affected, and a cancellation withdraws
        what was reserved.
        """
        while obstacle := await self._prepare_successor():
            log.info(
                "no_successor",
                extra={
                    "request": self._job.metadata.request_id,
                    "reason": obstacle,
                    "events": self._progress.event_count,
                },
            )
            if obstacle in _LASTING_OBSTACLES:
                await trio.sleep_forever()
            await self._pauses.wait()

    async def withdraw(self) -> None:
        """Release the attempt that :meth:`search` has prepared, if there is one."""
        attempt, self._successor = self._successor, None
        if attempt is not None:
            self._refund_retry()
            self._end_unsent(attempt)
            await attempt.close()

    async def _prepare_successor(self) -> str:
        """Return what prevents one more attempt, or an empty string."""
        obstacle = self._reserve_retry()
        if obstacle:
            return obstacle
        with ExitStack() as undo:
            undo.callback(self._refund_retry)
            try:
                attempt = await self._place()
            except RequestError as error:
                # The other replicas may have room by the next search.
                self._excluded.intersection_update(self._progress.replicas[-1:])
                return error.kind.value
            undo.callback(self._end_unsent, attempt)
            if not await attempt.connect():
                return attempt.unsent_end.value
            undo.pop_all()
        self._successor = attempt
        return ""

    async def _place(self) -> Attempt:
        progress = self._progress
        job = self._current_job()
        with self._state.shutdown.limit_wait(is_begun=job.is_begun):
            placement = await self._placer.obtain(
                job, excluded=frozenset(self._excluded)
            )
        self._excluded.add(placement.replica_id)
        log.info(
            "request_permitted",
            extra={
                "request": job.metadata.request_id,
                "permit": placement.permit_id,
                "replica": placement.replica_id,
                "address": placement.address,
                "keeper": placement.granted_by,
                "waited_ms": round(placement.waited_ms),
                "locality": placement.locality.value if placement.locality else "",
                "left_ms": round(job.deadline_at_ms - now_ms()),
            },
        )
        return Attempt(
            self._state,
            job,
            placement,
            self._connection,
            progress,
            on_speed=self._placer.report_speed,
            successors=self,
            kept=self._kept,
        )

    def _end_unsent(self, attempt: Attempt) -> None:
        report = attempt.report(attempt.unsent_end)
        if report.end is AttemptEnd.UNUSED:
            self._excluded.discard(attempt.placement.replica_id)
        self._placer.release(self._job, attempt.placement, report)
        self._on_ended(self._job, attempt, report)

    def _relax_exclusions(self) -> None:
        """Allow the replicas that failed before, and then the last one too."""
        kept = self._excluded & set(self._progress.replicas[-1:])
        self._excluded = kept if kept != self._excluded else set()

    def _current_job(self) -> Job:
        """Return the request with what its caller has got by now."""
        if not self._progress.event_count:
            return self._job
        return self._job._replace(last_part_ms=self._progress.last_event_ms)

    def _deferral_ms(self, *, has_answer: bool) -> float:
        """Return how long an obstacle may last before the request is given up.

        A caller without any part can ask again itself, so it is not kept for longer
        than an answer usually takes.  One with a part of a stream waits until it
        leaves.  Both must still get the answer in time.
        """
        if has_answer or not self._is_owed:
            return 0.0
        left_ms = self._current_job().part_due_ms - now_ms()
        times = self._state.answer_times
        last_ms = left_ms - times.needed_ms(self._job.route.name, left_ms)
        if self._connection.is_answer_started:
            return last_ms
        return min(last_ms, times.usual_first_ms(self._job.route.name, left_ms))

    @property
    def _is_owed(self) -> bool:
        """Whether the caller has a part of the answer, or would have got one."""
        return self._connection.is_answer_started or bool(self._progress.silent_count)

    def _reserve_retry(self) -> str:
        """Return what forbids one more attempt, or an empty string.

        A retry counts against the budget from here on, unless it is refunded.
        """
        route, progress = self._job.route, self._progress
        factor = OWED_FACTOR if self._is_owed else 1
        obstacles = {
            "attempts": progress.runs_count >= route.attempts,
            "may run once": bool(progress.runs_count) and not route.may_retry,
            "sends": progress.send_count >= SENDS_MAX * factor,
            "connections": progress.connect_count >= CONNECTS_MAX * factor,
            "shutdown": self._state.ends_retries
            and bool(progress.runs_count)
            and not progress.event_count,
            "suspected part": self._is_suspected(self._job),
        }
        for reason, applies in obstacles.items():
            if applies:
                return reason
        reserved = self._reservation
        if not progress.send_count or (
            reserved is not None and reserved.send_count == progress.send_count
        ):
            return ""
        now = now_ms()
        if not self._budget.try_spend(self._state.fleet().vm_count, now):
            return "budget"
        self._reservation = _Reservation(progress.send_count, now)
        return ""

    def _refund_retry(self) -> None:
        """Refund a retry that was not sent."""
        reserved, self._reservation = self._reservation, None
        if reserved is not None and reserved.send_count == self._progress.send_count:
            self._budget.refund(reserved.spent_ms)

    def _log_decision(
        self, event: str, failure: RequestError, obstacle: str = ""
    ) -> None:
        log.info(
            event,
            extra={
                "request": self._job.metadata.request_id,
                "after": failure.message,
                "reason": obstacle,
                "send_count": self._progress.send_count,
                "runs_count": self._progress.runs_count,
            },
        )


class _Pauses:
    """Pauses between searches, each longer than the one before."""

    def __init__(self) -> None:
        self._pause_s = SEARCH_PAUSE_S

    async def wait(self) -> None:
        await trio.sleep(self._pause_s)
        self._pause_s = min(2 * self._pause_s, SEARCH_PAUSE_S_MAX)
