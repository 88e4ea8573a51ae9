"""Exponential backoff with jitter, so that many VMs do not retry at once."""

import random

FIRST_LIMIT_S = 0.25
"""Upper limit of the first pause, in seconds."""

LIMIT_MAX_S = 4.0
"""Upper limit of all pauses, in seconds."""


class Backoff:
    """The pauses between one client's attempts.

    Args:
        spread: source of the jitter.
    """

    def __init__(self, spread: random.Random) -> None:
        self._spread = spread
        self._limit_s = FIRST_LIMIT_S

    def reset(self) -> None:
        """Return to the first pause, after a successful attempt."""
        self._limit_s = FIRST_LIMIT_S

    def next_s(self) -> float:
        """Return the next pause, in seconds: at least half of the current limit."""
        pause_s = self._spread.uniform(self._limit_s / 2, self._limit_s)
        self._limit_s = min(LIMIT_MAX_S, self._limit_s * 2)
        return pause_s
