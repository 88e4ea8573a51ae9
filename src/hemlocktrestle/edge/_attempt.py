"""One attempt to have a request answered by one replica."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import NamedTuple

import trio

from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import EventSplitter, RequestKind
from hemlocktrestle.relay import (
    CallerConnection,
    ReplicaAnswer,
    ReplicaRequest,
    exchange,
    open_connection,
)

ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Largest whole answer that is held, in bytes."""

PATIENCE_SHARE = 0.6
"""Share of the objective after which a repeatable request goes elsewhere.

What is left of the objective is enough for an undisturbed replica to answer.
"""

SILENT_GAPS = 4.0
"""Pauses of the longest allowed length after which a stream counts as stuck."""

FIRST_EVENT_OBJECTIVES = 2.0
"""Objectives after which a stream without its first event counts as stuck."""


PULSE_EVENTS = 5
"""Events after which it is told how fast a stream runs."""


class Progress:
    """How far a request has come, over all its attempts."""

    def __init__(self) -> None:
        self.request_id = ""
        self.route = ""
        self.connect_count = 0
        self.send_count = 0
        self.runs_count = 0
        self.may_have_sent = False
        self.last_event_id = ""
        self.event_count = 0
        self.first_ms = 0.0
        self.last_event_ms = 0.0
        self.longest_gap_ms = 0.0
        self.replicas: list[str] = []
        self.waited_ms = 0.0

    def note_events(self, count: int, at_ms: float) -> None:
        """Count events that went to the caller."""
        if self.event_count:
            gap_ms = at_ms - self.last_event_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self.last_event_ms = at_ms
        self.event_count += count


class Sealed(NamedTuple):
    """A replica's whole answer, as it goes to the caller."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Attempt:
    """One attempt at one replica.

    Args:
        state: what the process believes.
        job: the request.
        place: the replica.
        connection: the caller's connection.
        progress: how far the request has come.
        on_pulse: told once, early, how fast a stream runs.
    """

    def __init__(
        self,
        state: EdgeState,
        job: Job,
        place: Placement,
        connection: CallerConnection,
        progress: Progress,
        *,
        on_pulse: Callable[[Job, Placement, AttemptReport], None],
    ) -> None:
        self._on_pulse = on_pulse
        self._state = state
        self._job = job
        self._place = place
        self._connection = connection
        self._progress = progress
        self._started_ms = now_ms()
        self._first_ms = 0.0
        self._event_count = 0
        self.status = 0
        self.failure: RequestError | None = None
        self.sealed: Sealed | None = None

    def report(self, end: AttemptEnd) -> AttemptReport:
        """Return what was seen of the attempt."""
        return AttemptReport(
            end,
            self._first_ms,
            now_ms() - self._started_ms,
            self._event_count,
        )

    async def run(self) -> AttemptReport:
        """Send the request and relay the answer, as far as it goes."""
        progress = self._progress
        progress.connect_count += 1
        try:
            stream = await open_connection(self._place.address)
        except RequestError as error:
            self.failure = error
            return self.report(AttemptEnd.UNREACHABLE)
        progress.send_count += 1
        progress.replicas.append(self._place.replica_id)
        progress.waited_ms += self._place.waited_ms
        left_before = progress.may_have_sent
        progress.may_have_sent = True
        progress.runs_count += 1
        end = AttemptEnd.BROKEN
        patience_s = self._patience_ms() / 1000
        try:
            with trio.move_on_after(patience_s) as self._patience:
                async with exchange(stream, self._request()) as answer:
                    end = await self._relay(answer)
            if self._patience.cancelled_caught:
                end = AttemptEnd.SILENT
                self.failure = RequestError(
                    ErrorKind.UPSTREAM_SILENT, "replica fell silent"
                )
        except* RequestError as errors:
            self.failure = _first_leaf(errors)
        if end is AttemptEnd.NOT_RUN:
            progress.runs_count -= 1
            progress.may_have_sent = left_before
        return self.report(end)

    def _patience_ms(self) -> float:
        """Return how long the replica may take to begin its answer."""
        route = self._job.route
        if not route.may_retry or self._progress.runs_count >= route.attempts:
            return float("inf")
        if route.kind is RequestKind.STREAM:
            return route.objective_ms * FIRST_EVENT_OBJECTIVES
        return route.objective_ms * PATIENCE_SHARE

    def _request(self) -> ReplicaRequest:
        job = self._job
        request = job.request
        headers = self._state.dialect.request_headers(
            request.headers,
            customer=job.customer_name,
            deadline_ms=job.deadline_at_ms - now_ms(),
            replica_id=self._place.replica_id,
            last_event_id=self._progress.last_event_id,
            body_bytes=len(request.body),
        )
        return ReplicaRequest(request.method, request.target, headers, request.body)

    async def _relay(self, answer: ReplicaAnswer) -> AttemptEnd:
        facts = self._state.dialect.answer_facts(answer.headers)
        self.status = answer.status
        if facts.is_not_executed:
            self.failure = RequestError(
                ErrorKind.NO_UPSTREAM, f"replica did not take it: {answer.status}"
            )
            return AttemptEnd.NOT_RUN
        own_id = self._job.facts.request_id
        if facts.request_id and facts.request_id != own_id:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "replica answered another request"
            )
        if not facts.is_sealed or facts.is_encoded:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, f"answer is not sealed: {answer.status}"
            )
        if answer.status == 200 and self._job.route.kind is RequestKind.STREAM:
            return await self._relay_events(answer)
        return await self._relay_whole(answer)

    async def _relay_whole(self, answer: ReplicaAnswer) -> AttemptEnd:
        body = bytearray()
        async for piece in answer.body_chunks():
            body += piece
            if len(body) > ANSWER_BYTES_MAX:
                raise RequestError(ErrorKind.UPSTREAM_BROKEN, "answer is too large")
        self._first_ms = now_ms() - self._started_ms
        headers = self._state.dialect.answer_headers(answer.headers)
        if answer.status >= 500:
            self.sealed = Sealed(answer.status, headers, bytes(body))
            return AttemptEnd.REFUSED_AS_FAILED
        await _end_patience(self._patience)
        await self._connection.send_answer(answer.status, headers, bytes(body))
        return AttemptEnd.RELAYED

    async def _relay_events(self, answer: ReplicaAnswer) -> AttemptEnd:
        cutter = EventSplitter()
        headers = self._state.dialect.answer_headers(answer.headers)
        headers = [line for line in headers if line[0] != b"content-length"]
        async with aclosing(_timed(answer, self._patience, self._gap_s())) as pieces:
            async for piece in pieces:
                events = cutter.feed(piece)
                if not events:
                    continue
                if not self._event_count:
                    self._first_ms = now_ms() - self._started_ms
                self._note_events(len(events))
                await self._start(answer.status, headers)
                await self._connection.send_chunk(
                    b"".join(event.data for event in events)
                )
                self._progress.note_events(len(events), now_ms())
                for event in events:
                    if event.event_id:
                        self._progress.last_event_id = event.event_id
        await self._start(answer.status, headers)
        if cutter.remainder:
            if not _is_framed(answer):
                raise RequestError(
                    ErrorKind.UPSTREAM_BROKEN, "stream ended within an event"
                )
            await self._connection.send_chunk(cutter.remainder)
        await self._connection.finish()
        return AttemptEnd.RELAYED

    def _note_events(self, count: int) -> None:
        """Count events that came, and tell early how fast they come."""
        before_count = self._event_count
        self._event_count += count
        if before_count < PULSE_EVENTS <= self._event_count:
            report = self.report(AttemptEnd.RELAYED)
            self._on_pulse(self._job, self._place, report)

    async def _start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if not self._connection.is_answer_started:
            self._progress.first_ms = now_ms() - self._job.request.arrived_ms
            await self._connection.send_head(status, headers)

    def _gap_s(self) -> float:
        """Return the longest pause in a stream that may go on elsewhere."""
        route = self._job.route
        if not route.may_resume or self._progress.runs_count >= route.attempts:
            return float("inf")
        return route.gap_ms * SILENT_GAPS / 1000 or float("inf")


async def _timed(
    answer: ReplicaAnswer, scope: trio.CancelScope, gap_s: float
) -> AsyncGenerator[bytes, None]:
    """Yield an answer's pieces, and bound the pause before each next one."""
    async for piece in answer.body_chunks():
        await _end_patience(scope)
        yield piece
        scope.deadline = trio.current_time() + gap_s


async def _end_patience(scope: trio.CancelScope) -> None:
    """Let an answer go out without a limit, unless the time for it is over.

    A time that has run out is only noticed at the next wait; noticed while the
    answer goes out, it would cut an answer that counts as sent.
    """
    if scope.cancel_called:
        await trio.lowlevel.checkpoint()
    scope.deadline = float("inf")


def _is_framed(answer: ReplicaAnswer) -> bool:
    """Tell whether the end of an answer shows in the answer itself."""
    return any(
        name in {b"content-length", b"transfer-encoding"} for name, _ in answer.headers
    )


def _first_leaf(errors: BaseExceptionGroup[RequestError]) -> RequestError:
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    assert isinstance(error, RequestError)
    return error
