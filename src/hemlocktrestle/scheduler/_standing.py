"""Tells a queue that absorbs a burst from one that stands.

A burst that can be answered in time is over within the time that its callers stay.
Where requests have had to wait for longer than that, without a break, more of them
come than can be answered.  A longer queue then serves nobody more; it only makes all
wait.

As in CoDel (RFC 8289), the time that requests spend in the queue is what counts, not
their number.  The interval is the time that a caller stays.
"""

import math
from collections.abc import Iterable

from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.wire import NO_TIER

SHORT_WAIT_SHARE = 0.05
"""Share of a caller's time up to which a wait is short, the target of RFC 8289."""


class StandingQueue:
    """Whether the queue of one tier stands; all times are in milliseconds.

    ``is_long`` tells whether its oldest request had waited for long when last seen.

    Args:
        now_ms: the time of the process.
    """

    def __init__(self, now_ms: float) -> None:
        self.is_long = False
        self._is_standing = False
        self._last_short_ms = now_ms
        self._last_long_ms = -math.inf
        self._interval_ms = 0.0

    def record_short(self, now_ms: float) -> None:
        """Record that nobody has had to wait for long."""
        self.is_long = False
        self._last_short_ms = now_ms

    def record_long(self, stays_ms: float, now_ms: float) -> None:
        """Record a caller that has to wait for long, or would have had to.

        Args:
            stays_ms: how long it stays.
            now_ms: the time of the process.
        """
        self._last_long_ms = now_ms
        self._interval_ms = stays_ms
        if now_ms - self._last_short_ms >= stays_ms:
            self._is_standing = True

    def is_standing(self, now_ms: float) -> bool:
        """Tell whether the queue stands.

        It does until nobody had to wait for long in the time that a caller stays.
        """
        if now_ms - self._last_long_ms >= self._interval_ms:
            self._is_standing = False
        return self._is_standing


class StandingQueues:
    """The queue of a pool, tier by tier."""

    def __init__(self) -> None:
        self._by_tier: dict[int, StandingQueue] = {}

    def observe(self, queued: Iterable[QueuedAsk], now_ms: float) -> None:
        """Learn from how long the oldest request of each tier has waited."""
        oldest: dict[int, QueuedAsk] = {}
        for waiting in queued:
            found = oldest.setdefault(waiting.ask.tier, waiting)
            if waiting.arrived_ms < found.arrived_ms:
                oldest[waiting.ask.tier] = waiting
        for tier in self._by_tier.keys() - oldest.keys():
            self._by_tier[tier].record_short(now_ms)
        for waiting in oldest.values():
            queue = self._queue_of(waiting, now_ms)
            if now_ms - waiting.arrived_ms <= short_wait_ms(waiting):
                queue.record_short(now_ms)
            else:
                queue.record_long(waiting.stays_ms, now_ms)
                queue.is_long = True

    def record_refused(self, waiting: QueuedAsk, now_ms: float) -> None:
        """Learn from a request that was refused because the queue stands."""
        self._queue_of(waiting, now_ms).record_long(waiting.stays_ms, now_ms)

    def is_long_before(self, waiting: QueuedAsk) -> bool:
        """Tell whether a request of the same or a higher tier has waited for long."""
        return any(
            queue.is_long
            for tier, queue in self._by_tier.items()
            if tier <= waiting.ask.tier
        )

    def highest_tier(self, now_ms: float) -> int:
        """Return the highest tier whose queue stands, ``NO_TIER`` if there is none.

        For the tiers below it the queue stands, too.
        """
        standing = (
            tier for tier, queue in self._by_tier.items() if queue.is_standing(now_ms)
        )
        return min(standing, default=NO_TIER)

    def clears_after_ms(self, waiting: QueuedAsk, now_ms: float) -> float:
        """Return the least time after which the queue before a request can be clear."""
        is_standing = self.highest_tier(now_ms) <= waiting.ask.tier
        return waiting.stays_ms if is_standing else 0.0

    def _queue_of(self, waiting: QueuedAsk, now_ms: float) -> StandingQueue:
        return self._by_tier.setdefault(waiting.ask.tier, StandingQueue(now_ms))


def short_wait_ms(waiting: QueuedAsk) -> float:
    """Return the longest wait that is short for a caller."""
    return SHORT_WAIT_SHARE * waiting.stays_ms
