"""Tests of the scheduling policy benchmark, on short traces."""

from testtools import TestCase

from bench.policy._front import FRONTS
from bench.policy._run import ORACLE, OWN, Run, run

SEED = 1


class BenchTests(TestCase):
    """The benchmark is deterministic and loses no request."""

    def test_runs_repeat(self) -> None:
        """Two runs of each policy give the same figures (seed 1, 5 seconds)."""
        for policy in (OWN, ORACLE, *FRONTS):
            what = Run("chama", "overload", policy, SEED)
            self.assertEqual(run(what, seconds=5), run(what, seconds=5), policy)

    def test_every_request_has_one_result(self) -> None:
        """The real policy and the baselines yield the same number of results."""
        counts = {
            policy: sum(
                count
                for _, count in run(
                    Run("plaine", "flood", policy, SEED), seconds=5
                ).reasons
            )
            for policy in (OWN, *FRONTS)
        }
        self.assertEqual(1, len(set(counts.values())), str(counts))
