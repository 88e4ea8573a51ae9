"""How much slower an upstream is now than it used to be; stragglers among peers."""

from collections.abc import Iterable
from statistics import median_low

SMOOTHING = 0.3
"""Share of a new observation in the running estimate."""

RECOVERY_MS = 5_000.0
"""Time in which a slowdown that is no longer observed halves, in milliseconds."""

STRAGGLER_FACTOR = 2.5
"""Slowdown against the own past and against the peers that makes a straggler."""

TELLING_MS = 2_000.0
"""Expected time from which a request tells as much as any, in milliseconds."""

SLOWDOWN_MAX = 100.0


class Slowdown:
    """The ratio of observed to predicted times, which fades unless it is renewed."""

    __slots__ = ("_factor", "_seen_ms")

    def __init__(self) -> None:
        self._factor = 1.0
        self._seen_ms = 0.0

    def factor(self, now_ms: float) -> float:
        """Return the slowdown; 1 means as ever."""
        age_ms = max(0.0, now_ms - self._seen_ms)
        faded: float = 0.5 ** (age_ms / RECOVERY_MS)
        return 1.0 + (self._factor - 1.0) * faded

    def learn(self, ratio: float, expected_ms: float, now_ms: float) -> None:
        """Take in the ratio that a finished request shows; a short one shows less."""
        factor = self.factor(now_ms)
        weight = SMOOTHING * min(1.0, expected_ms / TELLING_MS)
        wanted = min(max(ratio, 0.2), SLOWDOWN_MAX)
        self._factor = factor + weight * (wanted - factor)
        self._seen_ms = now_ms

    def overdue(self, ratio: float, now_ms: float) -> None:
        """Take in that unfinished requests already take this much longer."""
        if ratio > self.factor(now_ms):
            self._factor = min(ratio, SLOWDOWN_MAX)
            self._seen_ms = now_ms


def straggler_limit(factors: Iterable[float]) -> float:
    """Return the slowdown above which an upstream is a straggler among its peers."""
    return STRAGGLER_FACTOR * max(1.0, median_low(factors))
