"""Counters and histograms of one edge process, as Prometheus text."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._server import ServedRequest
from hemlocktrestle.edge.placing._placement import (
    UNSENT_ENDS,
    AttemptReport,
    Placement,
)
from hemlocktrestle.latency import Latencies
from hemlocktrestle.relay import CutReason

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
"""Upper ends of the buckets of all histograms, in seconds."""


_Kind = tuple[str, str]
"""Service and rank of a request."""

_TIMES = {
    "first": "Time from a request's arrival to the first part of its answer.",
    "permit_wait": "Time that requests waited for their permits.",
}
"""Timed phases of each request, with the help texts of their metrics."""

SERIES_MAX = 64
"""Most customers or replicas with a series of their own; the rest share one.

Each histogram series takes a few kilobytes, and there are many customers.
"""

OTHERS = "others"
"""Label of the series shared by customers or replicas beyond ``SERIES_MAX``."""

Labels = dict[str, float]
"""Values of a metric by its only label."""


class Gauges(NamedTuple):
    """Functions that return current values; ages are in milliseconds."""

    running: Callable[[], float]
    connections: Callable[[], float]
    configuration_version: Callable[[], float]
    configuration_age_ms: Callable[[], float]
    replicas_ready: Callable[[], float]
    replicas_age_ms: Callable[[], float]
    store_is_lost: Callable[[], float]
    store_answered_age_ms: Callable[[], float]
    store_calls: Callable[[], float]
    store_era: Callable[[], float]
    vms_heard: Callable[[], float]
    stalls: Callable[[], float]
    log_lines_dropped: Callable[[], float]
    inbox_wait_ms: Callable[[], float]
    configuration_bytes_sent: Callable[[], float]
    replicas_leaving: Callable[[], float]
    replicas_paused: Callable[[], float]
    parts_quarantined: Callable[[], float]
    part_refusals: Callable[[], float]
    replica_connections_opened: Callable[[], float]
    replica_connections_reused: Callable[[], float]
    replica_connections_dead: Callable[[], float]
    replica_connections_idle: Callable[[], float]


class LabelledGauges(NamedTuple):
    """Functions that return current values by label."""

    pool_queued_asks: Callable[[], Labels]
    pool_oldest_queued_ms: Callable[[], Labels]
    pool_free_slots: Callable[[], Labels]
    pool_oldest_in_hand_ms: Callable[[], Labels]
    customer_quota_left: Callable[[], Labels]
    service_repeats_left: Callable[[], Labels]
    service_rollout_phase: Callable[[], Labels]
    service_target_requests: Callable[[], Labels]
    service_target_bad: Callable[[], Labels]


_HELP = {
    "running": "Requests in hand.",
    "connections": "Connections of callers that are open.",
    "configuration_version": "Version of the configuration in force, 0 for none.",
    "configuration_age_ms": "Time since the configuration was last confirmed.",
    "replicas_ready": "Replicas that are believed to take work.",
    "replicas_age_ms": "Time since the book of replicas was last confirmed.",
    "store_is_lost": "Whether the last call to the store failed.",
    "store_answered_age_ms": "Time since the store last answered.",
    "store_calls": "Calls to the store since the start.",
    "store_era": "Number of restores that the store states, 0 if it states none.",
    "vms_heard": "VMs whose demand is known, this one included.",
    "stalls": "Times for which nothing in this process ran, since the start.",
    "log_lines_dropped": "Log lines that were not written, since the start.",
    "inbox_wait_ms": "Time that the last message waited for the scheduler's task.",
    "configuration_bytes_sent": "Bytes of configurations sent to other VMs.",
    "replicas_leaving": "Replicas that said in an answer that they leave.",
    "replicas_paused": "Replicas that asked this VM for a pause that lasts.",
    "parts_quarantined": "Parts of prompts that are refused for crashing replicas.",
    "part_refusals": "Requests refused for a part of their prompts, since the start.",
    "replica_connections_opened": "New connections to replicas, since the start.",
    "replica_connections_reused": "Requests sent on kept connections, since the start.",
    "replica_connections_dead": "Kept connections that had ended, since the start.",
    "replica_connections_idle": "Connections to replicas that are kept idle.",
    "pool_oldest_in_hand_ms": "Age of the oldest request counted as in hand.",
    "pool_queued_asks": "Asks that wait in front of a pool kept here.",
    "pool_oldest_queued_ms": "How long the oldest ask has waited for a pool kept here.",
    "pool_free_slots": "Requests that a pool kept here may still be given.",
    "customer_quota_left": "What a customer may still spend in this window.",
    "service_repeats_left": "Repeats that this VM may still send to a service.",
    "service_rollout_phase": "Phase of a service's last order: 1 canary, 2 shifting, "
    "3 stopped, 4 completed, 5 rolled back.",
    "service_target_requests": "Requests permitted here to an order's target.",
    "service_target_bad": "Failures and slow answers of an order's target seen here.",
}


class _CurrentValues(Collector):
    def __init__(self, gauges: Gauges, labelled: LabelledGauges) -> None:
        self._gauges = gauges
        self._labelled = labelled

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the current values."""
        for name, value in self._gauges._asdict().items():
            yield GaugeMetricFamily(f"hemlocktrestle_{name}", _HELP[name], value())
        for name, values in self._labelled._asdict().items():
            label = name.partition("_")[0]
            family = GaugeMetricFamily(
                f"hemlocktrestle_{name}", _HELP[name], labels=(label,)
            )
            for key, present in sorted(values().items()):
                family.add_metric((key,), present)
            yield family


class _Quantiles(Collector):
    """Quantiles by service and rank, which unlike histograms need no buckets."""

    def __init__(self, name: str, text: str, latencies: Latencies[_Kind]) -> None:
        self._name = name
        self._text = text
        self._latencies = latencies

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the quantiles over the lifetime of the process."""
        family = GaugeMetricFamily(
            self._name, self._text, labels=("service", "rank", "quantile")
        )
        for kind, shown in sorted(self._latencies.percentiles().items()):
            family.add_metric((*kind, "p50"), shown.p50_ms)
            family.add_metric((*kind, "p95"), shown.p95_ms)
            family.add_metric((*kind, "p99"), shown.p99_ms)
        yield family


class _BoundedLabels:
    """Bounds the values of a label; only the first ``SERIES_MAX`` names get one."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def label(self, name: str) -> str:
        """Return the label value for a name."""
        if name in self._names:
            return name
        if len(self._names) >= SERIES_MAX:
            return OTHERS
        self._names.add(name)
        return name


class EdgeMetrics:
    """Metrics of one edge process.

    Args:
        gauges: functions that return current values.
        labelled: functions that return current values by label.
    """

    def __init__(self, gauges: Gauges, labelled: LabelledGauges) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_CurrentValues(gauges, labelled))
        self._customer_labels = _BoundedLabels()
        self._replica_labels = _BoundedLabels()
        self._requests = Counter(
            "hemlocktrestle_requests",
            "Requests by the way that they ended.",
            ("service", "rank", "outcome", "status"),
            registry=self._registry,
        )
        self._customers = Counter(
            "hemlocktrestle_customer_requests",
            "Requests by customer and the way that they ended.",
            ("customer", "outcome"),
            registry=self._registry,
        )
        self._attempts = Counter(
            "hemlocktrestle_attempts",
            "Attempts by replica and the way that they ended.",
            ("replica", "end"),
            registry=self._registry,
        )
        self._cuts = Counter(
            "hemlocktrestle_connections_cut",
            "Callers' connections that were closed before their time.",
            ("reason",),
            registry=self._registry,
        )
        self._locality_requests = Counter(
            "hemlocktrestle_locality_requests",
            "Requests that were sent, by service and by how far the replica was.",
            ("service", "locality"),
            registry=self._registry,
        )
        self._locality_bytes = Counter(
            "hemlocktrestle_locality_bytes",
            "Bytes of bodies sent and received, by how far the replica was.",
            ("service", "locality"),
            registry=self._registry,
        )
        self._by_kind = {
            name: self._times(name, text, ("service", "rank"))
            for name, text in _TIMES.items()
        }
        self._by_customer = {
            name: self._times(f"customer_{name}", text, ("customer",))
            for name, text in _TIMES.items()
        }
        self._by_replica = self._times(
            "replica_first", "Time from an attempt to its first part.", ("replica",)
        )
        self._quantiles: dict[str, Latencies[_Kind]] = {}
        for name, text in _TIMES.items():
            found = self._quantiles[name] = Latencies[_Kind]()
            self._registry.register(
                _Quantiles(f"hemlocktrestle_{name}_quantile_ms", text, found)
            )

    def _times(self, name: str, text: str, labels: tuple[str, ...]) -> Histogram:
        return Histogram(
            f"hemlocktrestle_{name}_seconds",
            text,
            labels,
            buckets=BUCKETS_S,
            registry=self._registry,
        )

    def record_request(self, served: ServedRequest) -> None:
        """Record a request that has ended."""
        job, progress = served.job, served.progress
        service = job.service.name if job is not None else ""
        rank = str(job.rank) if job is not None else ""
        status = str(served.status)
        self._requests.labels(service, rank, served.outcome, status).inc()
        if job is None:
            return
        customer = self._customer_labels.label(job.customer_name)
        self._customers.labels(customer, served.outcome).inc()
        if progress.replicas:
            self._observe("permit_wait", (service, rank), customer, progress.waited_ms)
        if progress.first_ms:
            self._observe("first", (service, rank), customer, progress.first_ms)

    def record_attempt(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Record an attempt that has ended."""
        replica = self._replica_labels.label(placement.replica_id)
        self._attempts.labels(replica, report.end.value).inc()
        if placement.locality is not None and report.end not in UNSENT_ENDS:
            labels = (job.service.name, placement.locality.value)
            self._locality_requests.labels(*labels).inc()
            size_bytes = len(job.request.body) + report.answer_bytes
            self._locality_bytes.labels(*labels).inc(size_bytes)
        if report.first_ms:
            self._by_replica.labels(replica).observe(report.first_ms / 1000)

    def record_cut(self, reason: CutReason) -> None:
        """Record that a caller's connection was closed before its time."""
        self._cuts.labels(reason.value).inc()

    def _observe(self, name: str, kind: _Kind, customer: str, value_ms: float) -> None:
        self._quantiles[name].record(kind, value_ms)
        self._by_kind[name].labels(*kind).observe(value_ms / 1000)
        self._by_customer[name].labels(customer).observe(value_ms / 1000)

    def text(self) -> tuple[int, bytes, bytes]:
        """Return status, content type and all metrics as Prometheus text."""
        return 200, CONTENT_TYPE, generate_latest(self._registry)
