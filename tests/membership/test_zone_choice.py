"""Tests of the order in which zones are asked for a permit."""

from testtools import TestCase

from hemlocktrestle.membership import ZoneLoad, order_zones
from hemlocktrestle.wire import PoolSummary


def waiting(count: int, wait_ms: int) -> PoolSummary:
    """Return the summary of a pool whose slots are taken."""
    return PoolSummary("p", count, wait_ms, 0)


FREE = PoolSummary("p", 0, 0, 4)


class MeasuredDistanceTests(TestCase):
    """Another zone is asked first where it saves more than the way there takes."""

    def order(self, penalty_ms: float | None, wait_ms: int) -> tuple[str, ...]:
        """Return the order of the own zone, which is busy, and of a free one."""
        own = ZoneLoad("own", True, False, waiting(1, wait_ms), penalty_ms=1.0)
        far = ZoneLoad("far", False, True, FREE, penalty_ms=penalty_ms)
        return order_zones([own, far], tier=1)

    def test_the_measured_way_decides(self) -> None:
        """Guards against requests that wait here, or go there, by another's link."""
        for penalty_ms, first in ((30.0, "far"), (300.0, "own")):
            self.assertEqual(first, self.order(penalty_ms, 100)[0])

    def test_the_own_zone_goes_first_where_nothing_is_saved(self) -> None:
        """Guards against traffic between regions that no caller profits from."""
        own = ZoneLoad("own", True, False, FREE, penalty_ms=0.0)
        far = ZoneLoad("far", False, True, FREE, penalty_ms=0.0)
        self.assertEqual(("own", "far"), order_zones([far, own], tier=1))

    def test_what_is_not_measured_has_a_usual_distance(self) -> None:
        """Guards against zones that count as near because nothing is known."""
        self.assertEqual("own", self.order(None, 100)[0])
