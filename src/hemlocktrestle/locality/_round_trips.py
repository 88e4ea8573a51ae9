"""Measured round trips by destination: their mean, and the shortest of late."""

import math

from hemlocktrestle.latency import Estimates

FLOOR_WINDOW_MS = 30_000.0
"""Age up to which a round trip counts as the shortest, in milliseconds.

Longer than a burst that fills a link, so that its delay does not count as the way's.
"""


class _Floor:
    """Minimum over one to two windows."""

    __slots__ = ("_current_ms", "_previous_ms", "_since_ms", "learned_ms")

    def __init__(self, now_ms: float) -> None:
        self._current_ms = self._previous_ms = math.inf
        self._since_ms = self.learned_ms = now_ms

    def learn(self, value_ms: float, now_ms: float) -> None:
        self.learned_ms = now_ms
        if now_ms - self._since_ms >= FLOOR_WINDOW_MS:
            self._previous_ms, self._current_ms = self._current_ms, math.inf
            self._since_ms = now_ms
        self._current_ms = min(self._current_ms, value_ms)

    @property
    def value_ms(self) -> float:
        return min(self._current_ms, self._previous_ms)


class RoundTrips:
    """Round trips to zones or regions, in milliseconds."""

    def __init__(self) -> None:
        self._means = Estimates()
        self._floors: dict[str, _Floor] = {}

    def learn(self, destination: str, value_ms: float, now_ms: float) -> None:
        """Learn one measured round trip."""
        self._means.learn(destination, value_ms)
        floor = self._floors.get(destination)
        if floor is None:
            floor = self._floors[destination] = _Floor(now_ms)
        floor.learn(value_ms, now_ms)

    def mean_ms(self, destination: str) -> float:
        """Return the moving mean, 0 if nothing was measured."""
        return self._means.find(destination).mean

    def floor_ms(self, destination: str) -> float:
        """Return the shortest of late, 0 if nothing was measured."""
        floor = self._floors.get(destination)
        return floor.value_ms if floor is not None else 0.0

    def recent_floor_ms(self, destination: str, now_ms: float) -> float:
        """Return the shortest of late, 0 if nothing was measured of late."""
        floor = self._floors.get(destination)
        if floor is None or now_ms - floor.learned_ms > FLOOR_WINDOW_MS:
            return 0.0
        return floor.value_ms
