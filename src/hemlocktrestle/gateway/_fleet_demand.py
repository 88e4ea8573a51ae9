"""What the VMs of the fleet ask for, as far as this VM has heard."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.gateway._quota import Demand, FleetSnapshot

HEARD_MS = 2_000.0
"""Time after which what a VM said of its demand no longer counts, in milliseconds.

Four heartbeats; a VM that is silent for longer keeps its part by head instead.
"""


class _Heard(NamedTuple):
    domain: str
    vm_count: int
    demands: dict[str, Demand]
    heard_ms: float
    young: float


class FleetDemand:
    """Sums up demand by area: VMs tell their keeper, keepers tell everybody.

    Args:
        vm: this VM.
        domain: the area whose keeper this VM talks to.
    """

    def __init__(self, vm: str, domain: str) -> None:
        self._vm = vm
        self._domain = domain
        self._vms: dict[str, _Heard] = {}
        self._domains: dict[str, _Heard] = {}

    def record_vm_demand(
        self,
        vm: str,
        demands: Iterable[Demand],
        now_ms: float,
        *,
        startup_share: float = 0.0,
    ) -> None:
        """Take in what one VM of the own area asks for."""
        self._vms[vm] = _Heard(
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
        """Take in what a keeper says of all VMs of its area."""
        known = self._domains.get(domain)
        is_fresh = known is not None and now_ms - known.heard_ms < HEARD_MS / 2
        # Two VMs may take themselves for the keeper; the one that hears more is.
        if is_fresh and known is not None and known.vm_count > vm_count:
            return
        self._domains[domain] = _Heard(
            domain, vm_count, _by_customer(demands), now_ms, startup_share
        )

    def domain_startup_share(self, own: float, now_ms: float) -> float:
        """Return the sum of the youth of the VMs that were heard in the own area."""
        heard = [item for item in self._vms.values() if _is_fresh(item, now_ms)]
        return own + sum(item.young for item in heard)

    def domain_demand(
        self, own: Iterable[Demand], now_ms: float
    ) -> tuple[int, tuple[Demand, ...]]:
        """Return how many VMs of the own area were heard, and what they ask for."""
        heard = [item for item in self._vms.values() if _is_fresh(item, now_ms)]
        total = _by_customer(own)
        for item in heard:
            _add(total, item.demands)
        return 1 + len(heard), tuple(total.values())

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
        """Return what is known of the other VMs.

        Args:
            customer: the only customer whose demand is asked for, or ``None`` for
                all; many VMs times many customers take a while to sum up.
            own: this VM's own demand.
            is_scheduler: whether this VM sums up its area itself.
            vm_count: VMs that are registered.
            now_ms: time of the process in milliseconds.
            own_startup_share: this VM's own youth, which an area's sum holds too.
        """
        own_demands = _by_customer(own)
        others: dict[str, Demand] = {}
        heard_count = heads = 1
        young = 0.0
        scheduler = self._domains.get(self._domain)
        if is_scheduler or scheduler is None or not _is_fresh(scheduler, now_ms):
            for item in self._vms.values():
                if _is_fresh(item, now_ms):
                    heard_count += 1
                    heads += is_scheduler
                    young += item.young
                    _add(others, item.demands, customer)
        else:
            heard_count = max(1, scheduler.vm_count)
            young = max(0.0, scheduler.young - own_startup_share)
            _add(others, scheduler.demands, customer)
            _take(others, own_demands)
        domain_count = int(is_scheduler)
        for domain, item in self._domains.items():
            if domain != self._domain and _is_fresh(item, now_ms):
                domain_count += is_scheduler
                heard_count += item.vm_count
                young += item.young
                _add(others, item.demands, customer)
        total_count = max(vm_count, heard_count)
        return FleetSnapshot(
            total_count, heard_count, others, young, heads, domain_count
        )


def _is_fresh(item: _Heard, now_ms: float) -> bool:
    return now_ms - item.heard_ms <= HEARD_MS


def _by_customer(demands: Iterable[Demand]) -> dict[str, Demand]:
    return {demand.customer: demand for demand in demands}


def _add(
    total: dict[str, Demand], demands: dict[str, Demand], only: str | None = None
) -> None:
    """Add demand to a total, that of one customer alone if one is named."""
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


def _take(total: dict[str, Demand], demands: dict[str, Demand]) -> None:
    for customer, demand in demands.items():
        known = total.get(customer)
        if known is not None:
            total[customer] = Demand(
                customer,
                max(0.0, known.asked_per_s - demand.asked_per_s),
                max(0.0, known.spent - demand.spent),
            )
