"""A naive keeper, a sorted list, and a keeper that is checked against it."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.scheduler import (
    Outgoing,
    PoolPolicy,
    PoolScheduler,
    slot_bound,
)
from hemlocktrestle.wire import Ask, Permit, Refusal, Release, Running, Withdraw

SLOTS = 2
QUEUED_MAX = 4


@slot_bound("two")
class TwoSlots:
    """Two slots for ever."""

    slots = SLOTS

    def learn(self, observation: object) -> None:
        """Learn nothing."""

    def record_timeout(self, now_ms: float) -> None:
        """Learn nothing."""


TEST_POLICY = PoolPolicy(
    chooser="least_outstanding",
    slot_bound="two",
    tier_shares=(1.0,),
    prefill_share=1.0,
    early_refusal="none",
    queued_count_max=QUEUED_MAX,
    detects_stragglers=False,
)


def upstream(name: str, *, zone: str = "a") -> UpstreamRecord:
    """Return a record of an engine."""
    return UpstreamRecord(
        name, zone, "region", name, "engine", ("assistant",), "g1", False
    )


class Item(NamedTuple):
    """An ask in the naive list."""

    ask: Ask
    vm: str
    number: int
    arrived_ms: float
    deadline_ms: float

    @property
    def lane(self) -> tuple[int, str]:
        """Tier and customer."""
        return (self.ask.tier, self.ask.customer)

    @property
    def order(self) -> float:
        """Its place among its customer's asks."""
        return self.arrived_ms + self.ask.prompt_tokens + self.ask.output_tokens

    @property
    def share(self) -> int:
        """What it costs its customer."""
        tokens = self.ask.prompt_tokens + self.ask.output_tokens + 1
        return max(1, int(tokens * 1_000 / self.ask.weight))


class NaiveScheduler:
    """The keeper's rules, by sorting everything at each step."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.in_hand: dict[str, dict[str, str]] = {}
        self.open: set[str] = set()
        self.served: dict[tuple[int, str], int] = {}
        self.tier_served: dict[int, int] = {}
        self.count = 0

    def set_upstreams(self, names: Iterable[str]) -> list[tuple[str, str]]:
        """Return refusals and grants after a change of upstreams."""
        self.open = set(names)
        for name in self.open:
            self.in_hand.setdefault(name, {})
        gone = [item for item in self.items if self.open <= set(item.ask.excluded)]
        return self._refuse(gone, ErrorKind.NO_UPSTREAM) + self._grant()

    def ask(self, vm: str, ask: Ask, now_ms: float) -> list[tuple[str, str]]:
        """Return grants and sheds after an ask."""
        self._remove([item for item in self.items if item.ask.ask_id == ask.ask_id])
        if self.open <= set(ask.excluded):
            return [(ask.ask_id, ErrorKind.NO_UPSTREAM.value)]
        self.count += 1
        item = Item(ask, vm, self.count, now_ms, now_ms + ask.deadline_ms)
        if all(other.lane != item.lane for other in self.items):
            self.served[item.lane] = max(
                self.served.get(item.lane, 0), self.tier_served.get(ask.tier, 0)
            )
        self.items.append(item)
        events = self._grant()
        while len(self.items) > QUEUED_MAX:
            events += self._refuse([self._shed_first()], ErrorKind.SHED)
        return events

    def give_back(self, ask_id: str) -> list[tuple[str, str]]:
        """Return grants after a withdrawal or a release."""
        for held in self.in_hand.values():
            held.pop(ask_id, None)
        return self._grant()

    def withdraw(self, ask_id: str) -> list[tuple[str, str]]:
        """Return grants after a withdrawal."""
        self._remove([item for item in self.items if item.ask.ask_id == ask_id])
        return self.give_back(ask_id)

    def requester_lost(self, vm: str) -> list[tuple[str, str]]:
        """Return grants after the loss of a holder."""
        self._remove([item for item in self.items if item.vm == vm])
        for name, held in self.in_hand.items():
            self.in_hand[name] = {
                ask_id: requester
                for ask_id, requester in held.items()
                if requester != vm
            }
        return self._grant()

    def tick(self, now_ms: float) -> list[tuple[str, str]]:
        """Return refusals and grants after some time."""
        late = [item for item in self.items if item.deadline_ms <= now_ms]
        return self._refuse(late, ErrorKind.DEADLINE_IN_QUEUE) + self._grant()

    def hand_back(self, before_ms: float) -> list[tuple[str, str]]:
        """Return refusals of what came before a time."""
        gone = [item for item in self.items if item.arrived_ms < before_ms]
        return self._refuse(gone, ErrorKind.SCHEDULER_GONE)

    def kept(self) -> set[str]:
        """Return the ids of the asks that wait."""
        return {item.ask.ask_id for item in self.items}

    def _free(self) -> list[str]:
        free = [name for name in self.open if len(self.in_hand[name]) < SLOTS]
        return sorted(free, key=lambda name: (len(self.in_hand[name]), name))

    def _grant(self) -> list[tuple[str, str]]:
        events: list[tuple[str, str]] = []
        while True:
            free = self._free()
            ready = [item for item in self.items if set(free) - set(item.ask.excluded)]
            if not ready:
                return events
            item = min(
                ready,
                key=lambda item: (
                    item.ask.tier,
                    self.served[item.lane],
                    item.order,
                    item.number,
                ),
            )
            name = next(name for name in free if name not in item.ask.excluded)
            tier = item.ask.tier
            before = self.served[item.lane]
            self.tier_served[tier] = max(self.tier_served.get(tier, 0), before)
            self.served[item.lane] = before + item.share
            self.in_hand[name][item.ask.ask_id] = item.vm
            self._remove([item])
            events.append((item.ask.ask_id, name))

    def _shed_first(self) -> Item:
        """Return the newest ask of the customer furthest ahead, lowest tier first."""

        def key(item: Item) -> tuple[int, int, int]:
            lane = [other for other in self.items if other.lane == item.lane]
            share = self.served[item.lane] + sum(other.share for other in lane)
            return (item.ask.tier, share, item.number)

        return max(self.items, key=key)

    def _refuse(self, items: list[Item], kind: ErrorKind) -> list[tuple[str, str]]:
        self._remove(items)
        return [(item.ask.ask_id, kind.value) for item in items]

    def _remove(self, items: list[Item]) -> None:
        self.items = [item for item in self.items if item not in items]
        self._settle()

    def _settle(self) -> None:
        """Forget what was served in tiers in which nobody waits."""
        tiers = {item.ask.tier for item in self.items}
        for tier in set(self.tier_served) - tiers:
            del self.tier_served[tier]
        for lane in [lane for lane in self.served if lane[0] not in tiers]:
            del self.served[lane]


class CheckedScheduler(PoolScheduler):
    """A keeper that compares what it sends and keeps with the naive one's.

    It checks at each step, and also that nothing is shed while anything of a lower
    tier is kept.
    """

    def __init__(self, pool: str, *, policy: PoolPolicy = TEST_POLICY) -> None:
        super().__init__(pool, policy=policy)
        self.naive = NaiveScheduler()
        self.shed: list[str] = []
        self._tiers: dict[str, int] = {}

    def set_upstreams(
        self, records: Iterable[UpstreamRecord], now_ms: float
    ) -> list[Outgoing]:
        """Change upstreams, checked."""
        records = list(records)
        sent = super().set_upstreams(records, now_ms)
        return self._check(sent, self.naive.set_upstreams(r.name for r in records))

    def enqueue(self, vm: str, ask: Ask, now_ms: float) -> list[Outgoing]:
        """Ask, checked."""
        self._tiers[ask.ask_id] = ask.tier
        sent = super().enqueue(vm, ask, now_ms)
        return self._check(sent, self.naive.ask(vm, ask, now_ms))

    def withdraw(self, withdraw: Withdraw, now_ms: float) -> list[Outgoing]:
        """Withdraw, checked."""
        sent = super().withdraw(withdraw, now_ms)
        return self._check(sent, self.naive.withdraw(withdraw.ask_id))

    def release(self, release: Release, now_ms: float) -> list[Outgoing]:
        """Release, checked."""
        sent = super().release(release, now_ms)
        return self._check(sent, self.naive.give_back(release.ask_id))

    def record_running(self, vm: str, running: Running, now_ms: float) -> None:
        """Count what runs, in both."""
        super().record_running(vm, running, now_ms)
        if running.upstream in self.naive.in_hand:
            self.naive.in_hand[running.upstream][running.ask_id] = vm

    def on_requester_disconnected(self, vm: str, now_ms: float) -> list[Outgoing]:
        """Lose a holder, checked."""
        sent = super().on_requester_disconnected(vm, now_ms)
        return self._check(sent, self.naive.requester_lost(vm))

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Let time pass, checked."""
        sent = super().tick(now_ms)
        return self._check(sent, self.naive.tick(now_ms))

    def hand_back(self, before_ms: float) -> list[Outgoing]:
        """Hand asks back, checked."""
        sent = super().hand_back(before_ms)
        return self._check(sent, self.naive.hand_back(before_ms))

    def _check(
        self, sent: list[Outgoing], expected: list[tuple[str, str]]
    ) -> list[Outgoing]:
        events = [_event(item) for item in sent]
        if sorted(events) != sorted(expected):
            raise AssertionError(f"sent {events}, naive {expected}")
        granted = [event for event in events if event[1] in self.naive.in_hand]
        if granted != [event for event in expected if event[1] in self.naive.in_hand]:
            raise AssertionError(f"order {granted}, naive {expected}")
        kept = {waiting.ask.ask_id: waiting.ask.tier for waiting in self.queued_asks()}
        if set(kept) != self.naive.kept():
            raise AssertionError(f"kept {kept}, naive {self.naive.kept()}")
        shed = [ask_id for ask_id, kind in events if kind == ErrorKind.SHED.value]
        for ask_id in shed:
            if any(tier > self._tiers[ask_id] for tier in kept.values()):
                raise AssertionError(f"shed {ask_id} while lower is kept: {kept}")
        self.shed += shed
        return sent


def _event(item: Outgoing) -> tuple[str, str]:
    message = item.message
    if isinstance(message, Permit):
        return (message.ask_id, message.upstream)
    assert isinstance(message, Refusal)
    return (message.ask_id, message.kind)
