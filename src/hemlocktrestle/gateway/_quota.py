"""Quotas of customers over all VMs, enforced without a counter in the store.

A quota bounds what a customer spends in any window.
Each VM counts what it spends itself and learns from reports what the others spent.
No VM hands out more than what the quota leaves by what it knows.
The excess that the platform tolerates is not handed out: it covers what other VMs
spend and have not reported yet.
What is left with it is divided by at least ``FRACTIONS_MIN``, and until its next
update a VM spends at most its part of the result; the rest covers what the others
have spent and not reported yet.

The few schedulers count for all VMs of their domains: what is left is divided
among the domains, minus what the others are expected to ask for in the next seconds.
Any other VM takes a part in proportion to its last reported demand, so that all VMs
compute their parts from the same figures, and an equal part beside it, for VMs
whose demand is new.
"""

import math
from collections import deque
from typing import NamedTuple

DEMAND_WINDOW_MS = 2_000.0
"""Time constant of the average demand, in milliseconds: several heartbeats."""

TOLERANCE_SHARE = 0.8
"""Share of the tolerated excess that late reports may use up.

The rest covers what requests in flight may add.
"""

PART_INTERVAL_MS = 1_000.0
"""Time between two updates of a VM's part, in milliseconds.

Reports pass through one or two schedulers, with a heartbeat each, and have arrived
by then.
"""

EQUAL_SHARE = 0.3
"""Share of what is left that is divided equally, whatever the demand."""

BUSY_SHARE = 0.5
"""Share of a quota spent in a window above which a customer counts as busy.

For other customers, a new process assumes that this share was spent before its
start.
"""

RESERVED_DEMAND_MS = 4_000.0
"""Time for which a scheduler reserves the demand of the others, in milliseconds."""

FRACTIONS_MIN = 2
"""Least number of fractions that the rest of a quota is divided into.

One of them may be spent by other VMs before they report it.
"""

WAIT_MS_MIN = 200.0
"""Shortest wait of a customer that is over its quota, in milliseconds."""


class Demand(NamedTuple):
    """A customer's demand a second and what it spent in one window, on some VMs."""

    customer: str
    asked_per_s: float
    spent: float


class FleetSnapshot(NamedTuple):
    """What a VM knows of the demand on the other VMs.

    Args:
        vm_count: VMs that may serve.
        reporting_count: VMs whose demand is known, including this one.
        demands: demand of the reporting VMs, without this one, by customer.
        startup_share: sum of the others', see :meth:`QuotaTracker.startup_share`.
        represented_count: VMs that this one decides for, including itself.
        domain_count: domains whose schedulers count for all their VMs, if this VM is
            one of these schedulers, else 0.
    """

    vm_count: int
    reporting_count: int
    demands: dict[str, Demand]
    startup_share: float = 0.0
    represented_count: int = 1
    domain_count: int = 0


class Quota(NamedTuple):
    """A customer's quota over all VMs.

    Args:
        rate_per_s: what it may spend a second.
        burst: what it may spend at once beyond the rate.
        window_ms: length of the windows in which spending is counted.
        over: share of the quota by which it may be exceeded.
        slack: amount by which it may be exceeded in addition.
    """

    rate_per_s: float
    burst: float
    window_ms: float
    over: float
    slack: float

    @property
    def limit(self) -> float:
        """What may be spent in one window."""
        return self.rate_per_s * self.window_ms / 1000 + self.burst

    @property
    def bound(self) -> float:
        """What may have been spent in one window once all reports have come."""
        return self.limit + TOLERANCE_SHARE * (self.limit * self.over + self.slack)


class _Rate:
    """A rate a second, averaged with exponential decay."""

    __slots__ = ("_at_ms", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms

    def add(self, amount: float, now_ms: float) -> None:
        self._per_s = self.at(now_ms) + amount * 1000 / DEMAND_WINDOW_MS
        self._at_ms = max(now_ms, self._at_ms)

    def at(self, now_ms: float) -> float:
        passed = max(0.0, now_ms - self._at_ms) / DEMAND_WINDOW_MS
        return self._per_s * math.exp(-passed)


class _Account:
    """One customer's demand and spending on this VM."""

    __slots__ = (
        "demand",
        "limit",
        "part",
        "part_at_ms",
        "reported_per_s",
        "spends",
        "spent",
        "spent_of_part",
    )

    def __init__(self, now_ms: float) -> None:
        self.demand = _Rate(now_ms)
        self.spends: deque[tuple[float, float]] = deque()
        self.spent = 0.0
        self.limit = math.inf
        self.part = 0.0
        self.part_at_ms = -math.inf
        self.spent_of_part = 0.0
        self.reported_per_s = 0.0

    def spend(self, amount: float, now_ms: float) -> None:
        self.spends.append((now_ms, amount))
        self.spent += amount
        self.spent_of_part += amount

    def expire(self, before_ms: float) -> None:
        while self.spends and self.spends[0][0] <= before_ms:
            self.spent -= self.spends.popleft()[1]


class QuotaTracker:
    """Tracks each customer's quota as seen by this VM.

    Args:
        started_ms: start of the process.
    """

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms
        self._accounts: dict[str, _Account] = {}
        self._window_ms = 0.0

    def admit(
        self,
        customer: str,
        quota: Quota,
        *,
        amount: float,
        fleet: FleetSnapshot,
        now_ms: float,
        was_busy: bool = True,
    ) -> float | None:
        """Spend from a customer's quota.

        Args:
            customer: the customer's name.
            quota: its quota.
            amount: what the request costs.
            fleet: what is known of the other VMs.
            now_ms: time of the process in milliseconds.
            was_busy: whether the customer may have spent all of its quota before
                processes that started within the window.

        Returns:
            ``None`` if the request is within the quota, else the time in
            milliseconds until it may be.
        """
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(now_ms)
        self._window_ms = quota.window_ms
        account.demand.add(amount, now_ms)
        account.expire(now_ms - quota.window_ms)
        others = fleet.demands.get(customer) or Demand(customer, 0.0, 0.0)
        startup_share = (
            self.startup_share(quota.window_ms, now_ms) + fleet.startup_share
        )
        before_share = startup_share / max(1, fleet.reporting_count)
        before_share *= 1.0 if was_busy else BUSY_SHARE
        share = _reporting_share(fleet)
        account.limit = quota.limit * share
        spent = account.spent + others.spent
        left = account.limit * (1 - before_share) - spent
        room = quota.bound * share * (1 - before_share) - spent
        if now_ms - account.part_at_ms >= PART_INTERVAL_MS:
            account.part = _part(account, room, others.asked_per_s, fleet, now_ms)
            account.part_at_ms = now_ms
            account.spent_of_part = 0.0
        if amount <= left and account.spent_of_part + amount <= account.part:
            account.spend(amount, now_ms)
            return None
        if amount <= left:
            # The next part may be large enough.
            return max(WAIT_MS_MIN, account.part_at_ms + PART_INTERVAL_MS - now_ms)
        return _wait_ms(account, amount - left, quota, now_ms)

    def remaining(self, fleet: FleetSnapshot, now_ms: float) -> dict[str, float]:
        """Return what each customer may still spend, as far as this VM knows."""
        found = {}
        for customer, account in self._accounts.items():
            if math.isfinite(account.limit):
                account.expire(now_ms - self._window_ms)
                found[customer] = account.limit - _spent(customer, account, fleet)
        return found

    def busy_customers(self, fleet: FleetSnapshot) -> set[str]:
        """Return the customers that are busy, as far as this VM knows."""
        found = set()
        for customer, account in self._accounts.items():
            if _spent(customer, account, fleet) > account.limit * BUSY_SHARE:
                found.add(customer)
        return found

    def refund(self, customer: str, amount: float, now_ms: float) -> None:
        """Return the cost of a request that will not run."""
        account = self._accounts.get(customer)
        if account is not None:
            account.spend(-amount, now_ms)

    def explain(self, customer: str, now_ms: float) -> dict[str, float]:
        """Return the figures behind a customer's last decision, for the log."""
        account = self._accounts.get(customer)
        if account is None:
            return {}
        return {
            "spent_here": round(account.spent),
            "part_here": round(account.part),
            "spent_of_part": round(account.spent_of_part),
            "asked_here_per_s": round(account.demand.at(now_ms)),
        }

    def demands(self, now_ms: float) -> tuple[Demand, ...]:
        """Return this VM's demand by customer, to report to the other VMs."""
        for account in self._accounts.values():
            account.expire(now_ms - self._window_ms)
            account.reported_per_s = account.demand.at(now_ms)
        return tuple(
            Demand(customer, account.reported_per_s, account.spent)
            for customer, account in self._accounts.items()
        )

    def startup_share(self, window_ms: float, now_ms: float) -> float:
        """Return the startup share: the part of a window before the process started.

        What the previous process spent is not known, so this share of the VM's
        part of the quota counts as spent.
        """
        return max(0.0, 1 - (now_ms - self._started_ms) / window_ms)


def _spent(customer: str, account: _Account, fleet: FleetSnapshot) -> float:
    """Return what a customer spent in the window, here and on the other VMs."""
    others = fleet.demands.get(customer)
    return account.spent + (others.spent if others is not None else 0.0)


def _reporting_share(fleet: FleetSnapshot) -> float:
    """Return the share of a quota that belongs to the VMs whose demand is known."""
    return min(1.0, fleet.reporting_count / max(1, fleet.vm_count))


def _part(
    account: _Account,
    room: float,
    others_per_s: float,
    fleet: FleetSnapshot,
    now_ms: float,
) -> float:
    """Return how much of what is left this VM may spend before the next update."""
    if fleet.vm_count <= 1:
        return room
    if fleet.domain_count:
        own_per_s = account.demand.at(now_ms)
        by_demand = room * own_per_s / (own_per_s + others_per_s)
        reserved = min(room / 2, others_per_s * RESERVED_DEMAND_MS / 1000)
        return max(by_demand, room - reserved) / max(FRACTIONS_MIN, fleet.domain_count)
    asked_per_s = account.reported_per_s + others_per_s
    by_demand = account.reported_per_s / asked_per_s if asked_per_s else 0.0
    by_head = fleet.represented_count / max(1, fleet.reporting_count)
    share = (1 - EQUAL_SHARE) * by_demand + EQUAL_SHARE * by_head
    return room * share / FRACTIONS_MIN


def _wait_ms(account: _Account, missing: float, quota: Quota, now_ms: float) -> float:
    """Return the time until enough of this VM's spending has left the window."""
    for at_ms, amount in account.spends:
        missing -= amount
        if missing <= 0:
            return max(WAIT_MS_MIN, at_ms + quota.window_ms - now_ms)
    return quota.window_ms
