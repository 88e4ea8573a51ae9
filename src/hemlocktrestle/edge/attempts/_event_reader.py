"""Reads the events of a stream's answer, and bounds the wait for each of them."""

from collections.abc import AsyncGenerator
from functools import partial

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._silence import SilenceMonitor
from hemlocktrestle.edge.callers._answer_body import await_memory
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import EventSplitter, StreamEvent
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
        self._job = job
        self._sequence = progress.events
        self._silence = silence
        self._may_be_replaced = may_be_replaced

    async def batches(
        self, answer: ReplicaAnswer, splitter: EventSplitter, share: BudgetShare
    ) -> AsyncGenerator[list[StreamEvent], None]:
        """Yield the events that each piece completes; the time limit bounds each wait.

        Bytes that complete no event do not extend the wait.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if an event does not follow, or
                if no memory is left for an event.
        """
        sequence = self._sequence
        heard_ms = 0.0
        async for piece in answer.body_chunks():
            self.received_bytes += len(piece)
            events = splitter.feed(piece)
            # The piece is held until the caller has taken in its events.
            held_bytes = splitter.buffered_bytes + len(piece)
            await await_memory(
                partial(share.resize, held_bytes), make_room=self._make_room
            )
            taken: list[StreamEvent] = []
            if events and sequence.follows(events[0]):
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

    def _expect_next(self, heard_ms: float) -> None:
        """Start the time limit of the next event."""
        if not self._may_be_replaced:
            return
        route = self._job.route
        left_ms = min(route.patience_ms, self._job.deadline_at_ms - heard_ms)
        limit_ms = self._answer_times.gap_limit_ms(route.name, left_ms)
        self._silence.expect_within(limit_ms / 1000)
