"""A short soak test of the edge daemon."""

from functools import partial

import trio
from testtools import TestCase

from tests.soak._edge import soak_edge

SEED = 1
SECONDS = 4.0

REGRESSION_SECONDS = 10.0

REGRESSION_SEEDS = {703: "a VM that had no lease yet ended lease 0"}
"""Seeds that once violated a guarantee, each with the cause that was fixed."""


class EdgeSoakTests(TestCase):
    """Guarantees without time limits hold on a machine under any load."""

    def test_a_short_soak_has_no_violations(self) -> None:
        """With overlapping faults; time limits are checked in manual soaks only."""
        report = trio.run(lambda: soak_edge(SECONDS, SEED, is_timed=False))
        self.assertEqual([], report.violations)
        self.assertGreater(report.faults.total(), 2)
        self.assertGreater(report.statuses[200], 0)

    def test_seeds_that_once_failed_have_no_violations(self) -> None:
        """The faults are those of the failed run; their effects may come otherwise."""
        for seed, cause in REGRESSION_SEEDS.items():
            run = partial(soak_edge, REGRESSION_SECONDS, seed, is_timed=False)
            report = trio.run(run)
            self.assertEqual([], report.violations, cause)
