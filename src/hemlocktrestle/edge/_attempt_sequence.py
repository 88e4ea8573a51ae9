"""The attempts of one request: whether it may be sent again, and to which replica."""

import logging
from collections.abc import Callable
from contextlib import ExitStack
from typing import Self

import trio

from hemlocktrestle.edge._attempt import Attempt
from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import AttemptReport, Placer
from hemlocktrestle.edge._progress import RequestProgress
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import CallerConnection

log = logging.getLogger(__name__)

SENDS_MAX = 3
"""Most replicas that one request is sent to, including those that refuse it."""

CONNECTS_MAX = 4
"""Most replicas that a connection is attempted to for one request."""

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
    ) -> None:
        self._placer = placer
        self._job = job
        self._state = state
        self._connection = connection
        self._progress = progress
        self._on_ended = on_ended
        self._is_suspected = is_suspected
        self._excluded: set[str] = set()
        self._budget = state.retry_budget(job.service.name)
        self._reserved_at: int | None = None
        self._successor: Attempt | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._refund_retry()
        await self.withdraw()

    async def next(self, failure: RequestError) -> Attempt | None:
        """Return the next attempt, or ``None`` if the request may not be sent again.

        An answer that has begun, or whose replica was left for another one, is not
        given up for an obstacle that may pass.

        Args:
            failure: why the previous attempt failed, for the log.

        Raises:
            RequestError: if there is no placement and nothing was sent.
        """
        if self._successor is not None:
            attempt, self._successor = self._successor, None
            return attempt
        pauses = _Pauses()
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
            self._refund_retry()
            if not self._is_owed or obstacle in _LASTING_OBSTACLES:
                self._log_decision("request_not_repeated", failure, obstacle)
                return None
            self._log_decision("request_deferred", failure, obstacle)
            await pauses.wait()

    async def search(self) -> None:
        """Return when the next attempt has a connection to its replica.

        Until then the current attempt is not affected, and a cancellation withdraws
        what was reserved.
        """
        pauses = _Pauses()
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
            await pauses.wait()

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
                return error.kind.value
            undo.callback(self._end_unsent, attempt)
            if not await attempt.connect():
                return attempt.unsent_end.value
            undo.pop_all()
        self._successor = attempt
        return ""

    async def _place(self) -> Attempt:
        progress = self._progress
        job = self._job._replace(is_begun=bool(progress.event_count))
        try:
            with self._state.shutdown.limit_wait(is_begun=job.is_begun):
                placement = await self._placer.obtain(
                    job, excluded=frozenset(self._excluded)
                )
        except RequestError:
            # The other replicas may have room by the next search.
            self._excluded.intersection_update(progress.replicas[-1:])
            raise
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
        )

    def _end_unsent(self, attempt: Attempt) -> None:
        report = attempt.report(attempt.unsent_end)
        self._placer.release(self._job, attempt.placement, report)
        self._on_ended(self._job, attempt, report)

    @property
    def _is_owed(self) -> bool:
        """Whether the caller has a part of the answer, or would have got one."""
        return self._connection.is_answer_started or bool(self._progress.silent_count)

    def _reserve_retry(self) -> str:
        """Return what forbids one more attempt, or an empty string.

        A retry counts against the budget from here on, unless it is refunded.
        """
        route, progress = self._job.route, self._progress
        obstacles = {
            "attempts": progress.runs_count >= route.attempts,
            "may run once": bool(progress.runs_count) and not route.may_retry,
            "sends": progress.send_count >= SENDS_MAX and not self._is_owed,
            "connections": progress.connect_count >= CONNECTS_MAX and not self._is_owed,
            "shutdown": self._state.ends_retries
            and bool(progress.runs_count)
            and not progress.event_count,
            "suspected part": self._is_suspected(self._job),
        }
        for reason, applies in obstacles.items():
            if applies:
                return reason
        if not progress.send_count or self._reserved_at == progress.send_count:
            return ""
        if not self._budget.try_spend(self._state.fleet().vm_count, now_ms()):
            return "budget"
        self._reserved_at = progress.send_count
        return ""

    def _refund_retry(self) -> None:
        """Refund a retry that was not sent."""
        if self._reserved_at == self._progress.send_count:
            self._budget.refund()
        self._reserved_at = None

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
