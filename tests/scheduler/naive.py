"""A reference scheduler that sorts a list, and a scheduler checked against it."""

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
    """A constant bound of two slots."""

    slots = SLOTS

    def learn(self, observation: object) -> None:
        """Do nothing: the bound is constant."""

    def record_timeout(self, now_ms: float) -> None:
        """Do nothing: the bound is constant."""


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
    """A permit request in the reference scheduler's list."""

    ask: Ask
    vm: str
    number: int
    arrived_ms: float
    deadline_ms: float

    @property
    def customer_key(self) -> tuple[int, str]:
        """Tier and customer."""
        return (self.ask.tier, self.ask.customer)

    @property
    def sort_key(self) -> float:
        """Its sort key among its customer's requests."""
        return self.arrived_ms + self.ask.prompt_tokens + self.ask.output_tokens

    @property
    def cost(self) -> int:
        """The virtual time that it costs its customer."""
        tokens = self.ask.prompt_tokens + self.ask.output_tokens + 1
        return max(1, int(tokens * 1_000 / self.ask.weight))


class NaiveScheduler:
    """The scheduler's rules, by sorting all requests at each step."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.in_flight: dict[str, dict[str, str]] = {}
        self.upstreams: set[str] = set()
        self.virtual_times: dict[tuple[int, str], int] = {}
        self.tier_virtual_times: dict[int, int] = {}
        self.count = 0

    def set_upstreams(self, names: Iterable[str]) -> list[tuple[str, str]]:
        """Return refusals and grants after a change of upstreams."""
        self.upstreams = set(names)
        for name in self.upstreams:
            self.in_flight.setdefault(name, {})
        gone = [item for item in self.items if self.upstreams <= set(item.ask.excluded)]
        return self._refuse(gone, ErrorKind.NO_UPSTREAM) + self._grant()

    def enqueue(self, vm: str, ask: Ask, now_ms: float) -> list[tuple[str, str]]:
        """Return grants and sheds after a permit request."""
        self._remove([item for item in self.items if item.ask.ask_id == ask.ask_id])
        if self.upstreams <= set(ask.excluded):
            return [(ask.ask_id, ErrorKind.NO_UPSTREAM.value)]
        self.count += 1
        item = Item(ask, vm, self.count, now_ms, now_ms + ask.deadline_ms)
        if all(other.customer_key != item.customer_key for other in self.items):
            self.virtual_times[item.customer_key] = max(
                self.virtual_times.get(item.customer_key, 0),
                self.tier_virtual_times.get(ask.tier, 0),
            )
        self.items.append(item)
        events = self._grant()
        while len(self.items) > QUEUED_MAX:
            events += self._refuse([self._shed_first()], ErrorKind.SHED)
        return events

    def finish(self, ask_id: str) -> list[tuple[str, str]]:
        """Return grants after a withdrawal or a release."""
        for held in self.in_flight.values():
            held.pop(ask_id, None)
        return self._grant()

    def withdraw(self, ask_id: str) -> list[tuple[str, str]]:
        """Return grants after a withdrawal."""
        self._remove([item for item in self.items if item.ask.ask_id == ask_id])
        return self.finish(ask_id)

    def on_requester_disconnected(self, vm: str) -> list[tuple[str, str]]:
        """Return grants after the connection to a requesting VM was lost."""
        self._remove([item for item in self.items if item.vm == vm])
        for name, held in self.in_flight.items():
            self.in_flight[name] = {
                ask_id: requester
                for ask_id, requester in held.items()
                if requester != vm
            }
        return self._grant()

    def tick(self, now_ms: float) -> list[tuple[str, str]]:
        """Return refusals and grants after some time."""
        late = [item for item in self.items if item.deadline_ms <= now_ms]
        return self._refuse(late, ErrorKind.DEADLINE_IN_QUEUE) + self._grant()

    def return_queued(self, before_ms: float) -> list[tuple[str, str]]:
        """Return refusals of what was queued before a time."""
        gone = [item for item in self.items if item.arrived_ms < before_ms]
        return self._refuse(gone, ErrorKind.SCHEDULER_GONE)

    def queued_ids(self) -> set[str]:
        """Return the ids of the queued requests."""
        return {item.ask.ask_id for item in self.items}

    def _free(self) -> list[str]:
        free = [name for name in self.upstreams if len(self.in_flight[name]) < SLOTS]
        return sorted(free, key=lambda name: (len(self.in_flight[name]), name))

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
                    self.virtual_times[item.customer_key],
                    item.sort_key,
                    item.number,
                ),
            )
            name = next(name for name in free if name not in item.ask.excluded)
            tier = item.ask.tier
            before = self.virtual_times[item.customer_key]
            self.tier_virtual_times[tier] = max(
                self.tier_virtual_times.get(tier, 0), before
            )
            self.virtual_times[item.customer_key] = before + item.cost
            self.in_flight[name][item.ask.ask_id] = item.vm
            self._remove([item])
            events.append((item.ask.ask_id, name))

    def _shed_first(self) -> Item:
        """Return the newest request of the most served customer, lowest tier first."""

        def key(item: Item) -> tuple[int, int, int]:
            lane = [
                other for other in self.items if other.customer_key == item.customer_key
            ]
            share = self.virtual_times[item.customer_key] + sum(
                other.cost for other in lane
            )
            return (item.ask.tier, share, item.number)

        return max(self.items, key=key)

    def _refuse(self, items: list[Item], kind: ErrorKind) -> list[tuple[str, str]]:
        self._remove(items)
        return [(item.ask.ask_id, kind.value) for item in items]

    def _remove(self, items: list[Item]) -> None:
        self.items = [item for item in self.items if item not in items]
        self._forget_idle_tiers()

    def _forget_idle_tiers(self) -> None:
        """Forget what was served in tiers without queued requests."""
        tiers = {item.ask.tier for item in self.items}
        for tier in set(self.tier_virtual_times) - tiers:
            del self.tier_virtual_times[tier]
        for lane in [lane for lane in self.virtual_times if lane[0] not in tiers]:
            del self.virtual_times[lane]


class CheckedScheduler(PoolScheduler):
    """A scheduler that compares its messages and queue with the reference's.

    It compares at each step, and also checks that nothing is shed while a request
    of a lower tier is queued.
    """

    def __init__(self, pool: str, *, policy: PoolPolicy = TEST_POLICY) -> None:
        super().__init__(pool, policy=policy)
        self.naive = NaiveScheduler()
        self.shed: list[str] = []
        self._tiers: dict[str, int] = {}

    def set_upstreams(
        self, records: Iterable[UpstreamRecord], now_ms: float
    ) -> list[Outgoing]:
        """Change the upstreams, compared with the reference."""
        records = list(records)
        sent = super().set_upstreams(records, now_ms)
        return self._check(sent, self.naive.set_upstreams(r.name for r in records))

    def enqueue(self, vm: str, ask: Ask, now_ms: float) -> list[Outgoing]:
        """Queue a request, compared with the reference."""
        self._tiers[ask.ask_id] = ask.tier
        sent = super().enqueue(vm, ask, now_ms)
        return self._check(sent, self.naive.enqueue(vm, ask, now_ms))

    def withdraw(self, withdraw: Withdraw, now_ms: float) -> list[Outgoing]:
        """Withdraw a request, compared with the reference."""
        sent = super().withdraw(withdraw, now_ms)
        return self._check(sent, self.naive.withdraw(withdraw.ask_id))

    def release(self, release: Release, now_ms: float) -> list[Outgoing]:
        """Release a permit, compared with the reference."""
        sent = super().release(release, now_ms)
        return self._check(sent, self.naive.finish(release.ask_id))

    def record_running(self, vm: str, running: Running, now_ms: float) -> None:
        """Count a running request in both schedulers."""
        super().record_running(vm, running, now_ms)
        if running.upstream in self.naive.in_flight:
            self.naive.in_flight[running.upstream][running.ask_id] = vm

    def on_requester_disconnected(self, vm: str, now_ms: float) -> list[Outgoing]:
        """Lose a requesting VM, compared with the reference."""
        sent = super().on_requester_disconnected(vm, now_ms)
        return self._check(sent, self.naive.on_requester_disconnected(vm))

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Advance the time, compared with the reference."""
        sent = super().tick(now_ms)
        return self._check(sent, self.naive.tick(now_ms))

    def return_queued(self, before_ms: float) -> list[Outgoing]:
        """Refuse older requests, compared with the reference."""
        sent = super().return_queued(before_ms)
        return self._check(sent, self.naive.return_queued(before_ms))

    def _check(
        self, sent: list[Outgoing], expected: list[tuple[str, str]]
    ) -> list[Outgoing]:
        events = [_event(item) for item in sent]
        if sorted(events) != sorted(expected):
            raise AssertionError(f"sent {events}, naive {expected}")
        granted = [event for event in events if event[1] in self.naive.in_flight]
        if granted != [event for event in expected if event[1] in self.naive.in_flight]:
            raise AssertionError(f"order {granted}, naive {expected}")
        kept = {waiting.ask.ask_id: waiting.ask.tier for waiting in self.queued_asks()}
        if set(kept) != self.naive.queued_ids():
            raise AssertionError(f"kept {kept}, naive {self.naive.queued_ids()}")
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
