"""Which decisions a pool uses: named sets of registered parts."""

from collections.abc import Callable
from typing import NamedTuple

QUEUED_COUNT_MAX = 2_000
"""Asks that may wait in front of one pool."""


class PoolPolicy(NamedTuple):
    """Which registered decisions a pool uses, and how much may wait."""

    queue: str = "tiered_fair"
    chooser: str = "expected_finish"
    slot_bound: str = "adaptive"
    tier_shares: tuple[float, ...] = (1.0,)
    prefill_share: float = 0.5
    early_refusal: str = "expected"
    queued_count_max: int = QUEUED_COUNT_MAX
    uses_prefixes: bool = True
    detects_stragglers: bool = True


POLICIES: dict[str, Callable[[], PoolPolicy]] = {}
"""Policies by the name that settings use."""

POLICY_DEFAULT = "goodput"


def policy(
    name: str,
) -> Callable[[Callable[[], PoolPolicy]], Callable[[], PoolPolicy]]:
    """Register a policy under the name that settings use."""

    def register(make: Callable[[], PoolPolicy]) -> Callable[[], PoolPolicy]:
        POLICIES[name] = make
        return make

    return register


@policy("goodput")
def goodput_policy() -> PoolPolicy:
    """Weigh goodput by tier and wasted prefill more."""
    return PoolPolicy()


@policy("tail")
def tail_policy() -> PoolPolicy:
    """Weigh tail latency and service at the crest of a swing more.

    Lower tiers leave room, so that a high ask need not wait for one to end.
    """
    return PoolPolicy(tier_shares=(1.0, 0.85, 0.7))


@policy("objective")
def objective_policy() -> PoolPolicy:
    """Serve what can still be in time first.

    For engines that state their places and whose callers state when they are late.
    """
    return PoolPolicy(
        queue="objective",
        early_refusal="none",
        prefill_share=1.0,
    )


def policy_named(name: str) -> PoolPolicy:
    """Return a policy by name; the default one if the name is not known."""
    return POLICIES.get(name, POLICIES[POLICY_DEFAULT])()
