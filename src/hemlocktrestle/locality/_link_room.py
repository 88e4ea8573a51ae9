"""How many bytes may go over a link: a budget that follows the link's delay."""

import math

BURST_MS = 2_000.0
"""Time whose budget may be used at once, in milliseconds."""

FULL_DELAY_FACTOR = 2.0
"""Multiple of its shortest round trip from which a link counts as full."""

NOISE_MS = 25.0
"""Delay of a round trip that a busy VM explains alone, in milliseconds."""

BACKOFF = 0.7
"""Factor on what was sent of late, when the link is full."""

GROWTH_PER_S = 0.25
"""Share by which the rate grows in each second in which the link is not full."""

RATE_MIN_BYTES_PER_MS = 8.0
"""Least rate, in bytes a millisecond: small requests still find out about room."""


class LinkRoom:
    """A token bucket in bytes for what leaves over one link.

    Its rate has no limit but the VM's own bandwidth until round trips rise above
    their shortest while this VM sends.  Each VM measures alone; those that send most
    over a full link give up most.

    Args:
        now_ms: the time in milliseconds.
        own_bytes_per_ms: bandwidth of the VM, 0 if it is not stated.
    """

    def __init__(self, now_ms: float, *, own_bytes_per_ms: float = 0.0) -> None:
        self._own_rate = own_bytes_per_ms or math.inf
        self._tiers: set[int] = set()
        self._rate = self._own_rate
        self._level = self._burst
        self._refilled_ms = now_ms
        self._sent = 0.0
        self._sent_since_ms = now_ms

    @property
    def bytes_per_ms(self) -> float:
        """The rate at which bytes may leave, infinite if no limit is known."""
        return self._rate

    def extra_ms(self, size_bytes: int) -> float:
        """Return how much longer a transfer takes than over the VM's link alone."""
        return size_bytes / self._rate - size_bytes / self._own_rate

    def observe(self, *, round_trip_ms: float, floor_ms: float, now_ms: float) -> None:
        """Adapt the rate to the delay of the link, at most once in ``BURST_MS``."""
        elapsed_ms = now_ms - self._sent_since_ms
        if elapsed_ms < BURST_MS or not floor_ms:
            return
        self._refill(now_ms)
        sent_rate = self._sent / elapsed_ms
        self._sent, self._sent_since_ms = 0.0, now_ms
        if round_trip_ms > max(FULL_DELAY_FACTOR * floor_ms, floor_ms + NOISE_MS):
            if sent_rate > RATE_MIN_BYTES_PER_MS:
                rate = min(self._rate, BACKOFF * sent_rate)
                self._rate = max(RATE_MIN_BYTES_PER_MS, rate)
        elif sent_rate >= self._rate / 2:
            # A limit that is not used was not tried and does not grow.
            self._rate *= 1 + GROWTH_PER_S * elapsed_ms / 1_000
        self._rate = min(self._rate, self._own_rate)
        self._level = min(self._level, self._burst)

    def has_room(self, size_bytes: int, *, tier: int, now_ms: float) -> bool:
        """Tell whether a request may leave, so that higher tiers keep their part.

        Each tier that has asked leaves a part to each one above it.  A request that is
        larger than its tier's part may go while the part is unused.
        """
        self._tiers.add(tier)
        if math.isinf(self._rate):
            return True
        self._refill(now_ms)
        part = self._burst / len(self._tiers)
        reserve = part * sum(other < tier for other in self._tiers)
        return self._level - min(size_bytes, part) >= reserve

    def spend(self, size_bytes: float) -> None:
        """Count bytes that leave; a negative number gives back what was not used."""
        self._sent = max(0.0, self._sent + size_bytes)
        if not math.isinf(self._rate):
            self._level = min(self._burst, self._level - size_bytes)

    @property
    def _burst(self) -> float:
        return self._rate * BURST_MS

    def _refill(self, now_ms: float) -> None:
        elapsed_ms, self._refilled_ms = now_ms - self._refilled_ms, now_ms
        if elapsed_ms > 0:
            added = elapsed_ms * self._rate
            self._level = min(self._burst, self._level + added)
