"""What one edge process believes and holds."""

from collections.abc import Callable

import trio

from hemlocktrestle.gateway import (
    CallerLimits,
    Configuration,
    FleetSnapshot,
    QuotaTracker,
    ReplicaRegistry,
    RetryBudget,
)
from hemlocktrestle.platform import EdgeSettings, HeaderCodec

NOTICE_MS = 2_800.0
"""Time after the order to stop in which requests are still taken, in milliseconds.

The balancer asks once a second and takes a VM out after two misses.
"""


def now_ms() -> float:
    """Return the time of the process in milliseconds; it never goes back."""
    return trio.current_time() * 1000


class EdgeState:
    """State that the tasks of one process share.

    Args:
        settings: the settings of the process.
        fleet: returns what is known of the other VMs, for one customer if one is
            named.
    """

    def __init__(
        self, settings: EdgeSettings, *, fleet: Callable[..., FleetSnapshot]
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.dialect = HeaderCodec()
        self.configuration: Configuration | None = None
        self.configuration_document = b""
        self.configuration_revision = -1
        self.on_configuration: Callable[[], None] = lambda: None
        self.replicas = ReplicaRegistry()
        self.has_replicas = False
        self.has_vms = False
        self.quotas = QuotaTracker(now_ms())
        self.stored_busy_customers: set[str] = set()
        self.draining_since_ms: float | None = None
        self._budgets: dict[str, RetryBudget] = {}

    @property
    def is_draining(self) -> bool:
        """Whether this VM is leaving."""
        return self.draining_since_ms is not None

    @property
    def takes_requests(self) -> bool:
        """Whether requests that come now are still served."""
        since_ms = self.draining_since_ms
        return since_ms is None or now_ms() - since_ms < NOTICE_MS

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers that are in force."""
        if self.configuration is None:
            return CallerLimits()
        return self.configuration.limits

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self.configuration is not None
            and self.has_replicas
            and self.has_vms
            and not self.is_draining
        )

    def repeats_left(self) -> dict[str, float]:
        """Return the repeats that this VM may still send, by service."""
        vm_count = self.fleet().vm_count
        return {
            service: budget.remaining(vm_count, now_ms())
            for service, budget in self._budgets.items()
        }

    def budget(self, service: str) -> RetryBudget:
        """Return this VM's budget for repeats to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._budgets[service] = RetryBudget(
                ratio=bounds.repeat_ratio,
                slack=bounds.repeat_slack,
                window_ms=bounds.repeat_window_ms,
            )
        return budget
