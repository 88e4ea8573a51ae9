"""Tests of what one VM does with grants, verdicts and versions that nobody ordered."""

from testtools import TestCase

from hemlocktrestle.rollout import Follower, Order, Phase, SeenVersions, Use

ORDER = Order("ledger", "v2", 12_000)


def follower(phase: Phase, granted_ms: float = 0.0) -> Follower:
    """Return a follower with a grant of a phase."""
    found = Follower(stop_ms=5_000)
    found.apply(ORDER, Phase.CANARY, granted_ms, elapsed_ms=0)
    found.apply(ORDER, phase, granted_ms, elapsed_ms=0)
    return found


class FollowerTests(TestCase):
    """Where requests may go, and what is never forgotten."""

    def test_an_order_without_a_grant_starts_nothing(self) -> None:
        """A fresh process sends nothing to the target until the leader says so."""
        found = Follower(stop_ms=5_000)
        found.begin(ORDER, 0.0)
        self.assertEqual(Use.NOTHING, found.use("v2", 0.0))
        self.assertEqual(Use.ALL, found.use("v1", 0.0))

    def test_a_cut_vm_stops_using_the_target(self) -> None:
        """Its grant is too old before the time to stop has passed."""
        for phase, use in ((Phase.CANARY, Use.CANARY), (Phase.SHIFTING, Use.ALL)):
            found = follower(phase)
            self.assertEqual(use, found.use("v2", 1_000))
            self.assertEqual(Use.NOTHING, found.use("v2", 2_500))
            self.assertEqual(Use.ALL, found.use("v1", 2_500))

    def test_a_verdict_is_not_undone_by_a_grant(self) -> None:
        """A leader that has not heard of the verdict goes on granting."""
        found = follower(Phase.CANARY)
        self.assertTrue(found.stop())
        found.apply(ORDER, Phase.SHIFTING, 100, elapsed_ms=100)
        self.assertEqual(
            (Phase.STOPPED, Use.NOTHING), (found.phase, found.use("v2", 100))
        )

    def test_outcomes_are_final(self) -> None:
        """Neither an older grant nor the other outcome changes them."""
        for outcome, other in (
            (Phase.COMPLETED, Phase.ROLLED_BACK),
            (Phase.ROLLED_BACK, Phase.COMPLETED),
        ):
            found = follower(Phase.SHIFTING)
            found.apply(ORDER, outcome, 10, elapsed_ms=10)
            for late in (Phase.CANARY, Phase.SHIFTING, other):
                found.apply(ORDER, late, 20, elapsed_ms=20)
            self.assertIs(outcome, found.phase)

    def test_an_outcome_is_kept_over_another_order(self) -> None:
        """The same order is written again after the store has lost it."""
        found = follower(Phase.CANARY)
        found.stop()
        found.begin(ORDER._replace(target="v3"), 50)
        self.assertEqual(Phase.CANARY, found.phase)
        found.begin(ORDER, 60)
        self.assertEqual(Phase.STOPPED, found.phase)

    def test_completion_needs_no_fresh_grant(self) -> None:
        """The old replicas are gone for good."""
        found = follower(Phase.SHIFTING)
        found.apply(ORDER, Phase.COMPLETED, 10, elapsed_ms=10)
        self.assertEqual(Use.ALL, found.use("v2", 1e6))
        self.assertEqual(Use.NOTHING, found.use("v1", 1e6))


class SeenVersionsTests(TestCase):
    """Replicas of a version that no order explains wait for one."""

    def test_a_fresh_process_trusts_the_version_that_ran_longest(self) -> None:
        """The others may be targets of an order that it has not read yet."""
        seen = SeenVersions()
        seen.observe("ledger", {"v2": 900, "v1": 100}, 0)
        usual = [seen.is_usual("ledger", name) for name in ("v1", "v2")]
        self.assertEqual([True, False], usual)

    def test_a_version_without_an_order_is_admitted(self) -> None:
        """Once the store was read some time after it was seen."""
        seen = SeenVersions()
        seen.observe("ledger", {"v1": 100}, 0)
        seen.observe("ledger", {"v1": 100, "v2": 900}, 1_000)
        seen.admit("ledger", confirmed_ms=2_900)
        self.assertFalse(seen.is_usual("ledger", "v2"))
        seen.admit("ledger", confirmed_ms=3_100)
        self.assertTrue(seen.is_usual("ledger", "v2"))
