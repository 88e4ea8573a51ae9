"""What the queue of a pool did since the last report, by tier."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.scheduler._queue import QueuedAsk


class TierReport(NamedTuple):
    """The requests of one tier since the last report; times in milliseconds.

    Args:
        tier: rank of the tier.
        queued_count: requests that are queued now.
        oldest_ms: how long the oldest of these has waited.
        granted_count: requests that were granted after a wait.
        waited_ms: mean wait of the granted.
        forecast_ms: mean of the waits that were forecast for them on arrival.
        left_ms: mean time that their callers had left for a first part.
        refused_count: requests that were refused after they had been queued.
    """

    tier: int
    queued_count: int
    oldest_ms: float
    granted_count: int
    waited_ms: float
    forecast_ms: float
    left_ms: float
    refused_count: int


class _Granted(NamedTuple):
    waited_ms: float
    forecast_ms: float
    left_ms: float


class QueueMeter:
    """Counts what happens to requests that had to wait."""

    def __init__(self) -> None:
        self._forecasts_ms: dict[str, float] = {}
        self._granted: dict[int, list[_Granted]] = {}
        self._refused_counts: dict[int, int] = {}

    def record_queued(self, waiting: QueuedAsk, forecast_ms: float) -> None:
        """Record the wait that is forecast for a request that was queued."""
        self._forecasts_ms[waiting.ask.ask_id] = forecast_ms

    def record_granted(self, waiting: QueuedAsk, now_ms: float) -> None:
        """Record a grant; one without a wait does not count."""
        forecast_ms = self._forecasts_ms.pop(waiting.ask.ask_id, None)
        if forecast_ms is None:
            return
        granted = _Granted(
            now_ms - waiting.arrived_ms,
            forecast_ms,
            min(waiting.part_due_ms, waiting.deadline_ms) - now_ms,
        )
        self._granted.setdefault(waiting.ask.tier, []).append(granted)

    def record_refused(self, waiting: QueuedAsk) -> None:
        """Record a refusal."""
        self.forget(waiting.ask.ask_id)
        tier = waiting.ask.tier
        self._refused_counts[tier] = self._refused_counts.get(tier, 0) + 1

    def forget(self, ask_id: str) -> None:
        """Forget a request that its requester gave up."""
        self._forecasts_ms.pop(ask_id, None)

    def report(self, queued: Iterable[QueuedAsk], now_ms: float) -> list[TierReport]:
        """Return the tiers of which requests waited since the last report."""
        ages_ms: dict[int, list[float]] = {}
        for waiting in queued:
            age_ms = now_ms - waiting.arrived_ms
            ages_ms.setdefault(waiting.ask.tier, []).append(age_ms)
        granted, self._granted = self._granted, {}
        refused_counts, self._refused_counts = self._refused_counts, {}
        return [
            TierReport(
                tier,
                len(ages_ms.get(tier, ())),
                max(ages_ms.get(tier, ()), default=0.0),
                len(granted.get(tier, ())),
                _mean(item.waited_ms for item in granted.get(tier, ())),
                _mean(item.forecast_ms for item in granted.get(tier, ())),
                _mean(item.left_ms for item in granted.get(tier, ())),
                refused_counts.get(tier, 0),
            )
            for tier in sorted(ages_ms.keys() | granted.keys() | refused_counts.keys())
        ]


def _mean(values: Iterable[float]) -> float:
    found = list(values)
    return sum(found) / len(found) if found else 0.0
