"""A moving estimate of a measured time, as RFC 6298 keeps one of round trips."""

MEAN_SMOOTHING = 1 / 8
"""Weight of a new value in the mean."""

DEVIATION_SMOOTHING = 1 / 4
"""Weight of a new value in the mean deviation."""

USUAL_DEVIATIONS = 4
"""Mean deviations above the mean up to which a value is usual."""

USUAL_MEANS = 2
"""Multiple of the mean up to which a value is usual, however steady they were."""


class Estimate:
    """Moving mean and mean deviation of a time; all in the unit of what it learns."""

    __slots__ = ("_deviation", "is_known", "mean")

    def __init__(self) -> None:
        self.is_known = False
        self.mean = 0.0
        self._deviation = 0.0

    def learn(self, value: float) -> None:
        """Learn one measured value."""
        if not self.is_known:
            self.is_known = True
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
