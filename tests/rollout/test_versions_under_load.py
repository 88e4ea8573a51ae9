"""Tests of what becomes of good and bad versions under load, summed over schedulers.

They guard against a bad version that gets more than its share of the requests before
it is found bad, and against a good one that is rolled back.
"""

import random

from testtools import TestCase

from hemlocktrestle.rollout import Phase
from tests.rollout.load import BOUNDS, Answer, Call, Outcome, play

SEEDS = range(1, 6)

SLOW = Answer(slowness=4.0)
FAILED = Answer(is_failed=True)
GOOD = Answer()


def bad_at_once(call: Call, source: random.Random) -> Answer:
    """Fail a quarter of the requests."""
    return FAILED if source.random() < 0.25 else GOOD


def bad_later(call: Call, source: random.Random) -> Answer:
    """Fail a third of the requests from the fifth second on."""
    return FAILED if call.elapsed_ms > 5_000 and source.random() < 0.33 else GOOD


def bad_under_load(call: Call, source: random.Random) -> Answer:
    """Fail half of the requests that find two others at the replica."""
    return FAILED if call.running >= 3 and source.random() < 0.5 else GOOD


def bad_on_one_route(call: Call, source: random.Random) -> Answer:
    """Fail half of the requests of the route with the fewest."""
    return FAILED if call.route == "story" and source.random() < 0.5 else GOOD


def slow(call: Call, source: random.Random) -> Answer:
    """Answer a third of the requests four times slower."""
    return SLOW if source.random() < 0.33 else GOOD


def good(call: Call, source: random.Random) -> Answer:
    """Fail as few requests as the old version."""
    return FAILED if source.random() < 0.005 else GOOD


def one_bad_replica(call: Call, source: random.Random) -> Answer:
    """Fail nine in ten requests at one replica only."""
    return FAILED if call.replica == "0-0" and source.random() < 0.9 else GOOD


class BadVersionTests(TestCase):
    """A bad version is stopped before it has got more than its share."""

    def assert_rolled_back(self, outcome: Outcome) -> None:
        """Check the outcome and the exposure."""
        self.assertEqual(Phase.ROLLED_BACK, outcome.phase)
        allowed = BOUNDS.share * outcome.total_count + BOUNDS.slack
        self.assertLessEqual(outcome.target_count, allowed)

    def test_one_that_fails_from_the_start(self) -> None:
        """A quarter of failures."""
        for seed in SEEDS:
            self.assert_rolled_back(play(bad_at_once, seed=seed))

    def test_one_that_fails_later(self) -> None:
        """The first good answers do not hide it."""
        for seed in SEEDS:
            self.assert_rolled_back(play(bad_later, seed=seed))

    def test_one_that_fails_under_load(self) -> None:
        """The canary's replicas bear an ordinary replica's load."""
        for seed in SEEDS:
            self.assert_rolled_back(play(bad_under_load, seed=seed))

    def test_one_that_fails_on_one_route(self) -> None:
        """A route with few requests gets as many of the canary as the others."""
        for seed in SEEDS:
            self.assert_rolled_back(play(bad_on_one_route, seed=seed))

    def test_one_that_is_slow(self) -> None:
        """Requests that run too long count before they end."""
        for seed in SEEDS:
            self.assert_rolled_back(play(slow, seed=seed))

    def test_at_one_scheduler_with_less_traffic(self) -> None:
        """A small service gives few answers to judge by."""
        for seed in SEEDS:
            outcome = play(bad_at_once, rate=100, schedulers=1, replicas=6, seed=seed)
            self.assert_rolled_back(outcome)

    def test_beside_an_old_version_that_fails_too(self) -> None:
        """The target is compared with the old version over the same time."""
        for seed in SEEDS:
            self.assert_rolled_back(play(bad_at_once, old_failing=0.04, seed=seed))


class GoodVersionTests(TestCase):
    """A good version is not blamed for what its replicas or the old ones do."""

    def test_a_good_version_completes(self) -> None:
        """Twenty roll-outs, a few failures in each."""
        outcomes = [play(good, seed=seed) for seed in range(20)]
        self.assertEqual({Phase.COMPLETED}, {found.phase for found in outcomes})

    def test_failures_that_the_old_version_has_too_are_no_verdict(self) -> None:
        """Both fail one in ten, as while replicas crash."""

        def failing(call: Call, source: random.Random) -> Answer:
            return FAILED if source.random() < 0.1 else GOOD

        for seed in SEEDS:
            outcome = play(failing, old_failing=0.1, seed=seed)
            self.assertEqual(Phase.COMPLETED, outcome.phase)

    def test_one_bad_replica_is_not_a_bad_version(self) -> None:
        """Its failures are its own while the others answer."""
        for seed in SEEDS:
            outcome = play(one_bad_replica, seed=seed)
            self.assertEqual(Phase.COMPLETED, outcome.phase)
