"""Demand of customers on the other VMs, as their heartbeats report it."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.gateway._quota import Demand, FleetSnapshot

REPORT_TTL_MS = 2_000.0
"""Age from which a VM's report of its demand is ignored, in milliseconds.

Four heartbeats; a VM that is silent for longer keeps its equal part instead.
"""


class _Report(NamedTuple):
    domain: str
    vm_count: int
    demands: dict[str, Demand]
    received_ms: float
    startup_share: float


class FleetDemand:
    """Sums demand by scheduling domain.

    VMs report their demand to their domain's scheduler, and schedulers report the
    sum to all VMs.

    Args:
        vm: this VM.
        domain: the domain whose scheduler this VM uses.
    """

    def __init__(self, vm: str, domain: str) -> None:
        self._vm = vm
        self._domain = domain
        self._vms: dict[str, _Report] = {}
        self._domains: dict[str, _Report] = {}

    def record_vm_demand(
        self,
        vm: str,
        demands: Iterable[Demand],
        now_ms: float,
        *,
        startup_share: float = 0.0,
    ) -> None:
        """Record the demand of one VM of this VM's domain."""
        self._vms[vm] = _Report(
            self._domain, 1, _by_customer(demands), now_ms, startup_share
        )

    def record_domain_demand(
        self,
        domain: str,
        vm_count: int,
        demands: Iterable[Demand],
        now_ms: float,
        *,
        startup_share: float = 0.0,
    ) -> None:
        """Record a scheduler's report of the demand of all VMs of its domain."""
        known = self._domains.get(domain)
        is_fresh = known is not None and now_ms - known.received_ms < REPORT_TTL_MS / 2
        # Two VMs may each act as scheduler; the report on more VMs is used.
        if is_fresh and known is not None and known.vm_count > vm_count:
            return
        self._domains[domain] = _Report(
            domain, vm_count, _by_customer(demands), now_ms, startup_share
        )

    def domain_startup_share(self, own: float, now_ms: float) -> float:
        """Return the sum of the startup shares of the VMs of this VM's domain."""
        reports = [item for item in self._vms.values() if _is_fresh(item, now_ms)]
        return own + sum(item.startup_share for item in reports)

    def domain_demand(
        self, own: Iterable[Demand], now_ms: float
    ) -> tuple[int, tuple[Demand, ...]]:
        """Return how many VMs of this VM's domain reported, and their demand."""
        reports = [item for item in self._vms.values() if _is_fresh(item, now_ms)]
        total = _by_customer(own)
        for item in reports:
            _add(total, item.demands)
        return 1 + len(reports), tuple(total.values())

    def snapshot(
        self,
        own: Iterable[Demand],
        *,
        is_scheduler: bool,
        vm_count: int,
        now_ms: float,
        own_startup_share: float = 0.0,
        customer: str | None = None,
    ) -> FleetSnapshot:
        """Return what is known of the demand on the other VMs.

        Args:
            customer: the only customer to sum the demand of, or ``None`` for all;
                the sum over many VMs and many customers takes long.
            own: this VM's own demand.
            is_scheduler: whether this VM is its domain's scheduler and so sums it.
            vm_count: number of registered VMs.
            now_ms: time of the process in milliseconds.
            own_startup_share: this VM's startup share, which a domain's sum includes.
        """
        own_demands = _by_customer(own)
        others: dict[str, Demand] = {}
        reporting_count = represented_count = 1
        startup_share = 0.0
        scheduler = self._domains.get(self._domain)
        if is_scheduler or scheduler is None or not _is_fresh(scheduler, now_ms):
            for item in self._vms.values():
                if _is_fresh(item, now_ms):
                    reporting_count += 1
                    represented_count += is_scheduler
                    startup_share += item.startup_share
                    _add(others, item.demands, customer)
        else:
            reporting_count = max(1, scheduler.vm_count)
            startup_share = max(0.0, scheduler.startup_share - own_startup_share)
            _add(others, scheduler.demands, customer)
            _subtract(others, own_demands)
        domain_count = int(is_scheduler)
        for domain, item in self._domains.items():
            if domain != self._domain and _is_fresh(item, now_ms):
                domain_count += is_scheduler
                reporting_count += item.vm_count
                startup_share += item.startup_share
                _add(others, item.demands, customer)
        total_count = max(vm_count, reporting_count)
        return FleetSnapshot(
            total_count,
            reporting_count,
            others,
            startup_share,
            represented_count,
            domain_count,
        )


def _is_fresh(item: _Report, now_ms: float) -> bool:
    return now_ms - item.received_ms <= REPORT_TTL_MS


def _by_customer(demands: Iterable[Demand]) -> dict[str, Demand]:
    return {demand.customer: demand for demand in demands}


def _add(
    total: dict[str, Demand], demands: dict[str, Demand], only: str | None = None
) -> None:
    """Add demand to a total; only that of one customer if it is given."""
    if only is not None:
        demand = demands.get(only)
        demands = {} if demand is None else {only: demand}
    for customer, demand in demands.items():
        known = total.get(customer, Demand(customer, 0.0, 0.0))
        total[customer] = Demand(
            customer,
            known.asked_per_s + demand.asked_per_s,
            known.spent + demand.spent,
        )


def _subtract(total: dict[str, Demand], demands: dict[str, Demand]) -> None:
    for customer, demand in demands.items():
        known = total.get(customer)
        if known is not None:
            total[customer] = Demand(
                customer,
                max(0.0, known.asked_per_s - demand.asked_per_s),
                max(0.0, known.spent - demand.spent),
            )
