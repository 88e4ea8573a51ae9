"""Counters and histograms of one edge process, as Prometheus text."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._place import AttemptReport, Place
from hemlocktrestle.edge._serve import Served

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
"""Upper ends of the buckets of all histograms, in seconds."""


class Gauges(NamedTuple):
    """Functions that return present values; ages are in milliseconds."""

    running: Callable[[], float]
    connections: Callable[[], float]
    configuration_version: Callable[[], float]
    replicas_ready: Callable[[], float]
    store_is_lost: Callable[[], float]
    store_calls: Callable[[], float]
    vms_heard: Callable[[], float]
    asks_queued: Callable[[], float]
    log_lines_dropped: Callable[[], float]


_HELP = {
    "running": "Requests in hand.",
    "connections": "Connections of callers that are open.",
    "configuration_version": "Version of the configuration in force, 0 for none.",
    "replicas_ready": "Replicas that are believed to take work.",
    "store_is_lost": "Whether the last call to the store failed.",
    "store_calls": "Calls to the store since the start.",
    "vms_heard": "VMs whose demand is known, this one included.",
    "asks_queued": "Asks that wait at the keeper on this VM.",
    "log_lines_dropped": "Log lines that were not written, since the start.",
}


class _Present(Collector):
    def __init__(self, gauges: Gauges) -> None:
        self._gauges = gauges

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the present values."""
        for name, value in self._gauges._asdict().items():
            yield GaugeMetricFamily(f"hemlocktrestle_{name}", _HELP[name], value())


class EdgeMetrics:
    """What one process counts.

    Args:
        gauges: functions that return present values.
    """

    def __init__(self, gauges: Gauges) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_Present(gauges))
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
        self._first = Histogram(
            "hemlocktrestle_first_seconds",
            "Time from a request's arrival to the first part of its answer.",
            ("service", "rank"),
            buckets=BUCKETS_S,
            registry=self._registry,
        )
        self._waits = Histogram(
            "hemlocktrestle_permit_wait_seconds",
            "Time that requests waited for their permits.",
            ("service", "rank"),
            buckets=BUCKETS_S,
            registry=self._registry,
        )

    def served(self, served: Served) -> None:
        """Count a request at its end."""
        job, progress = served.job, served.progress
        service = job.service.name if job is not None else ""
        rank = str(job.rank) if job is not None else ""
        status = str(served.status)
        self._requests.labels(service, rank, served.outcome, status).inc()
        if job is None:
            return
        self._customers.labels(job.customer_name, served.outcome).inc()
        if progress.replicas:
            self._waits.labels(service, rank).observe(progress.waited_ms / 1000)
        if progress.first_ms:
            self._first.labels(service, rank).observe(progress.first_ms / 1000)

    def attempt(self, job: Job, place: Place, report: AttemptReport) -> None:
        """Count an attempt at its end."""
        self._attempts.labels(place.replica_id, report.end.value).inc()

    def text(self) -> tuple[int, bytes, bytes]:
        """Return status, content type and all values as text."""
        return 200, CONTENT_TYPE, generate_latest(self._registry)
