"""Latency histograms by key."""

from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

from hdrh.histogram import HdrHistogram

LATENCY_MS_MAX = 3_600_000
"""Largest latency that a histogram records, in milliseconds; larger ones are capped."""

SIGNIFICANT_DIGITS = 2
"""Precision of the histograms, in significant decimal digits."""

REPORTED_PERCENTILES = (50, 95, 99)

Key = TypeVar("Key", bound=Hashable)


class Percentiles(NamedTuple):
    """Count, sum and percentiles of one histogram; times are in milliseconds."""

    total_count: int
    sum_ms: float
    p50_ms: float
    p95_ms: float
    p99_ms: float


class _Histogram:
    __slots__ = ("counts", "sum_ms")

    def __init__(self) -> None:
        self.counts = HdrHistogram(1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS)
        # The sum is kept here, as the library's mean iterates over all counts, which
        # takes tens of milliseconds.
        self.sum_ms = 0.0


class Latencies(Generic[Key]):
    """Latency histograms by key, such as a name or a set of labels."""

    def __init__(self) -> None:
        self._histograms: dict[Key, _Histogram] = {}

    def record(self, key: Key, value_ms: float) -> None:
        """Record one latency."""
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = _Histogram()
        histogram.counts.record_value(max(1, min(LATENCY_MS_MAX, int(value_ms))))
        histogram.sum_ms += value_ms

    def percentiles(self) -> dict[Key, Percentiles]:
        """Return the percentiles of each histogram."""
        return {key: _percentiles_of(found) for key, found in self._histograms.items()}


def _percentiles_of(histogram: _Histogram) -> Percentiles:
    counts = histogram.counts
    values = counts.get_percentile_to_value_dict(REPORTED_PERCENTILES)
    return Percentiles(
        counts.get_total_count(),
        histogram.sum_ms,
        *(float(values[percentile]) for percentile in REPORTED_PERCENTILES),
    )
