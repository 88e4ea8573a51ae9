"""A moving estimate of a measured time, as RFC 6298 keeps one of round trips."""

MEAN_SMOOTHING = 1 / 8
"""Weight of a new value in the mean."""

DEVIATION_SMOOTHING = 1 / 4
"""Weight of a new value in the mean deviation."""

USUAL_DEVIATIONS = 4
"""Mean deviations above the mean up to which a value is usual."""

KNOWN_COUNT_MIN = 8
"""Values from which an estimate counts: single ones may be of an odd replica."""

USUAL_MEANS = 2
"""Multiple of the mean up to which a value is usual, however steady they were."""


class Estimate:
    """Moving mean and mean deviation of a time; all in the unit of what it learns."""

    __slots__ = ("_count", "_deviation", "mean")

    def __init__(self) -> None:
        self.mean = 0.0
        self._count = 0
        self._deviation = 0.0

    @property
    def is_known(self) -> bool:
        """Whether enough was measured to rely on it."""
        return self._count >= KNOWN_COUNT_MIN

    def learn(self, value: float) -> None:
        """Learn one measured value."""
        self._count += 1
        if self._count == 1:
            self.mean, self._deviation = value, value / 2
            return
        distance = abs(value - self.mean)
        self._deviation += DEVIATION_SMOOTHING * (distance - self._deviation)
        self.mean += MEAN_SMOOTHING * (value - self.mean)

    @property
    def usual_max(self) -> float:
        """The largest value that is not unusual; 0 if nothing was measured."""
        return max(
            USUAL_MEANS * self.mean, self.mean + USUAL_DEVIATIONS * self._deviation
        )


KEYS_MAX = 4_096
"""Keys whose estimates are kept; those that learned least recently go first."""

_UNKNOWN = Estimate()


class Estimates:
    """Estimates by key, bounded in number."""

    def __init__(self) -> None:
        self._by_key: dict[str, Estimate] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def learn(self, key: str, value: float) -> None:
        """Learn one measured value of a key."""
        estimate = self._by_key.pop(key, None) or Estimate()
        # The dictionary's order is that of learning.
        self._by_key[key] = estimate
        estimate.learn(value)
        if len(self._by_key) > KEYS_MAX:
            del self._by_key[next(iter(self._by_key))]

    def find(self, key: str) -> Estimate:
        """Return the estimate of a key; one that is not known if it never learned."""
        return self._by_key.get(key, _UNKNOWN)
