"""Scheduling policies: named combinations of registered decisions."""

from collections.abc import Callable
from typing import NamedTuple

QUEUED_COUNT_MAX = 2_000
"""Permit requests that may be queued for one pool."""


class PoolPolicy(NamedTuple):
    """The registered decisions that a pool uses, and the limit of its queue.

    ``tier_shares`` and ``prefill_share`` are those of an upstream's model.
    ``forecasts_starts`` refuses requests by the work that goes before them; the
    queue must support it.
    """

    queue: str = "tiered_fair"
    chooser: str = "expected_finish"
    slot_bound: str = "adaptive"
    tier_shares: tuple[float, ...] = (1.0,)
    prefill_share: float = 0.5
    early_refusal: str = "expected"
    forecasts_starts: bool = False
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
    """Optimize for goodput by tier and for little wasted prefill."""
    return PoolPolicy()


@policy("tail")
def tail_policy() -> PoolPolicy:
    """Optimize for tail latency and for service at peak load.

    Lower tiers leave slots free, so that a request of the highest tier need not
    wait for one to end.
    """
    return PoolPolicy(tier_shares=(1.0, 0.85, 0.7))


@policy("time_left")
@policy("objective")
def time_left_policy() -> PoolPolicy:
    """Serve by tier, then by the time that each caller has left.

    For engines that report their slots.  ``objective`` is an older name of it, which
    settings may still hold.
    """
    return PoolPolicy(
        queue="least_slack",
        early_refusal="none",
        forecasts_starts=True,
        prefill_share=1.0,
    )


def policy_named(name: str) -> PoolPolicy:
    """Return a policy by name; the default one if the name is not known."""
    return POLICIES.get(name, POLICIES[POLICY_DEFAULT])()
