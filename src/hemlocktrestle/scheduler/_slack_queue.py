"""A queue that serves, within each tier, the request with the least slack first."""

from bisect import bisect_left, insort
from collections.abc import Iterator
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
        self._by_kind: dict[_Kind, list[_Entry]] = {}

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        self.remove(waiting.ask.ask_id)
        number = self._number(waiting)
        entries = self._by_kind.setdefault(_kind_of(waiting), [])
        insort(entries, _Entry(waiting.latest_start_ms, number, waiting.ask.ask_id))

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is not served; ``None`` if it is not queued."""
        numbered = self._by_id.get(ask_id)
        if numbered is None:
            return None
        number, waiting = numbered
        kind = _kind_of(waiting)
        entries = self._by_kind[kind]
        entry = _Entry(waiting.latest_start_ms, number, ask_id)
        del entries[bisect_left(entries, entry)]
        if not entries:
            del self._by_kind[kind]
        return super().remove(ask_id)

    def in_service_order(self, is_open: IsOpen) -> Iterator[QueuedAsk]:
        """Yield requests that an upstream has room for, in order of service."""
        passed_counts: dict[_Kind, int] = {}
        while (kind := self._first_kind(is_open, passed_counts)) is not None:
            passed_count = passed_counts.get(kind, 0)
            entry = self._by_kind[kind][passed_count]
            yield self._by_id[entry.ask_id].queued
            if self._is_current(entry.ask_id, entry.number):
                passed_counts[kind] = passed_count + 1

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first: of the lowest tier, the last in order."""
        last: tuple[int, _Entry] | None = None
        for kind, entries in self._by_kind.items():
            found = (kind.tier, entries[-1])
            if last is None or found > last:
                last = found
        return self.get(last[1].ask_id) if last is not None else None

    def _first_kind(
        self, is_open: IsOpen, passed_counts: dict[_Kind, int]
    ) -> _Kind | None:
        """Return the kind whose first request that was not passed over is next."""
        first: tuple[int, _Entry] | None = None
        found: _Kind | None = None
        for kind, entries in self._by_kind.items():
            passed_count = passed_counts.get(kind, 0)
            if passed_count >= len(entries) or not is_open(kind.ask_class, kind.tier):
                continue
            key = (kind.tier, entries[passed_count])
            if first is None or key < first:
                first, found = key, kind
        return found


def _kind_of(waiting: QueuedAsk) -> _Kind:
    return _Kind(waiting.ask.tier, class_of(waiting.ask))
