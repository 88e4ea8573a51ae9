"""Tests of the byte budget between regions."""

from testtools import TestCase

from hemlocktrestle.entry import SpilloverBudget
from hemlocktrestle.entry._spillover import LINK_BYTES_PER_S, SPILLOVER_SHARE


class SpilloverBudgetTests(TestCase):
    """The budget for bytes to another region favours the high tier."""

    def spend(self, budget: SpilloverBudget, tier: int, now_ms: float) -> int:
        """Send requests of 10 kB until one is refused, and return the bytes."""
        sent_bytes = 0
        while budget.try_spend(
            prompt_bytes=10_000, output_tokens=1, tier=tier, vm_count=1, now_ms=now_ms
        ):
            sent_bytes += 10_000
        return sent_bytes

    def test_low_leaves_room_for_high(self) -> None:
        """After the low tier has used its part, the high tier still has its own."""
        budget = SpilloverBudget(0)
        low = self.spend(budget, 2, 0)
        self.assertTrue(self.spend(budget, 0, 0) >= low)

    def test_the_link_keeps_its_other_share(self) -> None:
        """Over a minute no more is sent than the budget and its burst."""
        budget = SpilloverBudget(0)
        sent = sum(self.spend(budget, 0, second * 1_000) for second in range(60))
        self.assertTrue(sent <= LINK_BYTES_PER_S * SPILLOVER_SHARE * 62)
