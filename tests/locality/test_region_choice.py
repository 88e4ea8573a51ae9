"""Tests of the order in which regions are asked."""

from testtools import TestCase

from hemlocktrestle.locality import RegionChoice, RegionOption

LEFT_MS = 5_000.0


class RegionChoiceTests(TestCase):
    """Leaving pays when the caller is served sooner by more than the way takes."""

    def setUp(self) -> None:
        super().setUp()
        self.choice = RegionChoice()

    def order(
        self, own_wait_ms: float, far: RegionOption, *, left_ms: float = LEFT_MS
    ) -> tuple[str, ...]:
        """Return the order of the own region and another one."""
        own = RegionOption("own", True, own_wait_ms)
        return self.choice.order("chat", [far, own], left_ms=left_ms).regions

    def test_a_free_region_keeps_its_callers(self) -> None:
        far = RegionOption("far", False, 0.0, way_ms=0.0)
        self.assertEqual(("own", "far"), self.order(0.0, far))

    def test_callers_of_a_full_region_leave(self) -> None:
        far = RegionOption("far", False, 0.0, way_ms=120.0)
        self.assertEqual(("far", "own"), self.order(500.0, far))

    def test_a_queue_on_the_other_side_counts(self) -> None:
        far = RegionOption("far", False, 450.0, way_ms=120.0)
        self.assertEqual(("own", "far"), self.order(500.0, far))

    def test_waits_that_differ_by_little_move_nobody_to_and_fro(self) -> None:
        """Guards against traffic that changes its region with each heartbeat."""
        far = RegionOption("far", False, 0.0, way_ms=100.0)
        firsts = [self.order(wait_ms, far)[0] for wait_ms in (110, 130, 110, 90, 110)]
        self.assertEqual(["own", "far", "far", "own", "own"], firsts)

    def test_a_full_link_keeps_callers_unless_they_are_refused(self) -> None:
        full = RegionOption("far", False, 0.0, way_ms=120.0, has_room=False)
        self.assertEqual(("own", "far"), self.order(500.0, full))

    def test_a_way_longer_than_the_caller_stays_is_not_taken(self) -> None:
        far = RegionOption("far", False, 0.0, way_ms=900.0, least_way_ms=900.0)
        self.assertEqual(("own",), self.order(5_000.0, far, left_ms=800.0))

    def test_without_an_own_replica_the_nearest_in_time_is_first(self) -> None:
        options = [
            RegionOption("b", False, 300.0, way_ms=50.0),
            RegionOption("a", False, 0.0, way_ms=120.0),
        ]
        order = self.choice.order("chat", options, left_ms=LEFT_MS)
        self.assertEqual((("a", "b"), "no own replica"), order)
