"""Tests of the metrics."""

from prometheus_client import generate_latest
from testtools import TestCase
from testtools.matchers import Contains

from hemlocktrestle.adapters import GaugeSources, Metrics
from hemlocktrestle.latency import Latencies
from hemlocktrestle.wire import PoolSummary


class MetricsTests(TestCase):
    """The metrics show what the parts hold when they are asked for."""

    def test_counters_gauges_and_latencies_are_shown(self) -> None:
        """Each kind of metric stands in the text with its labels."""
        latencies = Latencies[str]()
        latencies.record("total.high", 120)
        pools = [PoolSummary("assistant", 3, 40, 2)]
        metrics = Metrics(
            latencies, GaugeSources(lambda: pools, lambda: 7, lambda: 250, lambda: 1)
        )
        metrics.count(tier="high", outcome="not-run", error_kind="shed")
        text = generate_latest(metrics.registry).decode()
        for line in (
            'hemlocktrestle_requests_total{error_kind="shed",outcome="not-run",'
            'tier="high"} 1.0',
            'hemlocktrestle_pool_queued_asks{pool="assistant"} 3.0',
            "hemlocktrestle_tree_revision 7.0",
            'hemlocktrestle_latency_ms_count{name="total.high"} 1.0',
            'hemlocktrestle_latency_quantile_ms{name="total.high",'
            'quantile="p99"} 120.0',
        ):
            self.assertThat(text, Contains(line))
