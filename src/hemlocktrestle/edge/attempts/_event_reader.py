"""Reads the events of a stream's answer, and bounds the wait for each of them."""

from collections.abc import AsyncGenerator
from functools import partial

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._silence import SilenceMonitor
from hemlocktrestle.edge.callers._answer_body import await_memory
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import EventSplitter, StreamEvent, parts_of
from hemlocktrestle.relay import BudgetShare, ReplicaAnswer


class EventReader:
    """Reads the events of one answer.

    Args:
        state: shared state of the process.
        job: the request.
        progress: counters of the request over all its attempts.
        silence: bounds the silence of the replica.
        may_be_replaced: whether the request may be sent to one more replica.
    """

    def __init__(
        self,
        state: EdgeState,
        job: Job,
        progress: RequestProgress,
        silence: SilenceMonitor,
        *,
        may_be_replaced: bool,
    ) -> None:
        self._answer_times = state.answer_times
        self._make_room = state.cut_stuck_caller
        self.received_bytes = 0
        self._piece_bytes = 0
        self._comments = bytearray()
        self._job = job
        self._sequence = progress.events
        self._silence = silence
        self._may_be_replaced = may_be_replaced

    async def batches(
        self, answer: ReplicaAnswer, splitter: EventSplitter, share: BudgetShare
    ) -> AsyncGenerator[list[StreamEvent], None]:
        """Yield the events that each part completes; the time limit bounds each wait.

        Bytes that complete no event do not extend the wait.  Comments complete none;
        they are kept, and come with the event after them.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if an event does not follow, or
                if no memory is left for an event.
        """
        sequence = self._sequence
        heard_ms = 0.0
        async for part in self._parts(answer):
            events = splitter.feed(part)
            # The piece is held until the caller has taken in its events.
            held_bytes = splitter.buffered_bytes + self._piece_bytes
            await await_memory(
                partial(share.resize, held_bytes + len(self._comments)),
                make_room=self._make_room,
            )
            if all(event.is_comment for event in events):
                self._comments += b"".join(event.data for event in events)
                continue
            events = self._with_comments(events)
            taken: list[StreamEvent] = []
            if sequence.follows(events[0]):
                await self._silence.suspend()
                if heard_ms:
                    gap_ms = now_ms() - heard_ms
                    self._answer_times.learn_gap(self._job.route.name, gap_ms)
                # An event counts as the caller's only once it is certain to be sent.
                taken = sequence.take(events)
                yield taken
                heard_ms = now_ms()
                self._expect_next(heard_ms)
            if len(taken) < len(events):
                raise RequestError(
                    ErrorKind.UPSTREAM_BROKEN,
                    f"event does not follow event {sequence.last_id[:20]!r}",
                )
        await self._silence.stop()

    @property
    def comments(self) -> bytes:
        """Comments after the last event."""
        return bytes(self._comments)

    def _with_comments(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return events with the comments that were kept before them."""
        if not self._comments:
            return events
        comments = StreamEvent(self.comments, "")
        self._comments.clear()
        return [comments, *events]

    async def _parts(self, answer: ReplicaAnswer) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts; other tasks run between those of one piece."""
        async for piece in answer.body_chunks():
            self._piece_bytes = len(piece)
            self.received_bytes += len(piece)
            first, *others = parts_of(piece)
            yield first
            for part in others:
                await trio.lowlevel.checkpoint()
                yield part

    def _expect_next(self, heard_ms: float) -> None:
        """Start the time limit of the next event."""
        if not self._may_be_replaced:
            return
        route = self._job.route
        left_ms = min(route.patience_ms, self._job.deadline_at_ms - heard_ms)
        limit_ms = self._answer_times.gap_limit_ms(route.name, left_ms)
        self._silence.expect_within(limit_ms / 1000)
