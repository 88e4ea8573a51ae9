"""A queue that serves requests that can meet their objective before late ones."""

from collections.abc import Iterator
from typing import NamedTuple

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._queue import (
    AskClass,
    IsOpen,
    QueuedAsk,
    _IndexedQueue,
    class_of,
    queue,
)

FIRST_PART_SMOOTHING = 0.1
"""Weight of a new answer in a route's moving average of the time to first part."""

_Entry = tuple[float, int, str]
"""Objective or arrival in milliseconds, number in order of arrival, and id."""

_SortKey = tuple[bool, int, float]
"""Whether a request is late, its tier, its objective or arrival in milliseconds."""


class _Kind(NamedTuple):
    """Requests that wait for the same upstreams to have room."""

    ask_class: AskClass
    tier: int


class _KindQueue(NamedTuple):
    """Requests of one kind: those in time by objective, late ones by arrival."""

    in_time: LazyHeap[_Entry]
    late: LazyHeap[_Entry]


@queue("objective")
class ObjectiveQueue(_IndexedQueue):
    """Requests in time by tier and then by objective; late ones after them.

    A request that can no longer meet its objective is served when no other is
    queued, so that it does not make others late too.
    Adding or serving a request takes O(log n); shedding scans the queue.
    """

    def __init__(self) -> None:
        super().__init__()
        self._first_part_ms: dict[str, float] = {}
        self._now_ms = 0.0
        self._by_kind: dict[_Kind, _KindQueue] = {}

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        ask = waiting.ask
        kind = _Kind(class_of(ask), ask.tier)
        kind_queue = self._by_kind.get(kind)
        if kind_queue is None:
            kind_queue = _KindQueue(
                LazyHeap(self._is_entry_current), LazyHeap(self._is_entry_current)
            )
            self._by_kind[kind] = kind_queue
        number = self._number(waiting)
        kind_queue.in_time.push((waiting.objective_at_ms, number, ask.ask_id))

    def in_service_order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield requests that an upstream has room for, in order of service."""
        passed: list[tuple[LazyHeap[_Entry], _Entry]] = []
        try:
            while (found := self._first_servable(is_open)) is not None:
                heap, entry = found
                yield self._by_id[entry[2]].queued
                if self._is_entry_current(entry):
                    heap.pop()
                    passed.append(found)
        finally:
            for heap, entry in passed:
                heap.push(entry)
            self._remove_empty_kinds()

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first, or ``None``."""
        return max(self.queued_asks(), key=self._sort_key, default=None)

    def advance(self, now_ms: float) -> None:
        """Set the time by which requests are late."""
        self._now_ms = now_ms

    def learn(self, route: str, first_ms: float) -> None:
        """Learn the time to the first part of an answer of a route."""
        known_ms = self._first_part_ms.get(route, first_ms)
        self._first_part_ms[route] = known_ms + FIRST_PART_SMOOTHING * (
            first_ms - known_ms
        )

    def _first_servable(
        self, is_open: IsOpen
    ) -> tuple[LazyHeap[_Entry], _Entry] | None:
        best: _SortKey | None = None
        found: tuple[LazyHeap[_Entry], _Entry] | None = None
        for kind, kind_queue in self._by_kind.items():
            if not is_open(*kind):
                continue
            heap, entry = self._first_of_kind(kind_queue)
            if entry is None:
                continue
            key = (heap is kind_queue.late, kind.tier, entry[0])
            if best is None or key < best:
                best, found = key, (heap, entry)
        return found

    def _remove_empty_kinds(self) -> None:
        for kind in [
            kind
            for kind, kind_queue in self._by_kind.items()
            if not len(kind_queue.in_time) and not len(kind_queue.late)
        ]:
            del self._by_kind[kind]

    def _first_of_kind(
        self, kind_queue: _KindQueue
    ) -> tuple[LazyHeap[_Entry], _Entry | None]:
        """Return the first entry of a kind; move those that became late."""
        while (entry := kind_queue.in_time.peek()) is not None:
            waiting = self._by_id[entry[2]].queued
            if not self._is_late(waiting):
                return kind_queue.in_time, entry
            kind_queue.in_time.pop()
            kind_queue.late.push((waiting.arrived_ms, entry[1], entry[2]))
        return kind_queue.late, kind_queue.late.peek()

    def _is_entry_current(self, entry: _Entry) -> bool:
        return self._is_current(entry[2], entry[1])

    def _is_late(self, waiting: QueuedAsk) -> bool:
        first_ms = self._first_part_ms.get(waiting.ask.route, 0.0)
        return self._now_ms + first_ms > waiting.objective_at_ms

    def _sort_key(self, waiting: QueuedAsk) -> _SortKey:
        tier = waiting.ask.tier
        if self._is_late(waiting):
            return True, tier, waiting.arrived_ms
        return False, tier, waiting.objective_at_ms
