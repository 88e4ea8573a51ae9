"""A queue that serves, within each tier, the request with the least slack first."""

from bisect import bisect_left
from collections.abc import Iterator
from heapq import merge
from typing import NamedTuple

from hemlocktrestle.scheduler._queue import (
    AskClass,
    IsOpen,
    QueuedAsk,
    _IndexedQueue,
    class_of,
    queue,
)


class _Kind(NamedTuple):
    """Requests that wait for the same upstreams to have room."""

    tier: int
    ask_class: AskClass


class _Entry(NamedTuple):
    """A queued request; entries sort in order of service."""

    latest_start_ms: float
    number: int
    ask_id: str


class _KindQueue(NamedTuple):
    """Requests of one kind in order of service, and the work of each."""

    entries: list[_Entry]
    work_ms: list[float]


@queue("least_slack")
class LeastSlackQueue(_IndexedQueue):
    """Strict tiers; within a tier the least slack first, equal ones by arrival.

    Slack is the time left less the work left.  It falls at the same rate for all
    requests, so that their order is that of the latest times at which they may start.
    Requests of one kind are in one sorted list: an operation takes O(log n) steps
    and moves part of a list in memory.
    """

    def __init__(self) -> None:
        super().__init__()
        self._by_kind: dict[_Kind, _KindQueue] = {}

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        self.remove(waiting.ask.ask_id)
        number = self._number(waiting)
        kind_queue = self._by_kind.setdefault(_kind_of(waiting), _KindQueue([], []))
        entry = _Entry(waiting.latest_start_ms, number, waiting.ask.ask_id)
        index = bisect_left(kind_queue.entries, entry)
        kind_queue.entries.insert(index, entry)
        kind_queue.work_ms.insert(index, waiting.work.total_ms)

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is not served; ``None`` if it is not queued."""
        numbered = self._by_id.get(ask_id)
        if numbered is None:
            return None
        number, waiting = numbered
        kind = _kind_of(waiting)
        kind_queue = self._by_kind[kind]
        entry = _Entry(waiting.latest_start_ms, number, ask_id)
        index = bisect_left(kind_queue.entries, entry)
        del kind_queue.entries[index], kind_queue.work_ms[index]
        if not kind_queue.entries:
            del self._by_kind[kind]
        return super().remove(ask_id)

    def in_service_order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield requests that an upstream has room for, in order of service."""
        passed_counts: dict[_Kind, int] = {}
        while (kind := self._first_kind(is_open, passed_counts)) is not None:
            passed_count = passed_counts.get(kind, 0)
            entry = self._by_kind[kind].entries[passed_count]
            yield self._by_id[entry.ask_id].queued
            if self._is_current(entry.ask_id, entry.number):
                passed_counts[kind] = passed_count + 1

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first: of the lowest tier, the last in order."""
        last: tuple[int, _Entry] | None = None
        for kind, kind_queue in self._by_kind.items():
            found = (kind.tier, kind_queue.entries[-1])
            if last is None or found > last:
                last = found
        return self.get(last[1].ask_id) if last is not None else None

    def lowest_tier(self) -> list[QueuedAsk]:
        """Return the queued requests of the lowest tier, in order of service."""
        tier = max((kind.tier for kind in self._by_kind), default=0)
        entries = merge(
            *(
                kind_queue.entries
                for kind, kind_queue in self._by_kind.items()
                if kind.tier == tier
            )
        )
        return [self._by_id[entry.ask_id].queued for entry in entries]

    def is_lowest_tier(self, tier: int) -> bool:
        """Tell whether no request of a lower tier is queued."""
        return all(kind.tier <= tier for kind in self._by_kind)

    def work_before_ms(self, waiting: QueuedAsk) -> float:
        """Return the sum of the queued work that is served before a request."""
        number = self._by_id[waiting.ask.ask_id].number
        own = _Entry(waiting.latest_start_ms, number, waiting.ask.ask_id)
        tier = waiting.ask.tier
        before_ms = 0.0
        for kind, (entries, work_ms) in self._by_kind.items():
            if kind.tier == tier:
                before_ms += sum(work_ms[: bisect_left(entries, own)])
            elif kind.tier < tier:
                before_ms += sum(work_ms)
        return before_ms

    def _first_kind(
        self, is_open: IsOpen, passed_counts: dict[_Kind, int]
    ) -> _Kind | None:
        """Return the kind whose first request that was not passed over is next."""
        first: tuple[int, _Entry] | None = None
        found: _Kind | None = None
        for kind, (entries, _) in self._by_kind.items():
            passed_count = passed_counts.get(kind, 0)
            if passed_count >= len(entries) or not is_open(kind.ask_class, kind.tier):
                continue
            key = (kind.tier, entries[passed_count])
            if first is None or key < first:
                first, found = key, kind
        return found


def _kind_of(waiting: QueuedAsk) -> _Kind:
    return _Kind(waiting.ask.tier, class_of(waiting.ask))
