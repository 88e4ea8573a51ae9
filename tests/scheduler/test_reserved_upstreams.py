"""Tests of upstreams that are reserved for chosen requests."""

from testtools import TestCase

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.scheduler import PoolPolicy, PoolScheduler
from hemlocktrestle.wire import Permit, Refusal
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted


class ReservedUpstreamTests(TestCase):
    """Only who asks for a reserved upstream gets it."""

    def scheduler(self, *names: str, reserved: str) -> PoolScheduler:
        """Return a scheduler of some upstreams with two slots, one of them reserved."""
        found = PoolScheduler("assistant", policy=PoolPolicy())
        found.reserve(frozenset({reserved}))
        records = [upstream(name)._replace(slots=2) for name in names]
        found.set_upstreams(records, 0)
        return found

    def used(self, scheduler: PoolScheduler, count: int) -> set[str]:
        """Return the upstreams of as many permits as can be granted."""
        sent = []
        for number in range(count):
            sent += scheduler.enqueue("v1", ask_of(f"a{number}"), 0)
        return {
            found.message.upstream
            for found in sent
            if isinstance(found.message, Permit)
        }

    def test_other_requests_wait_rather_than_use_it(self) -> None:
        """Also when all others are full; they are not counted as room either."""
        scheduler = self.scheduler("u1", "u2", reserved="u2")
        self.assertEqual({"u1"}, self.used(scheduler, 4))
        self.assertEqual(
            (2, 0), (scheduler.queued_count, scheduler.summary(0).free_slots)
        )

    def test_a_chosen_request_gets_it_at_once(self) -> None:
        """Until its slots are used."""
        scheduler = self.scheduler("u1", "u2", reserved="u2")
        sent = [
            granted(scheduler.grant_reserved("v1", ask_of(f"c{number}"), 0))
            for number in range(3)
        ]
        self.assertEqual([["c0"], ["c1"], []], sent)

    def test_one_that_is_no_longer_reserved_takes_all_requests(self) -> None:
        """The shift begins while requests are queued."""
        scheduler = self.scheduler("u1", "u2", reserved="u2")
        self.used(scheduler, 4)
        scheduler.reserve(frozenset())
        self.assertEqual(2, len(granted(scheduler.tick(1))))

    def test_without_others_a_request_is_refused_at_once(self) -> None:
        """Guards against a wait until the deadline while another region has room."""
        scheduler = self.scheduler("u2", reserved="u2")
        (sent,) = scheduler.enqueue("v1", ask_of("a"), 0)
        self.assertEqual(Refusal("a", ErrorKind.NO_UPSTREAM.value), sent.message)
