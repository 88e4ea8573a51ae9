"""The order in which a holder asks zones for a permit."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.wire import PoolSummary

NEAR_PENALTY_MS = 20.0
"""Wait by which a zone of the own region must be better than the own zone."""

FAR_PENALTY_MS = 250.0
"""Wait by which a zone of another region must be better than the own zone."""


class ZoneLoad(NamedTuple):
    """What a holder knows of a pool in one zone.

    ``summary`` is the keeper's last word, or ``None``; ``asked_count`` is how many
    asks this holder has sent there since.
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
    cross_region_penalty_ms: float = FAR_PENALTY_MS,
) -> tuple[str, ...]:
    """Return zones by expected wait; a nearer zone goes first if they are alike.

    Args:
        loads: the zones that have upstreams for the request.
        tier: rank of the request's tier; the highest waits behind its like alone.
        cross_region_penalty_ms: wait by which a zone of another region must be better.

    Returns:
        The zones' names, the one to ask first first.
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
        penalty_ms = far_penalty_ms if load.is_other_region else NEAR_PENALTY_MS
    summary = load.summary
    if summary is None or summary.free_slots > load.recent_ask_count:
        return penalty_ms
    queued_count = max(1, summary.queued_count)
    gap_ms = summary.wait_ms / queued_count
    ahead_count = 1 if tier == 0 else queued_count + load.recent_ask_count
    return penalty_ms + gap_ms * ahead_count
