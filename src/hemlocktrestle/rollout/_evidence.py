"""Counts of answers by version, replica and route, from which versions are judged."""

from collections import deque
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

SLOW_FACTOR = 2.5
"""Factor on the old version's median from which an answer counts as slow.

A version whose answers take several times as long exceeds it.
"""

SLOW_MS_MIN = 20.0
"""Answers that are slower by less than this are not counted as slow, in ms."""

TIMES_KEPT = 200
"""Latest answers of the old version by which a route's ordinary time is known."""

TIMES_MIN = 10
"""Answers of the old version that are needed to know it."""


DRAIN_QUANTILE = 0.95
"""Share of the old version's requests that have ended after the drain time."""


class TallyKey(NamedTuple):
    """What one count is about; ``replica`` is empty for the old version."""

    is_target: bool
    route: str
    replica: str = ""


class Tally(NamedTuple):
    """Requests, those of them that have ended, and failures or slow answers.

    Failures often come sooner than answers: if only ended requests were compared, the
    first ones of a version would look worse than they are.
    """

    request_count: int = 0
    ended_count: int = 0
    bad_count: int = 0

    def plus(self, other: "Tally") -> "Tally":
        """Return the sum of two tallies."""
        return Tally(*map(sum, zip(self, other, strict=True)))

    def minus(self, other: "Tally") -> "Tally":
        """Return this tally without a part of it."""
        return Tally(*(own - part for own, part in zip(self, other, strict=True)))

    def since(self, earlier: "Tally") -> "Tally":
        """Return the requests that ran since an earlier tally."""
        return Tally(
            self.request_count - earlier.ended_count,
            self.ended_count - earlier.ended_count,
            self.bad_count - earlier.bad_count,
        )


Tallies = dict[TallyKey, Tally]


def merged(sources: Iterable[Tallies]) -> Tallies:
    """Return the sum of the tallies of several schedulers."""
    total: Tallies = {}
    for tallies in sources:
        for key, tally in tallies.items():
            total[key] = total.get(key, Tally()).plus(tally)
    return total


class Sample(NamedTuple):
    """Times of an answer or of a part of it, 0 where they are not known."""

    route: str
    first_ms: float = 0.0
    total_ms: float = 0.0


class Evidence:
    """What one scheduler has seen of both versions of a service since an order."""

    def __init__(self) -> None:
        self.tallies: Tallies = {}
        self._first_ms: dict[str, deque[float]] = {}
        self._total_ms: dict[str, deque[float]] = {}

    def learn_times(self, route: str, first_ms: float, total_ms: float) -> None:
        """Learn the ordinary times of a route from an answer of the old version."""
        for times, value in ((self._first_ms, first_ms), (self._total_ms, total_ms)):
            if value > 0:
                times.setdefault(route, deque(maxlen=TIMES_KEPT)).append(value)

    def is_slow(self, sample: Sample) -> bool:
        """Tell whether an answer took several times the old version's time."""
        return _exceeds(self._first_ms.get(sample.route), sample.first_ms) or _exceeds(
            self._total_ms.get(sample.route), sample.total_ms
        )

    def count(self, key: TallyKey, change: Tally) -> None:
        """Count requests that a replica got, and how they ended."""
        self.tallies[key] = self.tallies.get(key, Tally()).plus(change)

    def drain_ms(self) -> float:
        """Return the time in which the old version's requests usually end, or 0."""
        return max(
            (
                sorted(times)[int(len(times) * DRAIN_QUANTILE)]
                for times in self._total_ms.values()
            ),
            default=0.0,
        )

    def restart(self) -> None:
        """Drop the counts for a new order; the ordinary times stay known."""
        self.tallies = {}


def _exceeds(times: deque[float] | None, value_ms: float) -> bool:
    if times is None or len(times) < TIMES_MIN or value_ms <= 0:
        return False
    ordinary_ms = median(times)
    return value_ms > max(ordinary_ms * SLOW_FACTOR, ordinary_ms + SLOW_MS_MIN)
