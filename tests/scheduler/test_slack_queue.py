"""Tests of the queue that serves the least slack first, within strict tiers."""

import math
import sys
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.latency._estimate import KNOWN_COUNT_MIN
from hemlocktrestle.scheduler import QUEUES, PoolScheduler, QueuedAsk, policy_named
from hemlocktrestle.scheduler._slack_queue import LeastSlackQueue
from hemlocktrestle.scheduler._work import NO_WORK, Work
from hemlocktrestle.wire import Ask, Permit, Refusal, Release
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted, release_of


def queued(
    ask_id: str,
    *,
    arrived_ms: float = 0.0,
    left_ms: float,
    tier: int = 1,
    work: Work = NO_WORK,
    **fields: Any,
) -> QueuedAsk:
    """Return a queued request whose caller has this much time at its arrival."""
    ask = ask_of(ask_id, tier=tier, deadline_ms=int(left_ms), route="advice", **fields)
    return QueuedAsk(ask, "v1", arrived_ms, arrived_ms + left_ms, work=work)


REQUESTS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from((100, 250, 250, 900)),
        st.sampled_from((0, 50, 400)),
        st.sampled_from(((), ("u1",))),
    ),
    max_size=12,
)
"""Tier, time left, work and excluded upstreams of each request."""


class OrderTests(TestCase):
    """The tier goes first, then the least slack, then the arrival."""

    def order(self, *items: QueuedAsk) -> list[str]:
        """Return the order in which requests are offered slots."""
        queue = QUEUES["least_slack"]()
        for item in items:
            queue.push(item)
        return [
            item.ask.ask_id for item in queue.in_service_order(lambda kind, tier: True)
        ]

    def test_higher_tiers_go_first(self) -> None:
        """A higher tier goes first whenever it arrived."""
        low = queued("low", left_ms=200, tier=2)
        high = queued("high", arrived_ms=50, left_ms=900, tier=0)
        self.assertEqual(["high", "low"], self.order(low, high))

    def test_within_a_tier_the_caller_with_the_least_time_goes_first(self) -> None:
        """Guards against a caller with 5 s left that waits behind one with 15 s."""
        roomy = queued("roomy", left_ms=15_000)
        short = queued("short", arrived_ms=50, left_ms=5_000)
        self.assertEqual(["short", "roomy"], self.order(roomy, short))

    def test_a_high_tier_goes_first_however_little_time_is_left(self) -> None:
        """Guards against low-tier work that is served while a high tier waits.

        Requests that had missed their latency objective went behind all others.
        """
        late = queued("late", left_ms=100, tier=0)
        fresh = queued("fresh", arrived_ms=150, left_ms=400, tier=2)
        self.assertEqual(["late", "fresh"], self.order(fresh, late))

    def test_a_long_answer_starts_early_enough(self) -> None:
        """Guards against a caller whose long answer starts when it is too late."""
        short = queued("short", left_ms=500, work=Work(20, 20))
        long = queued("long", left_ms=800, work=Work(100, 700))
        self.assertEqual(["long", "short"], self.order(short, long))

    def test_the_first_part_has_a_limit_of_its_own(self) -> None:
        """Guards against a stream whose caller leaves before its first event."""
        whole = queued("whole", left_ms=3_000)
        stream = queued("stream", left_ms=15_000)._replace(part_due_ms=2_000.0)
        self.assertEqual(["stream", "whole"], self.order(whole, stream))

    def test_equal_ones_go_by_arrival(self) -> None:
        """Guards against callers that overtake others in the same position."""
        items = [queued(name, left_ms=500, work=Work(5, 50)) for name in "bca"]
        self.assertEqual(["b", "c", "a"], self.order(*items))

    @given(REQUESTS)
    def test_the_order_is_that_of_a_sorted_list(
        self, requests: list[tuple[int, int, int, tuple[str, ...]]]
    ) -> None:
        """Guards against an order that depends on how requests are indexed."""
        items = [
            queued(
                f"a{number}", left_ms=left, tier=tier, work=Work(0, work), excluded=x
            )
            for number, (tier, left, work, x) in enumerate(requests)
        ]
        wanted = sorted(
            items,
            key=lambda item: (
                item.ask.tier,
                item.deadline_ms - item.work.total_ms,
                int(item.ask.ask_id[1:]),
            ),
        )
        self.assertEqual([item.ask.ask_id for item in wanted], self.order(*items))

    def test_the_last_in_order_is_shed_first(self) -> None:
        """A high tier is never shed while a lower one is queued."""
        queue = QUEUES["least_slack"]()
        for item in (queued("a", left_ms=9, tier=0), queued("b", left_ms=900)):
            queue.push(item)
        shed = queue.next_to_shed()
        self.assertEqual("b", shed.ask.ask_id if shed else "")

    def test_an_ask_that_was_offered_and_not_taken_waits_on(self) -> None:
        """A request that was not taken is offered again, even if alone of its kind."""
        queue = QUEUES["least_slack"]()
        for item in (queued("a", left_ms=900), queued("b", left_ms=900, tier=2)):
            queue.push(item)
        for _ in range(2):
            offered = queue.in_service_order(lambda kind, tier: True)
            self.assertEqual(["a", "b"], [item.ask.ask_id for item in offered])


class TimeLeftSchedulerTests(TestCase):
    """A scheduler with the policy for engines that report their slots."""

    def scheduler(self, slots: int) -> PoolScheduler:
        """Return a scheduler of one upstream with this many slots."""
        scheduler = PoolScheduler("assistant", policy=policy_named("time_left"))
        scheduler.set_upstreams([upstream("u1")._replace(slots=slots)], 0)
        return scheduler

    def ask(self, ask_id: str, **fields: Any) -> Ask:
        """Return a request whose caller waits for 400 ms."""
        return ask_of(ask_id, **{"deadline_ms": 400, **fields})

    def test_reported_slots_bound_requests_in_flight(self) -> None:
        """The engine never queues; a slot that becomes free is granted at once."""
        scheduler = self.scheduler(2)
        sent = [
            item
            for name in "abc"
            for item in scheduler.enqueue("v1", self.ask(name), 0)
        ]
        self.assertEqual(["a", "b"], granted(sent))
        self.assertTrue(scheduler.is_queued("c"))
        self.assertEqual(["c"], granted(scheduler.release(release_of("a"), 10)))

    def test_a_request_is_refused_at_its_deadline(self) -> None:
        """A request is refused at its deadline in the queue, without having run."""
        scheduler = self.scheduler(1)
        scheduler.enqueue("v1", self.ask("a"), 0)
        scheduler.enqueue("v1", self.ask("b"), 0)
        self.assertEqual([], scheduler.tick(399))
        refused = [item.message for item in scheduler.tick(400)]
        self.assertEqual([Refusal("b", "deadline_in_queue", 400)], refused)

    def test_a_request_with_little_time_gets_a_free_slot(self) -> None:
        """Guards against a refusal while the pool is idle."""
        scheduler = self.scheduler(1)
        sent = scheduler.enqueue("v1", self.ask("late", deadline_ms=1), 0)
        self.assertIsInstance(sent[0].message, Permit)

    def test_a_high_tier_gets_the_next_slot_when_its_objective_has_passed(self) -> None:
        """Guards against a high-tier caller that waits while lower work is served."""
        scheduler = self.scheduler(1)
        scheduler.enqueue("v1", self.ask("busy"), 0)
        high = self.ask("high", tier=0, aim_ms=200, deadline_ms=6_000)
        low = self.ask("low", tier=2, aim_ms=1_500, deadline_ms=6_000)
        scheduler.enqueue("v1", high, 0)
        scheduler.enqueue("v1", low, 300)
        self.assertEqual(["high"], granted(scheduler.release(release_of("busy"), 400)))

    def test_measured_work_decides_between_equal_deadlines(self) -> None:
        """Guards against an order that ignores how long answers of a route take."""
        scheduler = self.scheduler(1)
        for _ in range(KNOWN_COUNT_MIN):
            scheduler.enqueue("v1", self.ask("m", route="long", deadline_ms=9_000), 0)
            took = Release("m", "assistant", "u1", True, "", 300, 300, 10, 1)
            scheduler.release(took, 300)
        scheduler.enqueue("v1", self.ask("busy"), 300)
        for name in ("short", "long"):
            scheduler.enqueue("v1", self.ask(name, route=name, deadline_ms=900), 300)
        self.assertEqual(["long"], granted(scheduler.release(release_of("busy"), 310)))


class CostTests(TestCase):
    """The cost of an event does not grow in proportion to the queue length."""

    def count_calls(self, waiting_count: int) -> int:
        """Return the Python calls made by 100 requests and releases."""
        policy = policy_named("time_left")._replace(queued_count_max=100_000)
        scheduler = PoolScheduler("assistant", policy=policy)
        scheduler.set_upstreams([upstream("u1")._replace(slots=2)], 0)
        for number in range(waiting_count):
            ask = ask_of(f"w{number}", tier=number % 3, deadline_ms=10**9)
            scheduler.enqueue("v1", ask, 0)
        running = ["w0", "w3"]
        calls = 0

        def count(frame: Any, event: str, argument: Any) -> None:
            nonlocal calls
            calls += event == "call"

        sys.setprofile(count)
        try:
            for number in range(100):
                ask = ask_of(f"a{number}", deadline_ms=10**9)
                scheduler.enqueue("v1", ask, 1)
                running += granted(scheduler.release(release_of(running.pop(0)), 1))
        finally:
            sys.setprofile(None)
        return calls

    def test_events_do_not_scan_what_waits(self) -> None:
        """With 16 times the requests, the cost grows no more than the logarithm."""
        few, many = self.count_calls(500), self.count_calls(8_000)
        growth = math.log(8_000) / math.log(500)
        self.assertTrue(many <= few * growth, f"{few} calls, then {many}")

    def test_asks_that_went_leave_nothing(self) -> None:
        """Kinds without queued requests are removed."""
        queue = LeastSlackQueue()
        for number in range(300):
            item = queued(f"a{number}", left_ms=100, tier=number)
            queue.push(item)
            queue.remove(item.ask.ask_id)
        self.assertEqual([], list(queue.in_service_order(lambda kind, tier: True)))
        self.assertEqual({}, queue._by_kind)
