"""Quotas of customers over all VMs, kept without a count in the store.

A quota bounds what a customer spends in any window.  Each VM counts what it spends
itself and hears from the others what they spent.  Between two looks at the news it
spends at most its part of a fraction of what was left: the rest covers what the
others have spent and not told yet.

Keepers count for whole areas and are few: each takes a fraction by area, and leaves
to the others what they ask for in the next seconds.  Any other VM takes its share by
what it has told of its demand, so that all size their parts alike, with a part by
head for VMs whose demand is new.
"""

import math
from collections import deque
from typing import NamedTuple

ASKED_WINDOW_MS = 2_000.0
"""Time over which asking is averaged, in milliseconds: several heartbeats."""

TOLERANCE_SHARE = 0.8
"""Share of the tolerated excess over a quota that is used.

The rest covers what requests in flight and late news may add.
"""

PART_MS = 1_000.0
"""Time between two looks at the news, in milliseconds.

News goes by way of a keeper or two, with a heartbeat each, and is there by then.
"""

HEADS_SHARE = 0.3
"""Share of what is left that is divided by head, whatever is asked for."""

BUSY_SHARE = 0.5
"""Share of a quota spent in a window above which a customer counts as busy.

Of customers that are not, new processes take so much for spent before them.
"""

RESERVED_MS = 4_000.0
"""Time for which a keeper leaves to the others what they ask for, in milliseconds."""

DOMAINS_MIN = 2
"""Fractions that what is left is cut into at least.

One may be spent by the others before they tell of it.
"""

WAIT_MS_MIN = 200.0
"""Shortest pause for a customer over its quota, in milliseconds."""


class Demand(NamedTuple):
    """What a customer asks for a second, and spent in one window, on some VMs."""

    customer: str
    asked_per_s: float
    spent: float


class FleetSnapshot(NamedTuple):
    """What a VM knows of the others' demand.

    Args:
        vm_count: VMs that may serve.
        heard_count: VMs whose demand is known, this one included.
        demands: demand of the VMs that were heard, without this one, by customer.
        young: sum of the others' :meth:`QuotaBook.young`.
        heads: VMs that this one decides for, itself included.
        area_count: areas whose keepers count for all their VMs, if this VM is one of
            them, else 0.
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
        burst: what may come at once beyond the rate.
        window_ms: length of the windows in which it is counted.
        over: share of the quota by which it may be exceeded.
        slack: amount by which it may be exceeded besides.
    """

    rate_per_s: float
    burst: float
    window_ms: float
    over: float
    slack: float

    @property
    def limit(self) -> float:
        """What may be spent in one window."""
        stated = self.rate_per_s * self.window_ms / 1000 + self.burst
        return stated + TOLERANCE_SHARE * (stated * self.over + self.slack)


class _Rate:
    """A rate a second, averaged with a decaying weight."""

    __slots__ = ("_at_ms", "_per_s")

    def __init__(self, now_ms: float) -> None:
        self._per_s = 0.0
        self._at_ms = now_ms

    def add(self, amount: float, now_ms: float) -> None:
        self._per_s = self.at(now_ms) + amount * 1000 / ASKED_WINDOW_MS
        self._at_ms = max(now_ms, self._at_ms)

    def at(self, now_ms: float) -> float:
        passed = max(0.0, now_ms - self._at_ms) / ASKED_WINDOW_MS
        return self._per_s * math.exp(-passed)


class _Account:
    """What one customer asked for and spent on this VM."""

    __slots__ = (
        "asked",
        "limit",
        "part",
        "part_at_ms",
        "spends",
        "spent",
        "spent_since",
        "told_per_s",
    )

    def __init__(self, now_ms: float) -> None:
        self.asked = _Rate(now_ms)
        self.spends: deque[tuple[float, float]] = deque()
        self.spent = 0.0
        self.limit = math.inf
        self.part = 0.0
        self.part_at_ms = -math.inf
        self.spent_since = 0.0
        self.told_per_s = 0.0

    def spend(self, amount: float, now_ms: float) -> None:
        self.spends.append((now_ms, amount))
        self.spent += amount
        self.spent_since += amount

    def expire(self, before_ms: float) -> None:
        while self.spends and self.spends[0][0] <= before_ms:
            self.spent -= self.spends.popleft()[1]


class QuotaTracker:
    """This VM's view of each customer's quota.

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
            amount: what the request counts.
            fleet: what is known of the other VMs.
            now_ms: time of the process in milliseconds.
            was_busy: whether the customer may have spent all of its quota before
                the processes that are young started.

        Returns:
            ``None`` if the request is within the quota, else the time in
            milliseconds until it may be.
        """
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(now_ms)
        self._window_ms = quota.window_ms
        account.asked.add(amount, now_ms)
        account.expire(now_ms - quota.window_ms)
        others = fleet.demands.get(customer) or Demand(customer, 0.0, 0.0)
        limit = quota.limit * _heard_share(fleet)
        young = self.startup_share(quota.window_ms, now_ms) + fleet.startup_share
        before = young * limit / max(1, fleet.reporting_count)
        before *= 1.0 if was_busy else BUSY_SHARE
        account.limit = limit
        room = limit - account.spent - others.spent - before
        if now_ms - account.part_at_ms >= PART_MS:
            account.part = _part(account, room, others.asked_per_s, fleet, now_ms)
            account.part_at_ms = now_ms
            account.spent_since = 0.0
        if account.spent_since + amount <= account.part:
            account.spend(amount, now_ms)
            return None
        return _wait_ms(account, amount - room, quota, now_ms)

    def remaining(self, fleet: FleetSnapshot, now_ms: float) -> dict[str, float]:
        """Return what customers may still spend, as far as this VM knows."""
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
        """Give back what a request spent that will not run."""
        account = self._accounts.get(customer)
        if account is not None:
            account.spend(-amount, now_ms)

    def explain(self, customer: str, now_ms: float) -> dict[str, float]:
        """Return what decided on a customer's last request, for the log."""
        account = self._accounts.get(customer)
        if account is None:
            return {}
        return {
            "spent_here": round(account.spent),
            "part_here": round(account.part),
            "spent_of_part": round(account.spent_since),
            "asked_here_per_s": round(account.asked.at(now_ms)),
        }

    def demands(self, now_ms: float) -> tuple[Demand, ...]:
        """Return this VM's demand by customer, for the other VMs."""
        for account in self._accounts.values():
            account.expire(now_ms - self._window_ms)
            account.told_per_s = account.asked.at(now_ms)
        return tuple(
            Demand(customer, account.told_per_s, account.spent)
            for customer, account in self._accounts.items()
        )

    def startup_share(self, window_ms: float, now_ms: float) -> float:
        """Return the share of a window that lies before the start of the process.

        What the process before it spent is not known, so this share of the VM's
        part counts as spent.
        """
        return max(0.0, 1 - (now_ms - self._started_ms) / window_ms)


def _spent(customer: str, account: _Account, fleet: FleetSnapshot) -> float:
    """Return what a customer spent in the window, here and on the other VMs."""
    others = fleet.demands.get(customer)
    return account.spent + (others.spent if others is not None else 0.0)


def _heard_share(fleet: FleetSnapshot) -> float:
    """Return the part of a quota that falls to the VMs that hear each other."""
    return min(1.0, fleet.reporting_count / max(1, fleet.vm_count))


def _part(
    account: _Account,
    room: float,
    others_per_s: float,
    fleet: FleetSnapshot,
    now_ms: float,
) -> float:
    """Return how much of what is left this VM may spend before more news."""
    if fleet.vm_count <= 1:
        return room
    if fleet.domain_count:
        own_per_s = account.asked.at(now_ms)
        by_demand = room * own_per_s / (own_per_s + others_per_s)
        reserved = min(room / 2, others_per_s * RESERVED_MS / 1000)
        return max(by_demand, room - reserved) / max(DOMAINS_MIN, fleet.domain_count)
    asked_per_s = account.told_per_s + others_per_s
    by_demand = account.told_per_s / asked_per_s if asked_per_s else 0.0
    by_head = fleet.represented_count / max(1, fleet.reporting_count)
    share = (1 - HEADS_SHARE) * by_demand + HEADS_SHARE * by_head
    return room * share / DOMAINS_MIN


def _wait_ms(account: _Account, missing: float, quota: Quota, now_ms: float) -> float:
    """Return the time until enough of what was spent here is out of the window."""
    for at_ms, amount in account.spends:
        missing -= amount
        if missing <= 0:
            return max(WAIT_MS_MIN, at_ms + quota.window_ms - now_ms)
    return quota.window_ms
