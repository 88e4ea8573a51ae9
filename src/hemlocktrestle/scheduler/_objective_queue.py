"""The queue that serves what can still be in time before what cannot."""

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
"""Share of a new answer in the usual time to the first part on a route."""

_Entry = tuple[float, int, str]
"""Aim or arrival in milliseconds, number in order of arrival, and id."""

_Key = tuple[bool, int, float]
"""Whether an ask is late, its tier, and its aim or arrival in milliseconds."""


class _Kind(NamedTuple):
    """Asks that wait for room of the same kind."""

    ask_class: AskClass
    tier: int


class _Line(NamedTuple):
    """The asks of one kind: those in time by aim, the late ones by arrival."""

    in_time: LazyHeap[_Entry]
    late: LazyHeap[_Entry]


@queue("objective")
class ObjectiveQueue(_Present):
    """In-time asks by tier and then by aim; late ones after them.

    An ask whose aim can no longer be met is served when nothing else waits, so that
    it does not make others late too.  An event costs a logarithm of what waits.
    """

    def __init__(self) -> None:
        super().__init__()
        self._first_ms: dict[str, float] = {}
        self._now_ms = 0.0
        self._lines: dict[_Kind, _Line] = {}

    def push(self, waiting: QueuedAsk) -> None:
        """Add an ask; one with the same id is replaced."""
        ask = waiting.ask
        kind = _Kind(class_of(ask), ask.tier)
        line = self._lines.get(kind)
        if line is None:
            line = _Line(LazyHeap(self._still_waits), LazyHeap(self._still_waits))
            self._lines[kind] = line
        number = self._number(waiting)
        line.in_time.push((waiting.objective_at_ms, number, ask.ask_id))

    def order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield asks that an upstream has room for, the first first."""
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
        """Return the ask to shed first, or ``None``."""
        return max(self.waiting(), key=self._key, default=None)

    def advance(self, now_ms: float) -> None:
        """Take in the time."""
        self._now_ms = now_ms

    def learn(self, route: str, first_ms: float) -> None:
        """Take in the time to the first part of an answer of a route."""
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
        """Return the first entry of a line; what has become late joins the late."""
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
