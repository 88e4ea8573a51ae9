"""An event loop in virtual time."""

import heapq
from collections.abc import Callable

Action = Callable[[], None]


class Loop:
    """Runs scheduled actions in order of time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._count = 0
        self._events: list[tuple[float, int, Action]] = []

    def after(self, delay_ms: float, action: Action) -> None:
        """Schedule an action after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, action))

    def run(self, until_ms: float) -> None:
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
