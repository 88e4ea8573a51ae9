"""Measured points, slopes fitted to them, and the registry of measurements."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

REPEATS = 5
"""Number of repetitions of each point; the median is used."""


class Point(NamedTuple):
    """A value measured at one size: median, lowest and highest repetition."""

    size: int
    value: float
    low: float
    high: float


class Slope(NamedTuple):
    """How a value grows with a size: ``value = fixed + per_size * size``.

    Args:
        name: what was measured.
        size_unit: what the size counts.
        value_unit: unit of the value.
        points: the measured points, smallest size first.
    """

    name: str
    size_unit: str
    value_unit: str
    points: tuple[Point, ...]

    @property
    def per_size(self) -> float:
        """The slope of the least-squares line."""
        return self._fit().slope

    @property
    def fixed(self) -> float:
        """The value of the least-squares line at size 0."""
        return self._fit().intercept

    @property
    def spread(self) -> float:
        """The largest range of a point's repetitions, relative to its median."""
        return max(
            (point.high - point.low) / point.value if point.value else 0.0
            for point in self.points
        )

    def at(self, size: float) -> float:
        """Return the value of the fitted line at a size."""
        return self.fixed + self.per_size * size

    def _fit(self) -> statistics.LinearRegression:
        return statistics.linear_regression(
            [point.size for point in self.points],
            [point.value for point in self.points],
        )


Measurement = Callable[[], Iterable[Slope]]

MEASUREMENTS: dict[str, Measurement] = {}
"""Measurements by their name on the command line."""


def measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Register the decorated function as a measurement of one or more slopes."""

    def register(function: Measurement) -> Measurement:
        MEASUREMENTS[name] = function
        return function

    return register


def point(size: int, values: Iterable[float]) -> Point:
    """Return the point given by the repetitions of one measurement."""
    found = sorted(values)
    return Point(size, statistics.median(found), found[0], found[-1])


def cpu_us(action: Callable[[], Any]) -> float:
    """Return the processor time that an action takes, in microseconds."""
    gc.collect()
    before_s = time.process_time()
    action()
    return (time.process_time() - before_s) * 1e6


def cpu_point(
    size: int, prepare: Callable[[], Callable[[], Any]], *, per: int = 1
) -> Point:
    """Measure processor time at one size, divided by a number of operations.

    Args:
        size: the size.
        prepare: returns a fresh action for each repetition.
        per: number of operations performed by the action.
    """
    return point(size, [cpu_us(prepare()) / per for _ in range(REPEATS)])


def held_bytes(make: Callable[[], Any]) -> float:
    """Return the memory held by a newly made object, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0]
        del kept
        return float(held)
    finally:
        tracemalloc.stop()
