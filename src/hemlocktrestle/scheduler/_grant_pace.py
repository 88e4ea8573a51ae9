"""The usual time between grants of one pool."""

from hemlocktrestle.scheduler._queue import QueuedAsk

GAP_SMOOTHING = 0.1
"""Weight of a new observation in the moving average of the time between grants."""


class GrantPace:
    """Moving average of the time between grants to requests that had to wait."""

    def __init__(self) -> None:
        self._last_grant_ms = 0.0
        self._gap_ms = 0.0

    def record(self, waiting: QueuedAsk, now_ms: float) -> None:
        """Record a grant."""
        if waiting.arrived_ms < now_ms:
            gap_ms = now_ms - max(self._last_grant_ms, waiting.arrived_ms)
            self._gap_ms += GAP_SMOOTHING * (gap_ms - self._gap_ms)
        self._last_grant_ms = now_ms

    def gap_ms(self, now_ms: float) -> float:
        """Return the time between grants.

        Until a request that had to wait is granted, the time since the last grant is
        the only estimate.
        """
        return self._gap_ms or now_ms - self._last_grant_ms
