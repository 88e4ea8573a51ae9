"""Tests of what a scheduler counts when one order follows another."""

from testtools import TestCase

from hemlocktrestle.rollout import AnswerTimes, ExposureBounds, PoolRollout, Started

FAILED = AnswerTimes(0.0, 50.0, is_failed=True, is_complete=False)

BOUNDS = ExposureBounds(share=0.1, slack=50, stop_ms=5_000)


class NextOrderTests(TestCase):
    """Requests of an earlier order say nothing about the next target."""

    def pool(self) -> PoolRollout:
        """Return the counts after a new order, with requests of the last target."""
        pool = PoolRollout(BOUNDS, scheduler_count=1)
        for number in range(20):
            started = Started("r", f"bad-{number % 2}", True, 0.0)
            pool.record_started(f"a{number}", started)
        pool.restart()
        return pool

    def test_their_failures_are_not_the_next_targets(self) -> None:
        """Guards against a verdict on a version that has answered nothing yet."""
        pool = self.pool()
        for number in range(20):
            pool.record_ended(f"a{number}", FAILED)
        self.assertIsNone(pool.examine(100, replica_count=2))
        self.assertEqual({}, pool.tallies)

    def test_they_run_at_an_old_version_now(self) -> None:
        """The next order is completed only when they have ended."""
        pool = self.pool()
        self.assertEqual(20, pool.running_count(is_target=False))
        pool.record_unsent("a0")
        pool.record_ended("a1", FAILED)
        self.assertEqual(18, pool.running_count(is_target=False))
        self.assertEqual(0, pool.ledger.total_count)
