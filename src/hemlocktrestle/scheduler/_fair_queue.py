"""The queue of strict tiers, shared within each tier by customer."""

from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._queue import (
    AskClass,
    IsOpen,
    QueuedAsk,
    _Present,
    class_of,
    queue,
)
from hemlocktrestle.wire import Ask

SHARES_PER_TOKEN = 1_000
"""Shares that a token costs a customer of weight 1; whole numbers do not drift."""

MS_PER_TOKEN = 5.0
"""Time by which each of its tokens sets an ask back, in milliseconds."""

WEIGHT_MIN = 0.001
"""Least weight that counts, so that a broken ask cannot divide by zero."""


def share_of(ask: Ask) -> int:
    """Return what an ask costs its customer, in shares."""
    tokens = ask.prompt_tokens + ask.output_tokens + 1
    return max(1, int(tokens * SHARES_PER_TOKEN / max(ask.weight, WEIGHT_MIN)))


def order_of(waiting: QueuedAsk) -> float:
    """Return an ask's place among its customer's: arrival, later if it is long."""
    ask = waiting.ask
    return waiting.arrived_ms + (ask.prompt_tokens + ask.output_tokens) * MS_PER_TOKEN


_Place = tuple[float, int, str]
"""Order, number and id of an ask."""


class _Lane:
    """The asks of one customer in one tier, short and old ones first.

    ``served_share`` is the customer's virtual time: what it has been served.
    ``waiting_share`` is what its waiting asks will cost.
    """

    __slots__ = (
        "by_class",
        "count",
        "newest",
        "served_share",
        "version",
        "waiting_share",
    )

    def __init__(self, newest: LazyHeap[tuple[int, str]]) -> None:
        self.served_share = 0
        self.waiting_share = 0
        self.count = 0
        self.version = 0
        self.newest = newest
        self.by_class: dict[AskClass, LazyHeap[_Place]] = {}


class _Tier:
    """The customers with asks in one tier."""

    __slots__ = ("count", "lanes", "served_share")

    def __init__(self) -> None:
        self.served_share = 0
        self.count = 0
        self.lanes: dict[str, _Lane] = {}


_Next = tuple[int, int, float, int, str]
"""Tier, the customer's served share, and the place of the ask."""

_Last = tuple[int, int, int, str, int]
"""Tier and share when all is served, both negated; number, customer, version."""


@queue("tiered_fair")
class TieredFairQueue(_Present):
    """Tiers in strict order; within a tier, customers share by weight.

    A customer's long asks stand back behind short ones that come soon after them,
    for a time in proportion to their length.  The customer that was served least
    goes next and is charged as it is served, so an ask that was shed or withdrawn
    costs nothing.  Shed first, in the lowest tier, is the newest ask of
    the customer that would have been served most if all were served.
    """

    def __init__(self) -> None:
        super().__init__()
        self._version = 0
        self._tiers: dict[int, _Tier] = {}
        self._next: dict[AskClass, LazyHeap[_Next]] = {}
        self._last: LazyHeap[_Last] = LazyHeap(self._last_holds)

    def push(self, waiting: QueuedAsk) -> None:
        """Add an ask; one with the same id is replaced."""
        ask = waiting.ask
        self.remove(ask.ask_id)
        number = self._number(waiting)
        tier = self._tiers.setdefault(ask.tier, _Tier())
        lane = tier.lanes.get(ask.customer)
        if lane is None:
            lane = _Lane(LazyHeap(lambda e: self._is_present(e[1], -e[0])))
            tier.lanes[ask.customer] = lane
        if not lane.count:
            lane.served_share = max(lane.served_share, tier.served_share)
        ask_class = class_of(ask)
        if ask_class not in lane.by_class:
            lane.by_class[ask_class] = LazyHeap(
                lambda place: self._is_present(place[2], place[1])
            )
        lane.by_class[ask_class].push((order_of(waiting), number, ask.ask_id))
        lane.newest.push((-number, ask.ask_id))
        lane.count += 1
        tier.count += 1
        lane.waiting_share += share_of(ask)
        self._offer(ask, lane, ask_class)
        self._offer_last(ask, lane)

    def peek(self, is_open: IsOpen) -> QueuedAsk | None:
        """Return the first ask that an upstream has room for, or ``None``."""
        best: _Next | None = None
        for ask_class, heap in list(self._next.items()):
            entry = heap.peek()
            if entry is None:
                del self._next[ask_class]
            elif is_open(ask_class, entry[0]) and (best is None or entry < best):
                best = entry
        return self.get(best[4]) if best is not None else None

    def take(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is served, and charge its customer."""
        waiting = self.get(ask_id)
        if waiting is None:
            return None
        ask = waiting.ask
        tier = self._tiers[ask.tier]
        lane = tier.lanes[ask.customer]
        tier.served_share = max(tier.served_share, lane.served_share)
        lane.served_share += share_of(ask)
        self._drop(waiting, tier, lane)
        for ask_class in list(lane.by_class):
            self._offer(ask, lane, ask_class)
        return waiting

    def remove(self, ask_id: str) -> QueuedAsk | None:
        """Take out an ask that is not served, and return it if it was there."""
        waiting = self.get(ask_id)
        if waiting is None:
            return None
        tier = self._tiers[waiting.ask.tier]
        lane = tier.lanes[waiting.ask.customer]
        self._drop(waiting, tier, lane)
        self._offer(waiting.ask, lane, class_of(waiting.ask))
        return waiting

    def last(self) -> QueuedAsk | None:
        """Return the ask to shed first, or ``None``."""
        entry = self._last.peek()
        if entry is None:
            return None
        newest = self._tiers[-entry[0]].lanes[entry[3]].newest.peek()
        return self.get(newest[1]) if newest is not None else None

    def _drop(self, waiting: QueuedAsk, tier: _Tier, lane: _Lane) -> None:
        ask = waiting.ask
        del self._present[ask.ask_id]
        lane.count -= 1
        tier.count -= 1
        lane.waiting_share -= share_of(ask)
        if not tier.count:
            # Nobody waits, so nobody is owed anything.
            del self._tiers[ask.tier]
        elif not lane.count and lane.served_share <= tier.served_share:
            del tier.lanes[ask.customer]
        self._offer_last(ask, lane)

    def _offer(self, ask: Ask, lane: _Lane, ask_class: AskClass) -> None:
        """Enter a customer's first ask of one class into the order of service."""
        first = lane.by_class[ask_class].peek()
        if first is None:
            del lane.by_class[ask_class]
            return
        heap = self._next.get(ask_class)
        if heap is None:
            heap = LazyHeap(self._next_holds)
            self._next[ask_class] = heap
        heap.push((ask.tier, lane.served_share, *first))

    def _offer_last(self, ask: Ask, lane: _Lane) -> None:
        """Enter a customer into the order of shedding."""
        self._version += 1
        lane.version = self._version
        newest = lane.newest.peek()
        if newest is None:
            return
        share = lane.served_share + lane.waiting_share
        entry = (-ask.tier, -share, newest[0], ask.customer, lane.version)
        self._last.push(entry)

    def _next_holds(self, entry: _Next) -> bool:
        tier, share, _, number, ask_id = entry
        if not self._is_present(ask_id, number):
            return False
        customer = self._present[ask_id].waiting.ask.customer
        return self._tiers[tier].lanes[customer].served_share == share

    def _last_holds(self, entry: _Last) -> bool:
        tier = self._tiers.get(-entry[0])
        lane = tier.lanes.get(entry[3]) if tier is not None else None
        return lane is not None and lane.count > 0 and lane.version == entry[4]
