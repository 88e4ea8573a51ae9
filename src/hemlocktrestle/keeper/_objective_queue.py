"""The queue that serves what can still be in time, by urgency and replica time."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from hemlocktrestle.keeper._queue import (
    AskClass,
    IsOpen,
    Waiting,
    _Present,
    class_of,
    queue,
)

SMOOTHING = 0.1
"""Share of a new observation in what a route's requests take."""

FIRST_MARGIN = 2.0
"""Factor on the mean time to a first part, so that most come within it."""

RANK_FACTOR = 4.0
"""How much more an ask counts than one of the next rank for the same replica time."""

COUNTED_MS = 1_000.0
"""Time over which grants and arrivals are counted, in milliseconds."""

COUNTED_MAX = 4_096
"""Events of one kind that are remembered."""

TIERS_SEEN = (0, 1, 2)
"""Ranks of tiers for which upstreams keep room apart."""

UNKNOWN_MS = 1_000.0
"""Time that a request of an unknown route is taken to need, in milliseconds."""


class _Takes(NamedTuple):
    """What the requests of a route take: time to the first part, and in all."""

    first_ms: float
    total_ms: float


class _Kind(NamedTuple):
    """Asks of one rank and route."""

    tier: int
    route: str


class _RecentCount:
    """How often something happened of late."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=COUNTED_MAX)

    def note(self, now_ms: float) -> None:
        self._times.append(now_ms)

    def within(self, now_ms: float) -> int:
        while self._times and self._times[0] < now_ms - COUNTED_MS:
            self._times.popleft()
        return len(self._times)


_Key = tuple[bool, int, float, float]


@queue("objective")
class ObjectiveQueue(_Present):
    """In-time asks first: the highest rank, then the most urgency for the time.

    An ask whose aim can no longer be met is served when nothing else waits, so that
    it does not make others late too.
    """

    def __init__(self) -> None:
        super().__init__()
        self._takes: dict[str, _Takes] = {}
        self._grants = _RecentCount()
        self._arrivals: dict[_Kind, _RecentCount] = {}
        self._now_ms = 0.0

    def push(self, waiting: Waiting) -> None:
        """Add an ask; one with the same id is replaced."""
        self._number(waiting)
        if not self.is_late_after(waiting, 0.0):
            kind = _Kind(waiting.ask.tier, waiting.ask.route)
            self._arrivals.setdefault(kind, _RecentCount()).note(waiting.arrived_ms)

    def order(self, is_open: IsOpen) -> Iterator[Waiting]:
        """Yield asks that an upstream has room for, the first first."""
        if not any(is_open(AskClass((), False), tier) for tier in TIERS_SEEN):
            return
        for waiting in sorted(self.waiting(), key=self._key):
            if is_open(class_of(waiting.ask), waiting.ask.tier):
                yield waiting

    def take(self, ask_id: str) -> Waiting | None:
        """Take out an ask that is served."""
        self._grants.note(self._now_ms)
        return self.remove(ask_id)

    def remove(self, ask_id: str) -> Waiting | None:
        """Take out an ask that is not served, and return it if it was there."""
        entry = self._present.pop(ask_id, None)
        return entry.waiting if entry is not None else None

    def last(self) -> Waiting | None:
        """Return the ask to shed first, or ``None``."""
        return max(self.waiting(), key=self._key, default=None)

    def advance(self, now_ms: float) -> None:
        """Take in the time."""
        self._now_ms = now_ms

    def learn(self, route: str, first_ms: float, total_ms: float) -> None:
        """Take in what a request of a route took."""
        known = self._takes.get(route)
        if known is None:
            self._takes[route] = _Takes(first_ms, total_ms)
            return
        self._takes[route] = _Takes(
            known.first_ms + SMOOTHING * (first_ms - known.first_ms),
            known.total_ms + SMOOTHING * (total_ms - known.total_ms),
        )

    def wait_ms(self, waiting: Waiting) -> float:
        """Estimate how long an ask that has just come will wait.

        Asks that go first come on arriving meanwhile and take their part of the
        places that become free.
        """
        key = self._key(waiting)
        ahead_count = sum(self._key(other) < key for other in self.waiting())
        if not ahead_count:
            return 0.0
        own = self._place(_Kind(waiting.ask.tier, waiting.ask.route))
        arrived_count = sum(
            count.within(self._now_ms)
            for kind, count in self._arrivals.items()
            if self._place(kind) < own
        )
        free_count = self._grants.within(self._now_ms) - arrived_count
        return ahead_count * COUNTED_MS / max(1, free_count)

    def is_late_after(self, waiting: Waiting, wait_ms: float) -> bool:
        """Tell whether an ask would miss its aim after a wait from now."""
        takes = self._takes.get(waiting.ask.route)
        first_ms = takes.first_ms * FIRST_MARGIN if takes is not None else 0.0
        return self._now_ms + wait_ms + first_ms > waiting.aim_at_ms

    def _total_ms(self, route: str) -> float:
        takes = self._takes.get(route)
        return takes.total_ms if takes is not None else UNKNOWN_MS

    def _key(self, waiting: Waiting) -> _Key:
        tier = waiting.ask.tier
        if self.is_late_after(waiting, 0.0):
            return True, tier, 0.0, waiting.arrived_ms
        place = self._place(_Kind(tier, waiting.ask.route))
        return False, *place, waiting.aim_at_ms

    def _place(self, kind: _Kind) -> tuple[int, float]:
        """Return the place of asks of a kind that can be in time."""
        total_ms = max(1.0, self._total_ms(kind.route))
        return min(kind.tier, 1), -(RANK_FACTOR**-kind.tier) / total_ms
