"""Replicas that asked this VM for a pause, and their return to work by degrees."""

import math
from collections.abc import Collection
from typing import NamedTuple

from hemlocktrestle.gateway._leaving import BORN_UNKNOWN, Incarnation

PAUSE_MS_MAX = 600_000.0
"""Longest pause that is kept, in milliseconds.

A replica that asks for more is probed then: it may have meant another unit.
"""

RETURN_MS_MAX = 5_000.0
"""Time after a pause in which work returns by degrees, in milliseconds."""

RETURN_COUNT_MAX = 16
"""Concurrent requests from which a replica has returned to work."""

PAUSE_COUNT_MAX = 4_096
"""Most pauses that are remembered; it exceeds the replicas of a large system."""


class Pause(NamedTuple):
    """A pause of one incarnation, and what was sent to it since its end.

    Args:
        incarnation: the one that asked.
        learned_ms: when it asked last.
        until_ms: when the pause ends.
        round_id: number of the pause; what was sent before has another one.
        return_count: requests that may be in flight after the end.
        in_flight_count: requests that are, of those sent after the end.
    """

    incarnation: Incarnation
    learned_ms: float
    until_ms: float
    round_id: int
    return_count: int = 1
    in_flight_count: int = 0

    def is_paused(self, now_ms: float) -> bool:
        """Tell whether the replica wants nothing from this VM."""
        return now_ms < self.until_ms

    @property
    def is_full(self) -> bool:
        """Whether no more may be sent after the end until a request succeeds."""
        return self.in_flight_count >= self.return_count


class ReplicaPauses:
    """The pauses that replicas asked this VM for.

    A pause binds this VM and that incarnation.  After it, one request is sent; the
    number in flight doubles with each that succeeds.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, Pause] = {}
        self._round_id = 0

    def __len__(self) -> int:
        return len(self._pauses)

    def names(self) -> Collection[str]:
        """Return the ids of the replicas that pause or return to work."""
        return tuple(self._pauses)

    def record(self, incarnation: Incarnation, pause_ms: float, now_ms: float) -> Pause:
        """Record that an incarnation asked for a pause.

        Args:
            incarnation: the one that asked.
            pause_ms: the pause in milliseconds, within the bound.
            now_ms: the time of the process in milliseconds.

        Returns:
            The pause in force, which may end later than this one.
        """
        until_ms = now_ms + pause_ms
        latest = self._pauses.get(incarnation.replica_id)
        if latest is not None and _is_earlier(incarnation, latest.incarnation):
            return latest
        known = self.find(incarnation, now_ms)
        if known is not None:
            until_ms = max(until_ms, known.until_ms)
            if incarnation.born_ms == BORN_UNKNOWN:
                incarnation = known.incarnation
        self._round_id += 1
        pause = Pause(incarnation, now_ms, until_ms, self._round_id)
        self._pauses[incarnation.replica_id] = pause
        self._forget(now_ms)
        return pause

    def find(self, incarnation: Incarnation, now_ms: float) -> Pause | None:
        """Return the pause of an incarnation, or ``None`` once it has returned."""
        pause = self._pauses.get(incarnation.replica_id)
        if pause is None or now_ms >= pause.until_ms + RETURN_MS_MAX:
            return None
        starts_ms = {pause.incarnation.born_ms, incarnation.born_ms}
        # If a start is not known, the incarnation may be the one that asked.
        return pause if len(starts_ms) == 1 or BORN_UNKNOWN in starts_ms else None

    def record_sent(self, incarnation: Incarnation, now_ms: float) -> int:
        """Count a request to a replica that returns; return the round, 0 if none."""
        pause = self.find(incarnation, now_ms)
        if pause is None:
            return 0
        self._pauses[incarnation.replica_id] = pause._replace(
            in_flight_count=pause.in_flight_count + 1
        )
        return pause.round_id

    def record_success(self, replica_id: str, round_id: int) -> None:
        """Allow more requests after one that was sent after the pause succeeds."""
        pause = self._pauses.get(replica_id)
        if pause is None or pause.round_id != round_id:
            return
        if 2 * pause.return_count >= RETURN_COUNT_MAX:
            del self._pauses[replica_id]
            return
        self._pauses[replica_id] = pause._replace(return_count=2 * pause.return_count)

    def record_ended(self, replica_id: str, round_id: int) -> None:
        """Stop counting a request that was sent after the pause."""
        pause = self._pauses.get(replica_id)
        if pause is not None and pause.round_id == round_id:
            self._pauses[replica_id] = pause._replace(
                in_flight_count=pause.in_flight_count - 1
            )

    def _forget(self, now_ms: float) -> None:
        """Forget the pauses that are over, and those that end first over the bound."""
        for replica_id, pause in list(self._pauses.items()):
            if now_ms >= pause.until_ms + RETURN_MS_MAX:
                del self._pauses[replica_id]
        excess_count = max(0, len(self._pauses) - PAUSE_COUNT_MAX)
        by_end = sorted(self._pauses, key=lambda name: self._pauses[name].until_ms)
        for replica_id in by_end[:excess_count]:
            del self._pauses[replica_id]


def _is_earlier(one: Incarnation, other: Incarnation) -> bool:
    return BORN_UNKNOWN < one.born_ms < other.born_ms


def bounded_pause_ms(stated_ms: float) -> float:
    """Return the pause to keep for a stated one, which may be no sensible time."""
    if not math.isfinite(stated_ms) or stated_ms < 0:
        return 0.0
    return min(stated_ms, PAUSE_MS_MAX)
