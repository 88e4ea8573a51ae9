"""The order in which a requesting VM asks zones for a permit."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.wire import PoolSummary

SAME_REGION_PENALTY_MS = 20.0
"""Wait, in milliseconds, that another zone of the region must save to be preferred."""

CROSS_REGION_PENALTY_MS = 250.0
"""Wait, in milliseconds, that a zone of another region must save to be preferred."""


class ZoneLoad(NamedTuple):
    """What a requesting VM knows of a pool in one zone.

    ``summary`` is the scheduler's last report, or ``None``; ``recent_ask_count`` is
    the number of permit requests that this VM has sent there since; ``penalty_ms`` is
    the wait that the zone must save to be preferred, as measured, or ``None``.
    """

    zone: str
    is_own: bool
    is_other_region: bool
    summary: PoolSummary | None
    recent_ask_count: int = 0
    penalty_ms: float | None = None


def order_zones(
    loads: Iterable[ZoneLoad],
    *,
    tier: int,
) -> tuple[str, ...]:
    """Order zones by expected wait, with a penalty for those that are farther away.

    Args:
        loads: the zones that have upstreams for the request.
        tier: rank of the request's tier; the highest waits only for its own tier.

    Returns:
        The zones' names, the first to ask first.
    """
    return tuple(
        load.zone
        for load in sorted(
            loads,
            key=lambda load: (
                _wait_ms(load, tier),
                not load.is_own,
                load.zone,
            ),
        )
    )


def _penalty_ms(load: ZoneLoad) -> float:
    if load.penalty_ms is not None:
        return load.penalty_ms
    if load.is_own:
        return 0.0
    return CROSS_REGION_PENALTY_MS if load.is_other_region else SAME_REGION_PENALTY_MS


def _wait_ms(load: ZoneLoad, tier: int) -> float:
    return _penalty_ms(load) + expected_wait_ms(
        load.summary, tier=tier, recent_ask_count=load.recent_ask_count
    )


def expected_wait_ms(
    summary: PoolSummary | None, *, tier: int, recent_ask_count: int = 0
) -> float:
    """Return how long a request waits for a slot of a pool, by its last report.

    Args:
        summary: the report, or ``None``.
        tier: rank of the request's tier; the highest waits only for its own tier.
        recent_ask_count: requests sent there since the report.
    """
    if summary is None or summary.free_slots > recent_ask_count:
        return 0.0
    queued_count = max(1, summary.queued_count)
    gap_ms = summary.wait_ms / queued_count
    ahead_count = 1 if tier == 0 else queued_count + recent_ask_count
    return gap_ms * ahead_count
