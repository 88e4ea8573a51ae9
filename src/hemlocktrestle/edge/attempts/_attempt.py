"""One attempt to send a request to a replica and relay its answer."""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, ExitStack, aclosing
from functools import partial
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._attempt_log import (
    log_kept_connection_dead,
    log_replica_silent,
)
from hemlocktrestle.edge.attempts._event_reader import EventReader
from hemlocktrestle.edge.attempts._reuse import ReusePolicy
from hemlocktrestle.edge.attempts._silence import SilenceMonitor, SuccessorSearch
from hemlocktrestle.edge.callers._answer_body import AnswerBody
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.errors import ErrorKind, RequestError, first_leaf, forget_frames
from hemlocktrestle.gateway import (
    AnswerClass,
    EventSplitter,
    ExpectedAnswer,
    RequestKind,
    classify_answer,
)
from hemlocktrestle.relay import (
    AnswerReader,
    BudgetShare,
    CallerConnection,
    ConnectTimeoutError,
    ReplicaAnswer,
    ReplicaRequest,
    exchange,
    open_connection,
)

ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Largest non-streaming answer that is buffered, in bytes."""

REFUSAL_BYTES_MAX = 65_536
"""Largest body of a refusal, in bytes; it is only a text for people."""

SPEED_REPORT_EVENTS = 5
"""Events of a stream after which its speed is reported to the pool scheduler."""


class SealedAnswer(NamedTuple):
    """A replica's complete, sealed answer, as it would go to the caller."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: Sequence[bytearray]


class Attempt:
    """One attempt at one replica.

    Args:
        state: shared state of the process.
        job: the request.
        placement: the replica.
        connection: the caller's connection.
        progress: counters of the request over all its attempts.
        on_speed: called once, early in a stream, with its speed.
        successors: finds another replica while this one is silent.
        kept: owns what has to outlive the attempt until the request has ended.
    """

    def __init__(
        self,
        state: EdgeState,
        job: Job,
        placement: Placement,
        connection: CallerConnection,
        progress: RequestProgress,
        *,
        on_speed: Callable[[Job, Placement, AttemptReport], None],
        successors: SuccessorSearch,
        kept: ExitStack,
    ) -> None:
        self._kept = kept
        self._on_speed = on_speed
        self._state = state
        self._job = job
        self.placement = placement
        self._stream: trio.abc.Stream | None = None
        self.reuse = ReusePolicy(state, job, placement)
        self._connection = connection
        self._progress = progress
        self._started_ms = now_ms()
        # It does not refer to the attempt: a cycle would keep the bodies of both.
        self._silence = SilenceMonitor(
            successors,
            on_silent=partial(
                log_replica_silent, progress, placement, self._started_ms
            ),
        )
        self._first_ms = 0.0
        self._usual_first_ms = 0.0
        self._event_count = 0
        self._answer_bytes = 0
        self._connect_ms = 0.0
        self.status = 0
        self.unsent_end = AttemptEnd.UNUSED
        self.failure: RequestError | None = None
        self.sealed_answer: SealedAnswer | None = None

    def report(self, end: AttemptEnd) -> AttemptReport:
        """Return the end and the timings of the attempt."""
        return AttemptReport(
            end,
            self._first_ms,
            now_ms() - self._started_ms,
            self._event_count,
            self.status,
            self._answer_bytes,
            self._connect_ms,
        )

    def report_cancelled(self) -> AttemptReport:
        """Return the report of an attempt that the caller or its deadline ended.

        A replica that sent nothing of use until the deadline, for longer than answers
        usually take, has failed; what it sent may have been no answer.
        """
        abandoned = self.report(AttemptEnd.ABANDONED)
        is_overdue = (
            now_ms() >= self._job.deadline_at_ms
            and not abandoned.first_ms
            and abandoned.total_ms >= self._usual_first_ms
        )
        return abandoned._replace(end=AttemptEnd.SILENT) if is_overdue else abandoned

    async def connect(self) -> bool:
        """Open the connection; return whether there is one, else see ``unsent_end``."""
        self._progress.connect_count += 1
        dialled_ms = now_ms()
        self._state.kept_connections.opened_count += 1
        try:
            self._stream = await open_connection(self.placement.address)
            self._connect_ms = now_ms() - dialled_ms
        except ConnectTimeoutError as error:
            self.failure = error
            forget_frames(error)
            self.unsent_end = AttemptEnd.CONNECT_TIMEOUT
        except RequestError as error:
            self.failure = error
            forget_frames(error)
            self.unsent_end = AttemptEnd.UNREACHABLE
        self.reuse.record_end(self.unsent_end)
        return self._stream is not None

    async def close(self) -> None:
        """Close the connection of an attempt that was not sent."""
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)

    async def run(self) -> AttemptReport:
        """Send the request and relay the answer; return how the attempt ended."""
        if self._stream is None:
            self._stream = self.reuse.take(self._progress.runs_count)
            self._progress.connect_count += self.reuse.has_taken
        if self._stream is None and not await self.connect():
            return self.report(self.unsent_end)
        assert self._stream is not None
        progress = self._progress
        progress.send_count += 1
        progress.replicas.append(self.placement.replica_id)
        progress.waited_ms += self.placement.waited_ms
        had_sent_before = progress.may_have_sent
        progress.may_have_sent = True
        progress.runs_count += 1
        end = AttemptEnd.BROKEN
        left_ms = self._job.part_due_ms - now_ms()
        times = self._state.answer_times
        self._usual_first_ms = times.usual_first_ms(self._job.route.name, left_ms)
        if self._may_be_replaced:
            limit_ms = times.first_limit_ms(self._job.route.name, left_ms)
            self._silence.expect_within(limit_ms / 1000)
        try:
            async with self._silence.guard():
                end = await self._exchange(self._stream)
            if self._silence.has_ended_attempt:
                end = AttemptEnd.SILENT
                progress.silent_count += 1
                self.failure = RequestError(
                    ErrorKind.UPSTREAM_SILENT, "replica fell silent"
                )
        except* RequestError as errors:
            self.failure = first_leaf(errors)
        if end is AttemptEnd.NOT_RUN:
            progress.runs_count -= 1
            progress.may_have_sent = had_sent_before
        progress.met_dead_connection = self.reuse.record_end(end)
        if progress.met_dead_connection:
            log_kept_connection_dead(progress, self.placement)
        return self.report(end)

    async def _exchange(self, stream: trio.abc.Stream) -> AttemptEnd:
        """Send the request on a connection, which may be kept after a whole answer."""
        end = AttemptEnd.BROKEN
        request = self._replica_request()
        self.reuse.start()
        async with exchange(
            stream, request, keep=lambda whole: self.reuse.keep(whole, end)
        ) as reader:
            # The frame of a cancelled request may outlive it.
            del request
            end = await self._receive(reader)
            self.reuse.is_unacknowledged = reader.is_unacknowledged
        return end

    async def _receive(self, reader: AnswerReader) -> AttemptEnd:
        """Relay the answer.

        A failure is caught within the nurseries of the attempt: they would keep it
        with its frames, and these what the attempt holds.
        """
        try:
            return await self._relay(await reader.read_head())
        except RequestError as error:
            self.failure = error
            forget_frames(error)
            return AttemptEnd.BROKEN

    @property
    def _may_be_replaced(self) -> bool:
        """Whether the request may be sent to one more replica."""
        route = self._job.route
        return route.may_retry and self._progress.runs_count < route.attempts

    def _replica_request(self) -> ReplicaRequest:
        job = self._job
        request = job.request
        headers = self._state.header_codec.build_request_headers(
            request.headers,
            customer=job.customer_name,
            deadline_ms=job.deadline_at_ms - now_ms(),
            replica_id=self.placement.replica_id,
            last_event_id=self._progress.events.last_id,
            body_bytes=len(request.body),
        )
        return ReplicaRequest(request.method, request.target, headers, request.body)

    async def _relay(self, answer: ReplicaAnswer) -> AttemptEnd:
        self.status = answer.status
        metadata = self._state.header_codec.parse_answer(answer.headers)
        self._state.replica_notices.on_answer(self.placement, answer.status, metadata)
        self.reuse.on_head(metadata)
        verdict = classify_answer(
            answer.status,
            metadata,
            ExpectedAnswer(
                self._job.metadata.request_id,
                is_stream=self._job.route.kind is RequestKind.STREAM,
                is_begun=self._connection.is_answer_started,
            ),
        )
        relay = _RELAYS.get(verdict.answer_class)
        if relay is None:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, f"{verdict.reason}: {answer.status}"
            )
        return await relay(self, answer)

    async def _read_refusal(self, answer: ReplicaAnswer) -> AttemptEnd:
        """Read a refusal to its end; one that is cut may be another's."""
        budget = self._state.answer_budget
        with AnswerBody(budget, bytes_max=REFUSAL_BYTES_MAX) as body:
            async for piece in answer.body_chunks():
                body.append(piece)
        self.failure = RequestError(
            ErrorKind.NO_UPSTREAM, f"replica did not take it: {answer.status}"
        )
        self._state.replica_notices.explain(self._job, self.failure)
        return AttemptEnd.NOT_RUN

    async def _relay_buffered(self, answer: ReplicaAnswer) -> AttemptEnd:
        budget = self._state.answer_budget
        with ExitStack() as stack:
            body = stack.enter_context(AnswerBody(budget, bytes_max=ANSWER_BYTES_MAX))
            async for piece in answer.body_chunks():
                await body.add(piece, make_room=self._state.cut_stuck_caller)
                self._answer_bytes += len(piece)
            self._first_ms = now_ms() - self._started_ms
            self._learn_first()
            headers = self._state.header_codec.forwarded_answer_headers(answer.headers)
            sealed = SealedAnswer(answer.status, headers, body.blocks)
            self._kept.push(stack.pop_all())
        if answer.status < 500:
            await self._silence.stop()
        # It is sent after the attempt, whose replica is free by then.
        self.sealed_answer = sealed
        return AttemptEnd.FAILED if answer.status >= 500 else AttemptEnd.RELAYED

    async def _relay_events(self, answer: ReplicaAnswer) -> AttemptEnd:
        splitter = EventSplitter()
        reader = EventReader(
            self._state,
            self._job,
            self._progress,
            self._silence,
            may_be_replaced=self._may_be_replaced,
        )
        headers = self._state.header_codec.forwarded_answer_headers(answer.headers)
        headers = [line for line in headers if line[0] != b"content-length"]
        self._progress.events.start_answer()
        async with AsyncExitStack() as stack:
            share = stack.enter_context(BudgetShare(self._state.answer_budget))
            batches = await stack.enter_async_context(
                aclosing(reader.batches(answer, splitter, share))
            )
            async for events in batches:
                self._answer_bytes = reader.received_bytes
                count = sum(not event.is_comment for event in events)
                if count:
                    self._record_events(count)
                self._start_answer(answer.status, headers)
                await self._connection.send_chunk(
                    b"".join(event.data for event in events)
                )
                if count:
                    self._progress.record_events(count, now_ms())
        # The end of the framing tells that the replica stopped, not that its stream
        # is whole.
        if splitter.is_inside_event or (
            splitter.is_inside_line and not answer.has_framing
        ):
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "stream ended within an event"
            )
        self._start_answer(answer.status, headers)
        if rest := reader.comments + splitter.remainder:
            await self._connection.send_chunk(rest)
        await self._connection.finish()
        return AttemptEnd.RELAYED

    def _record_events(self, count: int) -> None:
        """Count received events and report the stream's speed once, early."""
        if not self._event_count:
            self._first_ms = now_ms() - self._started_ms
            self._learn_first()
        before_count = self._event_count
        self._event_count += count
        if before_count < SPEED_REPORT_EVENTS <= self._event_count:
            report = self.report(AttemptEnd.RELAYED)
            self._on_speed(self._job, self.placement, report)

    def _start_answer(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        if not self._connection.is_answer_started:
            self._progress.first_ms = now_ms() - self._job.request.arrived_ms
            self._connection.start_answer(status, headers)

    def _learn_first(self) -> None:
        self._state.answer_times.learn_first(self._job.route.name, self._first_ms)


_RELAYS: dict[
    AnswerClass, Callable[[Attempt, ReplicaAnswer], Awaitable[AttemptEnd]]
] = {
    AnswerClass.REFUSAL: Attempt._read_refusal,
    AnswerClass.BUFFERED: Attempt._relay_buffered,
    AnswerClass.STREAM: Attempt._relay_events,
}
"""How the answers of each class are relayed."""
