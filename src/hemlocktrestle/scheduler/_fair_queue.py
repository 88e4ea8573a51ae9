"""A queue with strict tiers and weighted fair sharing by customer in each tier."""

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._queue import (
    AskClass,
    IsOpen,
    QueuedAsk,
    _IndexedQueue,
    class_of,
    queue,
)
from hemlocktrestle.wire import Ask

VIRTUAL_TIME_PER_TOKEN = 1_000
"""Virtual time that a token costs a customer of weight 1.

Large, so that costs can be integers, which accumulate no rounding errors.
"""

DELAY_MS_PER_TOKEN = 5.0
"""Delay in the order of service for each token of a request, in milliseconds."""

WEIGHT_MIN = 0.001
"""Least weight that counts, so that a malformed ``Ask`` cannot divide by zero."""


def cost_of(ask: Ask) -> int:
    """Return the virtual time that serving a request costs its customer."""
    tokens = ask.prompt_tokens + ask.output_tokens + 1
    return max(1, int(tokens * VIRTUAL_TIME_PER_TOKEN / max(ask.weight, WEIGHT_MIN)))


def sort_key_of(waiting: QueuedAsk) -> float:
    """Return the sort key among a customer's requests: arrival, later if long."""
    ask = waiting.ask
    return (
        waiting.arrived_ms
        + (ask.prompt_tokens + ask.output_tokens) * DELAY_MS_PER_TOKEN
    )


_Position = tuple[float, int, str]
"""Sort key, number and id of a request."""


class _CustomerQueue:
    """The requests of one customer in one tier, short and old ones first.

    ``virtual_time`` is that of fair queueing: the cost of what it was served.
    ``queued_cost`` is the cost of its queued requests.
    """

    __slots__ = (
        "by_class",
        "count",
        "newest",
        "queued_cost",
        "version",
        "virtual_time",
    )

    def __init__(self, newest: LazyHeap[tuple[int, str]]) -> None:
        self.virtual_time = 0
        self.queued_cost = 0
        self.count = 0
        self.version = 0
        self.newest = newest
        self.by_class: dict[AskClass, LazyHeap[_Position]] = {}


class _Tier:
    """The customers with requests in one tier."""

    __slots__ = ("count", "customers", "virtual_time")

    def __init__(self) -> None:
        self.virtual_time = 0
        self.count = 0
        self.customers: dict[str, _CustomerQueue] = {}


_ServiceEntry = tuple[int, int, float, int, str]
"""Tier, the customer's virtual time; sort key, number and id of the request."""

_ShedEntry = tuple[int, int, int, str, int]
"""Tier and virtual time once all is served, both negated; number, customer, version."""


@queue("tiered_fair")
class TieredFairQueue(_IndexedQueue):
    """Tiers in strict order; within a tier, customers share by weight.

    Among a customer's requests, a long one is delayed behind short ones that arrive
    soon after it, for a time in proportion to its length.
    The customer with the least virtual time is served next and is charged on
    service, so a request that was shed or withdrawn costs nothing.
    The first to shed is, in the lowest tier, the newest request of the customer
    that would have the most virtual time if all were served.
    """

    def __init__(self) -> None:
        super().__init__()
        self._version = 0
        self._tiers: dict[int, _Tier] = {}
        self._service_order: dict[AskClass, LazyHeap[_ServiceEntry]] = {}
        self._shed_order: LazyHeap[_ShedEntry] = LazyHeap(self._is_shed_entry_current)

    def push(self, waiting: QueuedAsk) -> None:
        """Add a request; one with the same id is replaced."""
        ask = waiting.ask
        self.remove(ask.ask_id)
        number = self._number(waiting)
        tier = self._tiers.setdefault(ask.tier, _Tier())
        customer_queue = tier.customers.get(ask.customer)
        if customer_queue is None:
            customer_queue = _CustomerQueue(
                LazyHeap(lambda e: self._is_current(e[1], -e[0]))
            )
            tier.customers[ask.customer] = customer_queue
        if not customer_queue.count:
            customer_queue.virtual_time = max(
                customer_queue.virtual_time, tier.virtual_time
            )
        ask_class = class_of(ask)
        if ask_class not in customer_queue.by_class:
            customer_queue.by_class[ask_class] = LazyHeap(
                lambda entry: self._is_current(entry[2], entry[1])
            )
        customer_queue.by_class[ask_class].push(
            (sort_key_of(waiting), number, ask.ask_id)
        )
        customer_queue.newest.push((-number, ask.ask_id))
        customer_queue.count += 1
        tier.count += 1
        customer_queue.queued_cost += cost_of(ask)
        self._add_to_service_order(ask, customer_queue, ask_class)
        self._add_to_shed_order(ask, customer_queue)

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first request that an upstream has room for, or ``None``."""
        best: _ServiceEntry | None = None
        for ask_class, heap in list(self._service_order.items()):
            entry = heap.peek()
            if entry is None:
                del self._service_order[ask_class]
            elif is_open(ask_class, entry[0]) and (best is None or entry < best):
                best = entry
        return self.get(best[4]) if best is not None else None

    def serve(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is served, and charge its customer."""
        waiting = self.get(ask_id)
        if waiting is None:
            return None
        ask = waiting.ask
        tier = self._tiers[ask.tier]
        customer_queue = tier.customers[ask.customer]
        tier.virtual_time = max(tier.virtual_time, customer_queue.virtual_time)
        customer_queue.virtual_time += cost_of(ask)
        self._remove_queued(waiting, tier, customer_queue)
        for ask_class in list(customer_queue.by_class):
            self._add_to_service_order(ask, customer_queue, ask_class)
        return waiting

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Remove a request that is not served; ``None`` if it is not queued."""
        waiting = self.get(ask_id)
        if waiting is None:
            return None
        tier = self._tiers[waiting.ask.tier]
        customer_queue = tier.customers[waiting.ask.customer]
        self._remove_queued(waiting, tier, customer_queue)
        self._add_to_service_order(waiting.ask, customer_queue, class_of(waiting.ask))
        return waiting

    def next_to_shed(self) -> QueuedAsk | None:
        """Return the request to shed first, or ``None``."""
        entry = self._shed_order.peek()
        if entry is None:
            return None
        newest = self._tiers[-entry[0]].customers[entry[3]].newest.peek()
        return self.get(newest[1]) if newest is not None else None

    def _remove_queued(
        self, waiting: QueuedAsk, tier: _Tier, customer_queue: _CustomerQueue
    ) -> None:
        ask = waiting.ask
        del self._by_id[ask.ask_id]
        customer_queue.count -= 1
        tier.count -= 1
        customer_queue.queued_cost -= cost_of(ask)
        if not tier.count:
            # With an empty tier, no customer is behind another: start afresh.
            del self._tiers[ask.tier]
        elif (
            not customer_queue.count
            and customer_queue.virtual_time <= tier.virtual_time
        ):
            del tier.customers[ask.customer]
        self._add_to_shed_order(ask, customer_queue)

    def _add_to_service_order(
        self, ask: Ask, customer_queue: _CustomerQueue, ask_class: AskClass
    ) -> None:
        """Add a customer's first request of one class to the order of service."""
        first = customer_queue.by_class[ask_class].peek()
        if first is None:
            del customer_queue.by_class[ask_class]
            return
        heap = self._service_order.get(ask_class)
        if heap is None:
            heap = LazyHeap(self._is_service_entry_current)
            self._service_order[ask_class] = heap
        heap.push((ask.tier, customer_queue.virtual_time, *first))

    def _add_to_shed_order(self, ask: Ask, customer_queue: _CustomerQueue) -> None:
        """Add a customer to the order of shedding."""
        self._version += 1
        customer_queue.version = self._version
        newest = customer_queue.newest.peek()
        if newest is None:
            return
        share = customer_queue.virtual_time + customer_queue.queued_cost
        entry = (-ask.tier, -share, newest[0], ask.customer, customer_queue.version)
        self._shed_order.push(entry)

    def _is_service_entry_current(self, entry: _ServiceEntry) -> bool:
        tier, share, _, number, ask_id = entry
        if not self._is_current(ask_id, number):
            return False
        customer = self._by_id[ask_id].queued.ask.customer
        return self._tiers[tier].customers[customer].virtual_time == share

    def _is_shed_entry_current(self, entry: _ShedEntry) -> bool:
        tier = self._tiers.get(-entry[0])
        customer_queue = tier.customers.get(entry[3]) if tier is not None else None
        return (
            customer_queue is not None
            and customer_queue.count > 0
            and customer_queue.version == entry[4]
        )
