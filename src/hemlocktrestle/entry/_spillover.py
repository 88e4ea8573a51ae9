"""Byte budget of the link between regions, with a reserve for higher tiers."""

from hemlocktrestle.wire import TIERS

LINK_BYTES_PER_S = 15e6 / 8
"""Bandwidth of the link between regions in each direction, in bytes a second."""

SPILLOVER_SHARE = 0.5
"""Share of the link's bandwidth for requests that are sent to another region."""

BURST_S = 2.0
"""Seconds of the budget that may be used at once."""

BYTES_PER_OUTPUT_TOKEN = 200
"""Estimated bytes of one streamed token with its event."""


class SpilloverBudget:
    """A token bucket in bytes for requests that are sent to another region.

    A lower tier leaves part of the bucket to each tier above it.
    The live VMs of a region share the link's budget equally.

    Args:
        now_ms: the time in milliseconds.
    """

    def __init__(self, now_ms: float) -> None:
        self._level_bytes = LINK_BYTES_PER_S * SPILLOVER_SHARE * BURST_S
        self._refilled_ms = now_ms

    def try_spend(
        self,
        *,
        prompt_bytes: int,
        output_tokens: int,
        tier: int,
        vm_count: int,
        now_ms: float,
    ) -> bool:
        """Spend a request's bytes, if the budget has them.

        Args:
            prompt_bytes: size of the request's body.
            output_tokens: estimated length of the answer.
            tier: rank of the request's tier.
            vm_count: live VMs of the region, which share the link.
            now_ms: the time in milliseconds.

        Returns:
            Whether the request may be sent.
        """
        rate = LINK_BYTES_PER_S * SPILLOVER_SHARE / max(1, vm_count)
        burst = rate * BURST_S
        added = (now_ms - self._refilled_ms) / 1000 * rate
        self._level_bytes = min(burst, self._level_bytes + added)
        self._refilled_ms = now_ms
        cost = max(prompt_bytes, output_tokens * BYTES_PER_OUTPUT_TOKEN)
        reserve = burst * tier / len(TIERS)
        if self._level_bytes - min(cost, burst / len(TIERS)) < reserve:
            return False
        self._level_bytes -= cost
        return True
