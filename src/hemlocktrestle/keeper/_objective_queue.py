"""The queue that serves what can still be in time, by urgency and replica time."""

from typing import NamedTuple

from hemlocktrestle.keeper._queue import IsOpen, Waiting, _Present, class_of, queue

SMOOTHING = 0.1
"""Share of a new observation in what a route's requests take."""

RANK_FACTOR = 4.0
"""How much more an ask counts than one of the next rank for the same replica time."""

UNKNOWN_MS = 1_000.0
"""Time that a request of an unknown route is taken to need, in milliseconds."""


class _Takes(NamedTuple):
    """What the requests of a route take: time to the first part, and in all."""

    first_ms: float
    total_ms: float


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
        self._now_ms = 0.0

    def push(self, waiting: Waiting) -> None:
        """Add an ask; one with the same id is replaced."""
        self._number(waiting)

    def peek(self, is_open: IsOpen) -> Waiting | None:
        """Return the first ask that an upstream has room for, or ``None``."""
        best: Waiting | None = None
        best_key: _Key | None = None
        for entry in self._present.values():
            waiting = entry.waiting
            key = self._key(waiting)
            if best_key is not None and key >= best_key:
                continue
            if is_open(class_of(waiting.ask), waiting.ask.tier):
                best, best_key = waiting, key
        return best

    def take(self, ask_id: str) -> Waiting | None:
        """Take out an ask that is served."""
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

    def ahead_ms(self, waiting: Waiting) -> float:
        """Return the replica time that goes to asks before this one."""
        key = self._key(waiting)
        return sum(
            self._total_ms(other.ask.route)
            for other in self.waiting()
            if self._key(other) < key
        )

    def is_late_after(self, waiting: Waiting, wait_ms: float) -> bool:
        """Tell whether an ask would miss its aim after a wait from now."""
        takes = self._takes.get(waiting.ask.route)
        first_ms = takes.first_ms if takes is not None else 0.0
        return self._now_ms + wait_ms + first_ms > waiting.aim_at_ms

    def _total_ms(self, route: str) -> float:
        takes = self._takes.get(route)
        return takes.total_ms if takes is not None else UNKNOWN_MS

    def _key(self, waiting: Waiting) -> _Key:
        tier = waiting.ask.tier
        if self.is_late_after(waiting, 0.0):
            return True, tier, 0.0, waiting.arrived_ms
        total_ms = max(1.0, self._total_ms(waiting.ask.route))
        density = RANK_FACTOR**-tier / total_ms
        return False, min(tier, 1), -density, waiting.aim_at_ms
