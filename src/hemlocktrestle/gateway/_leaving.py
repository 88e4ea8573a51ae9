"""Replicas that said in an answer that they leave, by incarnation."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

BORN_UNKNOWN = 0
"""Value of ``born_ms`` while the start of a replica is not known."""

LEAVING_KEPT_MS = 120_000.0
"""Time for which an incarnation that is not listed is remembered, in milliseconds.

A replica ends within its drain time and some seconds; schedulers that are cut off may
choose it a little longer.
"""

LEAVING_COUNT_MAX = 4_096
"""Most incarnations that are remembered; it exceeds the replicas of a large system."""


class Incarnation(NamedTuple):
    """One start of a replica.

    Args:
        replica_id: its id, which a later start may have again.
        born_ms: wall-clock time of the start, ``BORN_UNKNOWN`` if not known.
    """

    replica_id: str
    born_ms: int


class LeavingIncarnations:
    """The incarnations that are known to leave.

    What an incarnation said binds only itself: the same id with another start, or
    another id at its address, takes work.  If the start is not known on one side, any
    incarnation of the id may be the one that leaves, for ``LEAVING_KEPT_MS``.
    """

    def __init__(self) -> None:
        self._learned_ms: dict[str, dict[int, float]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._learned_ms.values()))

    def __iter__(self) -> Iterator[Incarnation]:
        for replica_id, starts in self._learned_ms.items():
            for born_ms in starts:
                yield Incarnation(replica_id, born_ms)

    def record(
        self,
        incarnation: Incarnation,
        is_listed: Callable[[Incarnation], bool],
        now_ms: float,
    ) -> bool:
        """Record that an incarnation leaves.

        Args:
            incarnation: the one that leaves.
            is_listed: tells whether an incarnation is registered and so not forgotten.
            now_ms: the time of the process in milliseconds.

        Returns:
            Whether this was not known.
        """
        starts = self._learned_ms.setdefault(incarnation.replica_id, {})
        is_new = incarnation.born_ms not in starts
        starts[incarnation.born_ms] = now_ms
        if is_new:
            self._forget(is_listed, now_ms)
        return is_new

    def learned_ms(self, incarnation: Incarnation, now_ms: float) -> float | None:
        """Return when it was last learned that an incarnation leaves, or ``None``."""
        replica_id, born_ms = incarnation
        starts = self._learned_ms.get(replica_id)
        if starts is None:
            return None
        if born_ms != BORN_UNKNOWN and born_ms in starts:
            return starts[born_ms]
        possible = [
            at_ms
            for known_ms, at_ms in starts.items()
            if BORN_UNKNOWN in {known_ms, born_ms} and now_ms - at_ms < LEAVING_KEPT_MS
        ]
        return max(possible, default=None)

    def _forget(self, is_listed: Callable[[Incarnation], bool], now_ms: float) -> None:
        """Forget what has ended, and the oldest beyond the bound."""
        for known in list(self):
            age_ms = now_ms - self._learned_ms[known.replica_id][known.born_ms]
            if age_ms >= LEAVING_KEPT_MS and not is_listed(known):
                self._drop(known)
        excess_count = len(self) - LEAVING_COUNT_MAX
        if excess_count > 0:
            oldest = sorted(
                self, key=lambda known: self._learned_ms[known[0]][known[1]]
            )
            for known in oldest[:excess_count]:
                self._drop(known)

    def _drop(self, known: Incarnation) -> None:
        starts = self._learned_ms[known.replica_id]
        del starts[known.born_ms]
        if not starts:
            del self._learned_ms[known.replica_id]
