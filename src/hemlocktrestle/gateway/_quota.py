"""Quotas of customers, shared by all VMs without a count in the store."""

from typing import NamedTuple

DEMAND_WINDOW_MS = 1_500.0
"""Time over which a customer's demand is averaged, in milliseconds."""

BURST_SHARE = 0.5
"""Share of a customer's burst that the buckets of all VMs hold together."""


class Demand(NamedTuple):
    """What a customer asks for on some VMs, a second."""

    customer: str
    per_s: float


class Fleet(NamedTuple):
    """What a VM knows of the others when it sizes its share.

    Args:
        vm_count: VMs that may serve.
        heard_count: VMs whose demand is known, this one included.
        demands: demand of the VMs that were heard, without this one, by customer.
    """

    vm_count: int
    heard_count: int
    demands: dict[str, float]


def share_per_s(
    rate_per_s: float, own_per_s: float, others_per_s: float, fleet: Fleet
) -> float:
    """Return the share of a quota that one VM may spend, a second.

    The VMs that hear each other divide the part of the quota that falls to them by
    head; each gets its own demand and an equal part of the rest, or a proportional
    part if the demand is larger.  VMs that are not heard keep their part by head,
    so that the sum holds whoever is cut off.
    """
    heard_count = max(1, fleet.heard_count)
    total_count = max(fleet.vm_count, heard_count)
    divided = rate_per_s * heard_count / total_count
    demand = own_per_s + others_per_s
    if demand <= divided:
        return own_per_s + (divided - demand) / heard_count
    return divided * own_per_s / demand


class _Bucket:
    __slots__ = ("demand_at_ms", "demand_per_s", "level", "refilled_ms")

    def __init__(self, now_ms: float) -> None:
        # A bucket starts empty: the process before may have spent its share.
        self.level = 0.0
        self.refilled_ms = now_ms
        self.demand_per_s = 0.0
        self.demand_at_ms = now_ms


class QuotaBook:
    """This VM's share of each customer's quota, as token buckets."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def admit(
        self,
        customer: str,
        *,
        rate_per_s: float,
        burst: float,
        amount: float,
        fleet: Fleet,
        now_ms: float,
    ) -> float | None:
        """Spend from a customer's share.

        Args:
            customer: the customer's name.
            rate_per_s: the customer's quota a second, over all VMs.
            burst: what may come at once beyond the rate, over all VMs.
            amount: what the request counts.
            fleet: what is known of the other VMs.
            now_ms: time of the process in milliseconds.

        Returns:
            ``None`` if the request is within the quota, else the time in
            milliseconds until it would be.
        """
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = self._buckets[customer] = _Bucket(now_ms)
        self._note_demand(bucket, amount, now_ms)
        others_per_s = fleet.demands.get(customer, 0.0)
        own_per_s = bucket.demand_per_s
        share = share_per_s(rate_per_s, own_per_s, others_per_s, fleet)
        part = share / rate_per_s if rate_per_s else 0.0
        cap = max(burst * BURST_SHARE * part, share * 0.5)
        passed_s = max(0.0, now_ms - bucket.refilled_ms) / 1000
        bucket.refilled_ms = now_ms
        bucket.level = min(cap, bucket.level + share * passed_s)
        # A request larger than the bucket would never pass; it leaves a debt.
        if bucket.level >= min(amount, cap * 0.5):
            bucket.level -= amount
            return None
        missing = min(amount, cap * 0.5) - bucket.level
        return missing / share * 1000 if share > 0 else 1000.0

    def refund(self, customer: str, amount: float) -> None:
        """Give back what a request spent that never reached a replica."""
        bucket = self._buckets.get(customer)
        if bucket is not None:
            bucket.level += amount

    def demands(self, now_ms: float) -> tuple[Demand, ...]:
        """Return this VM's demand by customer, for the other VMs."""
        for bucket in self._buckets.values():
            self._note_demand(bucket, 0.0, now_ms)
        return tuple(
            Demand(customer, bucket.demand_per_s)
            for customer, bucket in self._buckets.items()
        )

    def _note_demand(self, bucket: _Bucket, amount: float, now_ms: float) -> None:
        passed_ms = max(0.0, now_ms - bucket.demand_at_ms)
        bucket.demand_at_ms = now_ms
        keep = max(0.0, 1.0 - passed_ms / DEMAND_WINDOW_MS)
        bucket.demand_per_s = bucket.demand_per_s * keep
        bucket.demand_per_s += amount * 1000 / DEMAND_WINDOW_MS
