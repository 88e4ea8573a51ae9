"""The queue that serves what can still be in time before what cannot."""

from collections.abc import Iterator

from hemlocktrestle.keeper._queue import (
    IsOpen,
    Waiting,
    _Present,
    class_of,
    queue,
)

SMOOTHING = 0.1
"""Share of a new answer in the usual time to the first part on a route."""

_Key = tuple[bool, int, float]


@queue("objective")
class ObjectiveQueue(_Present):
    """In-time asks by tier and then by aim; late ones after them.

    An ask whose aim can no longer be met is served when nothing else waits, so that
    it does not make others late too.
    """

    def __init__(self) -> None:
        super().__init__()
        self._first_ms: dict[str, float] = {}
        self._now_ms = 0.0

    def push(self, waiting: Waiting) -> None:
        """Add an ask; one with the same id is replaced."""
        self._number(waiting)

    def order(self, is_open: IsOpen) -> Iterator[Waiting]:
        """Yield asks that an upstream has room for, the first first."""
        for waiting in sorted(self.waiting(), key=self._key):
            if is_open(class_of(waiting.ask), waiting.ask.tier):
                yield waiting

    def last(self) -> Waiting | None:
        """Return the ask to shed first, or ``None``."""
        return max(self.waiting(), key=self._key, default=None)

    def advance(self, now_ms: float) -> None:
        """Take in the time."""
        self._now_ms = now_ms

    def learn(self, route: str, first_ms: float) -> None:
        """Take in the time to the first part of an answer of a route."""
        known_ms = self._first_ms.get(route, first_ms)
        self._first_ms[route] = known_ms + SMOOTHING * (first_ms - known_ms)

    def _key(self, waiting: Waiting) -> _Key:
        tier = waiting.ask.tier
        first_ms = self._first_ms.get(waiting.ask.route, 0.0)
        if self._now_ms + first_ms > waiting.aim_at_ms:
            return True, tier, waiting.arrived_ms
        return False, tier, waiting.aim_at_ms
