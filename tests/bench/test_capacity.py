"""Tests of the arithmetic behind the capacity page."""

from testtools import TestCase

from bench.capacity import _page, _target
from bench.capacity._slopes import Point, Slope, point


def line(name: str, unit: str, per_size: float, fixed: float = 0.0) -> Slope:
    """Return a slope whose points lie exactly on a line."""
    points = tuple(
        Point(size, fixed + per_size * size, 0.0, 0.0) for size in (100, 200, 400)
    )
    return Slope(name, "things", unit, points)


class SlopeTests(TestCase):
    """A slope is the least-squares line through its points."""

    def test_slope_and_fixed_part_are_found(self) -> None:
        """Points on a line yield that line, also extrapolated beyond the points."""
        slope = line("cost", "us", 2.5, fixed=30.0)
        self.assertAlmostEqual(2.5, slope.per_size)
        self.assertAlmostEqual(30.0, slope.fixed)
        self.assertAlmostEqual(2530.0, slope.at(1000))

    def test_a_point_is_the_median_of_its_repeats(self) -> None:
        """One slow repetition affects the spread, not the value."""
        found = point(10, [5.0, 4.0, 50.0])
        self.assertEqual(Point(10, 5.0, 4.0, 50.0), found)
        self.assertEqual(9.2, Slope("cost", "things", "us", (found,)).spread)


class TargetTests(TestCase):
    """Rows are slope times count, and values over budget are marked."""

    def test_the_load_of_a_vm_follows_from_the_target(self) -> None:
        """The load of one VM, and of one pool in a zone, is the target's share."""
        self.assertEqual(30, round(_target.VM_REQUESTS_S))
        self.assertEqual(7442, round(_target.VM_TOKENS_S))
        self.assertEqual(130, round(_target.POOL_REQUESTS_S))

    def test_a_row_is_slope_times_count(self) -> None:
        """In the full mesh a VM has two link ends for each other VM."""
        slopes = _target.by_key(
            {
                "heartbeat": [
                    line("links with heartbeats, both ends", "us/s", 1000.0),
                    line("heartbeat, framed", "bytes", 164.0),
                ]
            }
        )
        row = _target._full_mesh(slopes)
        self.assertAlmostEqual(0.429, row.core_share or 0.0)
        self.assertAlmostEqual(2 * 164.0 * 858, row.bytes_s or 0.0)

    def test_only_control_over_its_budget_is_marked(self) -> None:
        """A value over budget is marked OVER, unless its row is of the data path."""
        over = _page._cell(0.5, 0.023, False, "{:.1%}", 1)
        self.assertEqual("50.0% **OVER**", over)
        self.assertEqual("50.0%", _page._cell(0.5, 0.023, True, "{:.1%}", 1))
        self.assertEqual("1.0%", _page._cell(0.01, 0.023, False, "{:.1%}", 1))
