"""A queue that serves requests that can meet their objective before late ones."""

from collections.abc import Iterator
from typing import NamedTuple

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._queue import (
    AskClass,
    IsOpen,
    QueuedAsk,
    _Present,
    class_of,
    queue,
)

SMOOTHING = 0.1
"""Weight of a new answer in a route's moving average of the time to first part."""

_Entry = tuple[float, int, str]
"""Objective or arrival in milliseconds, number in order of arrival, and id."""

_Key = tuple[bool, int, float]
"""Whether a request is late, its tier, its objective or arrival in milliseconds."""


class _Kind(NamedTuple):
    """Requests that wait for the same upstreams to have room."""

    ask_class: AskClass
    tier: int


class _Line(NamedTuple):
    """Requests of one kind: those in time by objective, late ones by arrival."""

    in_time: LazyHeap[_Entry]
    late: LazyHeap[_Entry]


@queue("objective")
class ObjectiveQueue(_Present):
    """Requests in time by tier and then by objective; late ones after them.

    A request that can no longer meet its objective is served when no other is
    queued, so that it does not make others late too.
    Adding or serving a request takes O(log n); shedding scans the queue.
    """

    def __init__(self) -> None:
        super().__init__()
        self._first_ms: dict[str, float] = {}
        self._now_ms = 0.0
        self._lines: dict[_Kind, _Line] = {}

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        ask = waiting.ask
        kind = _Kind(class_of(ask), ask.tier)
        line = self._lines.get(kind)
        if line is None:
            line = _Line(LazyHeap(self._still_waits), LazyHeap(self._still_waits))
            self._lines[kind] = line
        number = self._number(waiting)
        line.in_time.push((waiting.objective_at_ms, number, ask.ask_id))

    def order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield requests that an upstream has room for, in order of service."""
        passed: list[tuple[LazyHeap[_Entry], _Entry]] = []
        try:
            while (found := self._first(is_open)) is not None:
                heap, entry = found
                yield self._present[entry[2]].waiting
                if self._still_waits(entry):
                    heap.pop()
                    passed.append(found)
        finally:
            for heap, entry in passed:
                heap.push(entry)
            self._forget_empty_lines()

    def last(self) -> QueuedAsk | None:
        """Return the request to shed first, or ``None``."""
        return max(self.waiting(), key=self._key, default=None)

    def advance(self, now_ms: float) -> None:
        """Set the time by which requests are late."""
        self._now_ms = now_ms

    def learn(self, route: str, first_ms: float) -> None:
        """Learn the time to the first part of an answer of a route."""
        known_ms = self._first_ms.get(route, first_ms)
        self._first_ms[route] = known_ms + SMOOTHING * (first_ms - known_ms)

    def _first(self, is_open: IsOpen) -> tuple[LazyHeap[_Entry], _Entry] | None:
        best: _Key | None = None
        found: tuple[LazyHeap[_Entry], _Entry] | None = None
        for kind, line in self._lines.items():
            if not is_open(*kind):
                continue
            heap, entry = self._head(line)
            if entry is None:
                continue
            key = (heap is line.late, kind.tier, entry[0])
            if best is None or key < best:
                best, found = key, (heap, entry)
        return found

    def _forget_empty_lines(self) -> None:
        for kind in [
            kind
            for kind, line in self._lines.items()
            if not len(line.in_time) and not len(line.late)
        ]:
            del self._lines[kind]

    def _head(self, line: _Line) -> tuple[LazyHeap[_Entry], _Entry | None]:
        """Return the first entry of a kind; move those that became late."""
        while (entry := line.in_time.peek()) is not None:
            waiting = self._present[entry[2]].waiting
            if not self._is_late(waiting):
                return line.in_time, entry
            line.in_time.pop()
            line.late.push((waiting.arrived_ms, entry[1], entry[2]))
        return line.late, line.late.peek()

    def _still_waits(self, entry: _Entry) -> bool:
        return self._is_present(entry[2], entry[1])

    def _is_late(self, waiting: QueuedAsk) -> bool:
        first_ms = self._first_ms.get(waiting.ask.route, 0.0)
        return self._now_ms + first_ms > waiting.objective_at_ms

    def _key(self, waiting: QueuedAsk) -> _Key:
        tier = waiting.ask.tier
        if self._is_late(waiting):
            return True, tier, waiting.arrived_ms
        return False, tier, waiting.objective_at_ms
