"""How much slower an upstream is now than it was; stragglers among its peers."""

from collections.abc import Iterable
from statistics import median_low

SMOOTHING = 0.3
"""Weight of a new observation in the moving average."""

HALF_LIFE_MS = 5_000.0
"""Half-life of a slowdown that is no longer observed, in milliseconds."""

STRAGGLER_FACTOR = 2.5
"""Slowdown, relative to its own past and its peers, that makes a straggler."""

FULL_WEIGHT_MS = 2_000.0
"""Expected time from which a request has full weight, in milliseconds."""

SLOWDOWN_MAX = 100.0


class Slowdown:
    """Moving average of observed over predicted time, which decays towards 1."""

    __slots__ = ("_factor", "_updated_ms")

    def __init__(self) -> None:
        self._factor = 1.0
        self._updated_ms = 0.0

    def factor(self, now_ms: float) -> float:
        """Return the slowdown; 1 means the usual speed."""
        age_ms = max(0.0, now_ms - self._updated_ms)
        faded: float = 0.5 ** (age_ms / HALF_LIFE_MS)
        return 1.0 + (self._factor - 1.0) * faded

    def learn(self, ratio: float, expected_ms: float, now_ms: float) -> None:
        """Learn the ratio of a finished request; a short one has less weight."""
        factor = self.factor(now_ms)
        weight = SMOOTHING * min(1.0, expected_ms / FULL_WEIGHT_MS)
        wanted = min(max(ratio, 0.2), SLOWDOWN_MAX)
        self._factor = factor + weight * (wanted - factor)
        self._updated_ms = now_ms

    def learn_overdue(self, ratio: float, now_ms: float) -> None:
        """Learn that unfinished requests have already taken this much longer."""
        if ratio > self.factor(now_ms):
            self._factor = min(ratio, SLOWDOWN_MAX)
            self._updated_ms = now_ms


def straggler_limit(factors: Iterable[float]) -> float:
    """Return the slowdown above which an upstream is a straggler among its peers."""
    return STRAGGLER_FACTOR * max(1.0, median_low(factors))
