"""Forecasts of when a queued request starts, from the work that goes before it."""

from typing import NamedTuple

from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.scheduler._work import COUNTED_SHARE, Work


class Forecast(NamedTuple):
    """What is expected of a queued request, in milliseconds from now.

    Args:
        wait_ms: when it starts.
        work: the work that is left from there.
        left_ms: when its caller must have the whole answer.
        part_left_ms: when its caller must have the first part.
        slot_ms: when the next slot becomes free.
    """

    wait_ms: float
    work: Work
    left_ms: float
    part_left_ms: float
    slot_ms: float

    @property
    def is_hopeless(self) -> bool:
        """Whether the answer would come too late even if much less has to be done."""
        return (
            COUNTED_SHARE * (self.wait_ms + self.work.total_ms) > self.left_ms
            or COUNTED_SHARE * (self.wait_ms + self.work.first_ms) > self.part_left_ms
        )


class StartForecaster:
    """Forecasts starts from the work that runs, and the slots that share it."""

    def __init__(self) -> None:
        self._running_ms: dict[str, float] = {}
        self._running_sum_ms = 0.0
        self._returns_from_ms = 0.0

    def start(self, ask_id: str, work: Work) -> None:
        """Count a request that got a slot."""
        self.end(ask_id)
        self._running_ms[ask_id] = work.total_ms
        self._running_sum_ms += work.total_ms

    def end(self, ask_id: str) -> None:
        """Stop counting a request."""
        self._running_sum_ms -= self._running_ms.pop(ask_id, 0.0)
        if not self._running_ms:
            # No rounding errors of the past remain.
            self._running_sum_ms = 0.0

    def forecast(
        self, waiting: QueuedAsk, before_ms: float, slot_count: int, now_ms: float
    ) -> Forecast:
        """Return what is expected of a queued request while all slots are taken.

        Args:
            waiting: the request.
            before_ms: sum of the queued work that is served before it.
            slot_count: number of slots that share the work.
            now_ms: the time of the process in milliseconds.
        """
        running_ms = self._running_sum_ms / max(1, len(self._running_ms))
        slot_ms = running_ms / max(1, slot_count)
        return Forecast(
            slot_ms + before_ms / max(1, slot_count),
            waiting.work,
            waiting.deadline_ms - now_ms,
            waiting.part_due_ms - now_ms,
            slot_ms,
        )

    def return_ms(
        self,
        waiting: QueuedAsk,
        forecast: Forecast,
        slot_count: int,
        now_ms: float,
        *,
        room_ms: float = 0.0,
    ) -> float:
        """Return after how long a refused caller should come back.

        That is when there is room, but not so late that the answer could no longer
        come in time.  Each caller gets a later time than those refused before it, as
        its work is done after theirs.

        Args:
            waiting: its request.
            forecast: when the request would have started.
            slot_count: number of slots that share the work.
            now_ms: the time of the process in milliseconds.
            room_ms: the earliest time at which there can be room.
        """
        waited_ms = now_ms - waiting.arrived_ms
        wait_ms = max(
            forecast.wait_ms or waited_ms, self._returns_from_ms - now_ms, room_ms
        )
        last_ms = waiting.deadline_ms - waiting.work.total_ms - now_ms
        if last_ms <= 0:
            return wait_ms
        if wait_ms <= last_ms:
            own_ms = waiting.work.total_ms / max(1, slot_count)
            self._returns_from_ms = now_ms + wait_ms + own_ms
        return min(wait_ms, last_ms)
