"""Metrics in Prometheus's text format, read from the parts when they are asked for."""

from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import GaugeMetricFamily, Metric, SummaryMetricFamily
from prometheus_client.registry import Collector

from hemlocktrestle.latency import Latencies
from hemlocktrestle.wire import PoolSummary

NO_KIND = "none"
"""Label of requests that ended without an error."""


class GaugeSources(NamedTuple):
    """Where gauges are read from, each time that metrics are asked for."""

    pools: Callable[[], Iterable[PoolSummary]]
    tree_revision: Callable[[], int]
    tree_age_ms: Callable[[], int]
    running_count: Callable[[], int]


class Metrics:
    """Counters of requests, and gauges of the parts of one VM.

    Args:
        latencies: histograms, shown as summaries.
        sources: where gauges are read from.
    """

    def __init__(self, latencies: Latencies[str], sources: GaugeSources) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "hemlocktrestle_requests",
            "Requests by tier, outcome and error kind.",
            ("tier", "outcome", "error_kind"),
            registry=self.registry,
        )
        self.registry.register(_GaugeCollector(latencies, sources))

    def count(self, *, tier: str, outcome: str, error_kind: str = NO_KIND) -> None:
        """Count a request that ended."""
        self._requests.labels(tier, outcome, error_kind).inc()


class _GaugeCollector(Collector):
    """Reads gauges and latencies from their sources."""

    def __init__(self, latencies: Latencies[str], sources: GaugeSources) -> None:
        self._latencies = latencies
        self._sources = sources

    def collect(self) -> Iterator[Metric]:
        """Yield every metric with its present value."""
        yield from self._pools()
        yield _gauge(
            "hemlocktrestle_tree_revision",
            "Revision of the settings in force.",
            self._sources.tree_revision(),
        )
        yield _gauge(
            "hemlocktrestle_tree_age_ms",
            "Time since the revision was confirmed, in milliseconds.",
            self._sources.tree_age_ms(),
        )
        yield _gauge(
            "hemlocktrestle_running_requests",
            "Requests that this VM holds.",
            self._sources.running_count(),
        )
        yield from self._latency_metrics()

    def _pools(self) -> Iterator[Metric]:
        queued = GaugeMetricFamily(
            "hemlocktrestle_pool_queued_asks",
            "Asks that wait in front of a pool kept here.",
            labels=("pool",),
        )
        free = GaugeMetricFamily(
            "hemlocktrestle_pool_free_slots",
            "Requests that a pool kept here may still be given.",
            labels=("pool",),
        )
        for summary in self._sources.pools():
            queued.add_metric((summary.pool,), summary.queued_count)
            free.add_metric((summary.pool,), summary.free_slots)
        yield queued
        yield free

    def _latency_metrics(self) -> Iterator[Metric]:
        family = SummaryMetricFamily(
            "hemlocktrestle_latency_ms",
            "Latencies of complete answers, in milliseconds.",
            labels=("name",),
        )
        quantiles = GaugeMetricFamily(
            "hemlocktrestle_latency_quantile_ms",
            "Quantiles of those latencies, in milliseconds.",
            labels=("name", "quantile"),
        )
        for name, shown in sorted(self._latencies.percentiles().items()):
            family.add_metric((name,), shown.total_count, shown.sum_ms)
            quantiles.add_metric((name, "p50"), shown.p50_ms)
            quantiles.add_metric((name, "p95"), shown.p95_ms)
            quantiles.add_metric((name, "p99"), shown.p99_ms)
        yield family
        yield quantiles


def _gauge(name: str, text: str, value: float) -> Metric:
    family = GaugeMetricFamily(name, text)
    family.add_metric((), value)
    return family
