"""Counts of answers by version, replica and route, from which versions are judged."""

import math
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


DRAIN_QUANTILE = 0.99
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


class OrdinaryTimes:
    """Latest times of the old version's answers on one route."""

    def __init__(self) -> None:
        self._times_ms: deque[float] = deque(maxlen=TIMES_KEPT)
        self._learned_count = 0
        self.slow_ms = math.inf

    def learn(self, value_ms: float) -> None:
        """Learn a time; what counts as slow follows every few answers."""
        self._times_ms.append(value_ms)
        self._learned_count += 1
        if self._learned_count % TIMES_MIN == 0:
            ordinary_ms = median(self._times_ms)
            self.slow_ms = max(ordinary_ms * SLOW_FACTOR, ordinary_ms + SLOW_MS_MIN)

    def quantile_ms(self, share: float) -> float:
        """Return the time within which a share of the answers came."""
        times = sorted(self._times_ms)
        return times[min(len(times) - 1, int(len(times) * share))]


class Evidence:
    """What one scheduler has seen of both versions of a service since an order."""

    def __init__(self) -> None:
        self.tallies: Tallies = {}
        self._first: dict[str, OrdinaryTimes] = {}
        self._total: dict[str, OrdinaryTimes] = {}

    def learn_times(self, route: str, first_ms: float, total_ms: float) -> None:
        """Learn the ordinary times of a route from an answer of the old version."""
        for times, value_ms in ((self._first, first_ms), (self._total, total_ms)):
            if value_ms > 0:
                times.setdefault(route, OrdinaryTimes()).learn(value_ms)

    def is_slow(self, sample: Sample) -> bool:
        """Tell whether an answer took several times the old version's time."""
        first = self._first.get(sample.route)
        total = self._total.get(sample.route)
        return (first is not None and sample.first_ms > first.slow_ms) or (
            total is not None and sample.total_ms > total.slow_ms
        )

    def count(self, key: TallyKey, change: Tally) -> None:
        """Count requests that a replica got, and how they ended."""
        self.tallies[key] = self.tallies.get(key, Tally()).plus(change)

    def drain_ms(self) -> float:
        """Return the time in which the old version's requests usually end, or 0."""
        times = [found.quantile_ms(DRAIN_QUANTILE) for found in self._total.values()]
        return max(times, default=0.0)

    def restart(self) -> None:
        """Drop the counts for a new order; the ordinary times stay known."""
        self.tallies = {}
