"""Tests of latency histograms."""

from testtools import TestCase

from hemlocktrestle.latency import Latencies


class LatencyTests(TestCase):
    """Latencies are recorded by key."""

    def test_percentiles_by_key(self) -> None:
        """Counts, sums and percentiles are separate for each key."""
        latencies = Latencies[tuple[str, int]]()
        for value_ms in range(1, 101):
            latencies.record(("chat", 0), value_ms)
        latencies.record(("chat", 1), 7)
        shown = latencies.percentiles()
        self.assertEqual((100, 5050), shown["chat", 0][:2])
        self.assertEqual((50, 95, 99), shown["chat", 0][2:])
        self.assertEqual((1, 7, 7, 7, 7), shown["chat", 1])

    def test_values_beyond_the_range(self) -> None:
        """Values outside the range are counted at its ends."""
        latencies = Latencies[str]()
        latencies.record("all", 0.2)
        latencies.record("all", 1e9)
        shown = latencies.percentiles()["all"]
        self.assertEqual((2, 1), (shown.total_count, shown.p50_ms))
