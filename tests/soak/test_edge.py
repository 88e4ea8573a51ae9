"""A short soak test of the edge daemon."""

import trio
from testtools import TestCase

from tests.soak._edge import soak_edge

SEED = 1
SECONDS = 4.0

REGRESSION_SEEDS: dict[int, str] = {}
"""Seeds that once violated a guarantee, each with the cause that was fixed."""


class EdgeSoakTests(TestCase):
    """Guarantees without time limits hold on a machine under any load."""

    def test_a_short_soak_has_no_violations(self) -> None:
        """With overlapping faults; time limits are checked in manual soaks only."""
        report = trio.run(lambda: soak_edge(SECONDS, SEED, is_timed=False))
        self.assertEqual([], report.violations)
        self.assertGreater(report.faults.total(), 2)
        self.assertGreater(report.statuses[200], 0)
