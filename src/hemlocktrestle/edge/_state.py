"""Shared state of one edge process."""

import logging
import math
from collections.abc import Callable

import trio

from hemlocktrestle.edge.attempts._kept_connections import (
    KeptConnections,
    kept_count_max,
)
from hemlocktrestle.edge.callers._memory_plan import MemoryPlan
from hemlocktrestle.edge.callers._shutdown import Phase, Shutdown
from hemlocktrestle.edge.replicas._replica_notices import ReplicaNotices
from hemlocktrestle.edge.rollouts._rollouts import Rollouts
from hemlocktrestle.gateway import (
    NO_ERA,
    NO_REVISION,
    AnswerTimes,
    CallerLimits,
    Configuration,
    FleetSnapshot,
    QuotaTracker,
    ReplicaRegistry,
    RetryBudget,
)
from hemlocktrestle.platform import EdgeSettings, HeaderCodec
from hemlocktrestle.relay import BodyMemoryBudget

log = logging.getLogger(__name__)


def now_ms() -> float:
    """Return the monotonic time of the process in milliseconds."""
    return trio.current_time() * 1000


class EdgeState:
    """State that the tasks of one process share.

    Args:
        settings: the settings of the process.
        fleet: returns the known demand on all VMs, or only that of one customer.
    """

    def __init__(
        self, settings: EdgeSettings, *, fleet: Callable[..., FleetSnapshot]
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.header_codec = HeaderCodec()
        self.configuration: Configuration | None = None
        self.configuration_document = b""
        self.configuration_revision = NO_REVISION
        self.configuration_confirmed_ms = -math.inf
        self.on_configuration: Callable[[], None] = lambda: None
        self.replicas = ReplicaRegistry()
        self.replica_notices = ReplicaNotices(self.replicas, now_ms=now_ms)
        self.rollouts = Rollouts(
            self.replicas,
            settings.bounds.rollouts,
            now_ms=now_ms,
            scheduler_count=len(set(settings.region_of_zone.values())),
        )
        self.store_era = NO_ERA
        """Highest era of the store that this VM or another one has seen."""
        self.on_store_restored: list[Callable[[], None]] = []
        """Called after ``store_era`` has risen, the first era excepted."""
        self.has_loaded_replicas = False
        self.has_loaded_vms = False
        self.quotas = QuotaTracker(now_ms())
        self.answer_times = AnswerTimes()
        self.stored_busy_customers: set[str] = set()
        self.shutdown = Shutdown(lambda: self.settings.bounds.grace_ms)
        self.memory_plan = MemoryPlan.of(settings.memory_bytes)
        self.request_budget = BodyMemoryBudget(self.memory_plan.body_bytes)
        self.answer_budget = BodyMemoryBudget(self.memory_plan.body_bytes)
        self.input_budget = BodyMemoryBudget(self.memory_plan.input_bytes)
        self.cut_stuck_caller: Callable[[], bool] = lambda: False
        """Closes the connection of a caller that reads nothing, if there is one."""
        self._retry_budgets: dict[str, RetryBudget] = {}
        self.kept_connections = KeptConnections(
            kept_count_max(settings.descriptors_max),
            now_ms=now_ms,
            is_usable=self.replica_notices.is_usable,
            is_closing=lambda: self.is_draining,
        )

    @property
    def is_draining(self) -> bool:
        """Whether this VM is shutting down."""
        return self.shutdown.has_begun

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests are accepted, also early in a shutdown."""
        return not self.shutdown.has_reached(Phase.CLOSING)

    @property
    def ends_retries(self) -> bool:
        """Whether the shutdown leaves a replica no time for one more attempt."""
        return self.shutdown.has_reached(Phase.FINISHING)

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers from the configuration in force."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        return (
            self.configuration is not None
            and self.has_loaded_replicas
            and self.has_loaded_vms
            and not self.is_draining
        )

    def observe_store_era(self, era: int, *, source: str) -> None:
        """Take note of an era that the store or another VM stated.

        Args:
            era: the era.
            source: the task or the VM that learned it, for the log.
        """
        previous = self.store_era
        if era <= previous:
            return
        self.store_era = era
        unconfirmed_count = self.replicas.begin_era(era, now_ms())
        if previous == NO_ERA:
            return
        configuration = self.configuration
        log.warning(
            "store_restored",
            extra={
                "store_era": era,
                "previous_era": previous,
                "source": source,
                "replicas_to_confirm": unconfirmed_count,
                "version_kept": configuration.version if configuration else 0,
            },
        )
        for notify in self.on_store_restored:
            notify()

    def retries_remaining(self) -> dict[str, float]:
        """Return the retries that this VM may still send, by service."""
        vm_count = self.fleet().vm_count
        return {
            service: budget.remaining(vm_count, now_ms())
            for service, budget in self._retry_budgets.items()
        }

    def retry_budget(self, service: str) -> RetryBudget:
        """Return this VM's retry budget for a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._retry_budgets[service] = RetryBudget(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window_ms=bounds.retry_window_ms,
            )
        return budget
