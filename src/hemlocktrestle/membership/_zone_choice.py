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
    the number of permit requests that this VM has sent there since.
    """

    zone: str
    is_own: bool
    is_other_region: bool
    summary: PoolSummary | None
    recent_ask_count: int = 0


def order_zones(
    loads: Iterable[ZoneLoad],
    *,
    tier: int,
    cross_region_penalty_ms: float = CROSS_REGION_PENALTY_MS,
) -> tuple[str, ...]:
    """Order zones by expected wait, with a penalty for those that are farther away.

    Args:
        loads: the zones that have upstreams for the request.
        tier: rank of the request's tier; the highest waits only for its own tier.
        cross_region_penalty_ms: wait that a zone of another region must save to be
            preferred.

    Returns:
        The zones' names, the first to ask first.
    """
    return tuple(
        load.zone
        for load in sorted(
            loads,
            key=lambda load: (
                _score_ms(load, tier, cross_region_penalty_ms),
                load.zone,
            ),
        )
    )


def _score_ms(load: ZoneLoad, tier: int, far_penalty_ms: float) -> float:
    penalty_ms = 0.0
    if not load.is_own:
        penalty_ms = far_penalty_ms if load.is_other_region else SAME_REGION_PENALTY_MS
    summary = load.summary
    if summary is None or summary.free_slots > load.recent_ask_count:
        return penalty_ms
    queued_count = max(1, summary.queued_count)
    gap_ms = summary.wait_ms / queued_count
    ahead_count = 1 if tier == 0 else queued_count + load.recent_ask_count
    return penalty_ms + gap_ms * ahead_count
