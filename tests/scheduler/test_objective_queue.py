"""Tests of the queue that serves requests in time before late ones."""

import math
import sys
from typing import Any

from testtools import TestCase

from hemlocktrestle.scheduler import QUEUES, PoolScheduler, QueuedAsk, policy_named
from hemlocktrestle.scheduler._objective_queue import ObjectiveQueue
from hemlocktrestle.wire import Ask, Permit, Refusal
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted, release_of


def queued(
    ask_id: str, *, arrived_ms: float = 0.0, aim_ms: float, tier: int = 1
) -> QueuedAsk:
    """Return a queued request whose objective is relative to its arrival."""
    ask = ask_of(ask_id, tier=tier, aim_ms=int(aim_ms), route="advice")
    return QueuedAsk(ask, "v1", arrived_ms, arrived_ms + 9_000, arrived_ms + aim_ms)


class OrderTests(TestCase):
    """Requests in time go before late ones, then by tier, then by objective."""

    def order(
        self, *items: QueuedAsk, now_ms: float, first_ms: float = 0.0
    ) -> list[str]:
        """Return the order in which requests are offered slots."""
        queue = QUEUES["objective"]()
        if first_ms:
            queue.learn("advice", first_ms)
        for item in items:
            queue.push(item)
        queue.advance(now_ms)
        return [
            item.ask.ask_id for item in queue.in_service_order(lambda kind, tier: True)
        ]

    def test_higher_tiers_go_first(self) -> None:
        """A higher tier goes first whenever it arrived."""
        low = queued("low", aim_ms=200, tier=2)
        high = queued("high", arrived_ms=50, aim_ms=900, tier=0)
        self.assertEqual(["high", "low"], self.order(low, high, now_ms=60))

    def test_within_a_tier_the_nearest_objective_goes_first(self) -> None:
        """The request that becomes late next is served first."""
        far, near = queued("far", aim_ms=900), queued("near", aim_ms=300)
        self.assertEqual(["near", "far"], self.order(far, near, now_ms=10))

    def test_what_is_late_goes_last_whatever_its_tier(self) -> None:
        """A late request must not make others late too."""
        late = queued("late", aim_ms=100, tier=0)
        fresh = queued("fresh", arrived_ms=150, aim_ms=400, tier=2)
        self.assertEqual(["fresh", "late"], self.order(late, fresh, now_ms=160))

    def test_the_time_to_a_first_part_counts_as_late(self) -> None:
        """A request that can no longer meet its objective counts as late already."""
        short = queued("short", aim_ms=300)
        roomy = queued("roomy", aim_ms=800, tier=2)
        found = self.order(short, roomy, now_ms=10, first_ms=400)
        self.assertEqual(["roomy", "short"], found)

    def test_the_last_in_order_is_shed_first(self) -> None:
        """A high tier is never shed while a lower one is queued in time."""
        queue = QUEUES["objective"]()
        for item in (queued("a", aim_ms=900, tier=0), queued("b", aim_ms=900)):
            queue.push(item)
        shed = queue.next_to_shed()
        self.assertEqual("b", shed.ask.ask_id if shed else "")

    def test_an_ask_that_was_offered_and_not_taken_waits_on(self) -> None:
        """A request that was not taken is offered again, even if alone of its kind."""
        queue = QUEUES["objective"]()
        for item in (queued("a", aim_ms=900), queued("b", aim_ms=900, tier=2)):
            queue.push(item)
        for _ in range(2):
            offered = queue.in_service_order(lambda kind, tier: True)
            self.assertEqual(["a", "b"], [item.ask.ask_id for item in offered])


class ObjectiveSchedulerTests(TestCase):
    """A scheduler with the policy for engines that report their slots."""

    def scheduler(self, slots: int) -> PoolScheduler:
        """Return a scheduler of one upstream with this many slots."""
        scheduler = PoolScheduler("assistant", policy=policy_named("objective"))
        scheduler.set_upstreams([upstream("u1")._replace(slots=slots)], 0)
        return scheduler

    def ask(self, ask_id: str, **fields: Any) -> Ask:
        """Return a request with a latency objective of 400 ms."""
        return ask_of(ask_id, **{"aim_ms": 400, "deadline_ms": 400, **fields})

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
        self.assertEqual([Refusal("b", "deadline_in_queue")], refused)

    def test_a_late_request_gets_a_slot_that_no_other_wants(self) -> None:
        """A late request is served if no other wants the slot."""
        scheduler = self.scheduler(1)
        sent = scheduler.enqueue("v1", self.ask("late", aim_ms=0), 0)
        self.assertIsInstance(sent[0].message, Permit)


class CostTests(TestCase):
    """The cost of an event does not grow in proportion to the queue length."""

    def count_calls(self, waiting_count: int) -> int:
        """Return the Python calls made by 100 requests and releases."""
        policy = policy_named("objective")._replace(queued_count_max=100_000)
        scheduler = PoolScheduler("assistant", policy=policy)
        scheduler.set_upstreams([upstream("u1")._replace(slots=2)], 0)
        for number in range(waiting_count):
            ask = ask_of(f"w{number}", tier=number % 3, aim_ms=10**8, deadline_ms=10**9)
            scheduler.enqueue("v1", ask, 0)
        running = ["w0", "w3"]
        calls = 0

        def count(frame: Any, event: str, argument: Any) -> None:
            nonlocal calls
            calls += event == "call"

        sys.setprofile(count)
        try:
            for number in range(100):
                ask = ask_of(f"a{number}", aim_ms=10**8, deadline_ms=10**9)
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
        queue = ObjectiveQueue()
        for number in range(300):
            item = queued(f"a{number}", aim_ms=100, tier=number)
            queue.push(item)
            queue.remove(item.ask.ask_id)
        self.assertEqual([], list(queue.in_service_order(lambda kind, tier: True)))
        self.assertEqual({}, queue._by_kind)
