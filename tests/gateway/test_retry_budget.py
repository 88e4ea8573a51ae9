"""Tests of the retry budget."""

from testtools import TestCase

from hemlocktrestle.gateway import RetryBudget


class RetryBudgetTests(TestCase):
    """All VMs together stay below the ratio and the slack."""

    def test_retries_follow_requests(self) -> None:
        """A VM retries up to the ratio and its part of the slack, and no more."""
        budget = RetryBudget(ratio=0.2, slack=60, window_ms=10_000)
        for _ in range(1_000):
            budget.record_request(0)
        taken = sum(budget.try_spend(6, 1) for _ in range(1_000))
        self.assertTrue(150 < taken <= 0.2 * 1_000 + 60 / 6, taken)

    def test_a_window_later_the_budget_is_there_again(self) -> None:
        """Retries and requests before the window do not count."""
        budget = RetryBudget(ratio=0.2, slack=60, window_ms=10_000)
        first = sum(budget.try_spend(6, 0) for _ in range(100))
        later = sum(budget.try_spend(6, 10_001) for _ in range(100))
        self.assertEqual(first, later)
        self.assertEqual(5, first)

    def test_many_vms_have_small_parts(self) -> None:
        """The slack is divided equally among the VMs."""
        budget = RetryBudget(ratio=0.2, slack=60, window_ms=10_000)
        self.assertFalse(budget.try_spend(100, 0))

    def test_a_refund_returns_its_own_retry(self) -> None:
        """Guards against a refund of one that was sent, after its window has ended."""
        budget = RetryBudget(ratio=0.2, slack=60, window_ms=10_000)
        budget.try_spend(6, 0)
        budget.try_spend(6, 9_000)
        before = budget.remaining(6, 10_001)
        budget.refund(0)
        self.assertEqual(before, budget.remaining(6, 10_001))
        budget.refund(9_000)
        self.assertEqual(before + 1, budget.remaining(6, 10_001))
