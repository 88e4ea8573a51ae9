"""Tests of the pool scheduler against a reference, and of its cost per event."""

import math
from typing import Any

from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.scheduler import Outgoing, PoolPolicy, PoolScheduler
from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.wire import (
    Ask,
    Heartbeat,
    Permit,
    Refusal,
    Release,
    Withdraw,
    decode,
    encode,
)
from tests.scheduler.naive import (
    QUEUED_MAX,
    TEST_POLICY,
    CheckedScheduler,
    upstream,
)

SEED = 20
VMS = ("v1", "v2")
UPSTREAMS = ("u1", "u2", "u3")


def ask_of(ask_id: str, *, tier: int = 1, customer: str = "c1", **fields: Any) -> Ask:
    """Return a permit request with ordinary values."""
    values: dict[str, Any] = {
        "weight": 1.0,
        "prompt_tokens": 10,
        "output_tokens": 10,
        "prefix_digest": 0,
        "deadline_ms": 10_000,
        **fields,
    }
    return Ask(ask_id, "assistant", customer, tier, **values)


def release_of(ask_id: str) -> Release:
    """Return a release of a permit that was not used."""
    return Release(ask_id, "assistant", "", False, "", 0, 0, 0, 0)


def granted(sent: list[Outgoing]) -> list[str]:
    """Return the ids of the requests that got a permit."""
    return [item.message.ask_id for item in sent if isinstance(item.message, Permit)]


IDS = st.integers(0, 40).map(str)
ASKS = st.builds(
    ask_of,
    IDS,
    tier=st.integers(0, 2),
    customer=st.sampled_from(("c1", "c2", "c3")),
    weight=st.sampled_from((0.5, 1.0, 3.0)),
    prompt_tokens=st.sampled_from((1, 10, 1_000)),
    deadline_ms=st.sampled_from((300, 2_000, 60_000)),
    excluded=st.lists(st.sampled_from(UPSTREAMS), max_size=3, unique=True).map(tuple),
)
ASK_STEPS = st.tuples(st.just("ask"), st.sampled_from(VMS), ASKS)
OTHER_STEPS = st.one_of(
    st.tuples(st.just("withdraw"), IDS),
    st.tuples(st.just("release"), IDS),
    st.tuples(st.just("wait"), st.sampled_from((50, 500, 3_000))),
    st.tuples(st.just("upstreams"), st.lists(st.sampled_from(UPSTREAMS), unique=True)),
    st.tuples(st.just("requester_lost"), st.sampled_from(VMS)),
    st.tuples(st.just("return_queued"), st.sampled_from((0, 400))),
)
BURSTS = st.lists(ASK_STEPS, min_size=2, max_size=10)
HISTORIES = st.lists(
    st.tuples(BURSTS, OTHER_STEPS).map(lambda pair: [*pair[0], pair[1]]),
    min_size=4,
    max_size=12,
).map(lambda parts: [step for part in parts for step in part])


def apply_steps(scheduler: PoolScheduler, steps: list[tuple[Any, ...]]) -> None:
    """Apply a sequence of events to a scheduler."""
    now_ms = 0.0
    running: set[str] = set()
    scheduler.set_upstreams([upstream("u1")], now_ms)
    for name, *values in steps:
        sent: list[Outgoing] = []
        if name == "ask":
            if values[1].ask_id in running:
                continue
            sent = scheduler.enqueue(values[0], values[1], now_ms)
        elif name == "withdraw":
            running.discard(values[0])
            sent = scheduler.withdraw(Withdraw(values[0], "assistant"), now_ms)
        elif name == "release":
            running.discard(values[0])
            sent = scheduler.release(release_of(values[0]), now_ms)
        elif name == "wait":
            now_ms += values[0]
            sent = scheduler.tick(now_ms)
        elif name == "upstreams":
            sent = scheduler.set_upstreams([upstream(n) for n in values[0]], now_ms)
        elif name == "requester_lost":
            sent = scheduler.on_requester_disconnected(values[0], now_ms)
        else:
            scheduler.return_queued(now_ms - values[0])
        running.update(granted(sent))


class DifferentialTests(TestCase):
    """At each step the scheduler does what the reference does."""

    def test_random_histories(self) -> None:
        """Sheds, grants and the queued requests agree after each step (seed 20)."""
        shed_count = 0

        @seed(SEED)
        @settings(
            max_examples=200, deadline=None, database=None, phases=[Phase.generate]
        )
        @given(HISTORIES)
        def histories(steps: list[tuple[Any, ...]]) -> None:
            nonlocal shed_count
            scheduler = CheckedScheduler("assistant")
            apply_steps(scheduler, steps)
            shed_count += len(scheduler.shed)

        histories()
        self.assertTrue(shed_count > 0, "no history shed anything")


class ShedTests(TestCase):
    """Refusals while a pool's queue is full or no upstream can serve it."""

    def full(self) -> PoolScheduler:
        """Return a scheduler whose slots and queue are full of low-tier requests."""
        scheduler = CheckedScheduler("assistant")
        scheduler.set_upstreams([upstream("u1")], 0)
        for number in range(2 + QUEUED_MAX):
            scheduler.enqueue("v1", ask_of(f"low{number}", tier=2), 0)
        return scheduler

    def test_high_displaces_low(self) -> None:
        """A high-tier request is queued and the newest low-tier one is shed."""
        sent = self.full().enqueue("v1", ask_of("high", tier=0), 1)
        last = f"low{1 + QUEUED_MAX}"
        self.assertEqual([Refusal(last, "shed")], [item.message for item in sent])

    def test_without_upstreams_nothing_low_is_kept(self) -> None:
        """No low-tier request stays queued when a high-tier one has no upstream."""
        scheduler = self.full()
        scheduler.set_upstreams([], 1)
        sent = scheduler.enqueue("v1", ask_of("high", tier=0), 2)
        self.assertEqual("no_upstream", sent[0].message.kind)  # type: ignore[union-attr]
        self.assertEqual([], scheduler.queued_asks())

    def test_a_head_without_upstream_holds_up_nobody(self) -> None:
        """A request whose upstreams are busy does not block those for free ones."""
        scheduler = CheckedScheduler("assistant")
        scheduler.set_upstreams([upstream("u1"), upstream("u2")], 0)
        for number in range(2):
            scheduler.enqueue("v1", ask_of(f"busy{number}", excluded=("u2",)), 0)
        scheduler.enqueue("v1", ask_of("high", tier=0, excluded=("u2",)), 1)
        sent = scheduler.enqueue("v1", ask_of("low", tier=2), 2)
        self.assertEqual("u2", sent[0].message.upstream)  # type: ignore[union-attr]

    def test_shed_work_is_not_charged(self) -> None:
        """A customer is not charged for requests that were shed."""
        scheduler = self.full()
        for number in range(500):
            scheduler.enqueue(
                "v1", ask_of(f"more{number}", tier=2, prompt_tokens=999), 1
            )
        scheduler.enqueue("v1", ask_of("polite", tier=2, customer="c2"), 2)
        order = [
            ask_id
            for number in range(3)
            for ask_id in granted(scheduler.release(release_of(f"low{number}"), 3))
        ]
        self.assertEqual(["low2", "polite", "low3"], order)


class SummaryTests(TestCase):
    """The load of a pool fits the message that states it."""

    def test_large_loads_fit_the_heartbeat(self) -> None:
        """Guards against sums of slots, or a wait, that do not fit 32 bits."""
        scheduler = PoolScheduler("assistant", policy=PoolPolicy())
        records = [
            upstream(f"u{number}")._replace(slots=2**31 - 1) for number in range(3)
        ]
        scheduler.set_upstreams(records, 0)
        found = scheduler.summary(0)
        heartbeat = Heartbeat(1, "l", 0, False, (found,))
        self.assertEqual(heartbeat, decode(encode(heartbeat)))
        self.assertEqual(2**32 - 1, found.free_slots)
        scheduler.set_upstreams([], 1)
        for number in range(100):
            scheduler.enqueue("v1", ask_of(f"a{number}", tier=0), 1)
        late = Heartbeat(1, "l", 0, False, (scheduler.summary(1e12),))
        self.assertEqual(late, decode(encode(late)))


class CostTests(TestCase):
    """The cost of an event grows with the logarithm of the queue length."""

    def count_checks(self, waiting_count: int) -> int:
        """Return the heap entries read by 100 grants and ticks."""
        policy = TEST_POLICY._replace(queued_count_max=100_000)
        scheduler = PoolScheduler("assistant", policy=policy)
        scheduler.set_upstreams([upstream("u1")], 0)
        for number in range(waiting_count):
            customer = f"c{number % 50}"
            ask = ask_of(str(number), customer=customer, deadline_ms=10**9)
            scheduler.enqueue("v1", ask, 0)
        checks = 0
        original = LazyHeap.peek

        def counted(heap: LazyHeap[Any]) -> Any:
            nonlocal checks
            before = len(heap)
            found = original(heap)
            checks += 1 + before - len(heap)
            return found

        LazyHeap.peek = counted  # type: ignore
        try:
            running = ["0", "1"]
            for _ in range(100):
                sent = scheduler.release(release_of(running.pop(0)), 1)
                running += granted(sent)
                scheduler.tick(2)
        finally:
            LazyHeap.peek = original  # type: ignore[method-assign]
        return checks

    def test_events_do_not_scan_what_waits(self) -> None:
        """With 16 times the requests, the cost grows no more than the logarithm."""
        few, many = self.count_checks(1_000), self.count_checks(16_000)
        growth = math.log(16_000) / math.log(1_000)
        self.assertTrue(many <= few * growth, f"{few} checks, then {many}")

    def test_memory_follows_what_waits(self) -> None:
        """Withdrawn requests leave no entries behind in the heaps."""
        scheduler = PoolScheduler("assistant", policy=PoolPolicy())
        scheduler.set_upstreams([upstream("u1")], 0)
        for number in range(2_000):
            scheduler.enqueue("v1", ask_of(str(number)), 0)
            scheduler.withdraw(Withdraw(str(number), "assistant"), 0)
        sizes = [len(scheduler._deadlines), len(scheduler._queue._shed_order)]  # type: ignore[attr-defined]
        self.assertTrue(max(sizes) <= 128, f"sizes {sizes}")


class RequesterLostTests(TestCase):
    """The state of a permit is removed when its requesting VM is lost."""

    def test_nothing_is_kept_of_a_lost_requester(self) -> None:
        """Both its permits and the routes recorded for them are removed."""
        scheduler = PoolScheduler("assistant", policy=TEST_POLICY)
        scheduler.set_upstreams([upstream("u1")], 0.0)
        sent = scheduler.enqueue("v1", ask_of("a1", route="chat"), 0.0)
        self.assertEqual(["a1"], granted(sent))
        scheduler.on_requester_disconnected("v1", 1.0)
        self.assertEqual({}, scheduler._routes)
        self.assertEqual([0], [len(model.in_flight) for model in scheduler.models()])
