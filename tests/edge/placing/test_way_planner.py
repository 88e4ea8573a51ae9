"""Tests of where a request may go from this VM."""

from typing import Any, NamedTuple

import trio

from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.edge.placing._way_planner import (
    UNMEASURED_WAY_MS,
    RegionPlan,
    WayPlanner,
)
from hemlocktrestle.locality import Locality, RoundTrips
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.relay import CallerRequest, RequestBody
from hemlocktrestle.wire import PoolSummary
from tests.edge.placing.test_permit_placer import job_of
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of
from tests.support import TrioTestCase


class _Vm(NamedTuple):
    zone: str = "a"
    region: str = "north"


class _Membership:
    """A region of zones a and b, and another region."""

    vm = _Vm()
    domain = "north"

    def __init__(self, own_wait_ms: int) -> None:
        self.summaries = {
            "north": PoolSummary("assistant", 1 if own_wait_ms else 0, own_wait_ms, 0),
            "south": PoolSummary("assistant", 0, 0, 4),
        }
        self._records = {
            record.name: record
            for record in (
                upstream("r1", zone="a")._replace(region="north"),
                upstream("r2", zone="b")._replace(region="north"),
                upstream("r3", zone="c")._replace(region="south"),
            )
        }

    def all_upstreams(self) -> tuple[UpstreamRecord, ...]:
        return tuple(self._records.values())

    def upstream(self, name: str) -> UpstreamRecord | None:
        return self._records.get(name)

    def pool_summary(self, pool: str, region: str, now: float) -> PoolSummary | None:
        return self.summaries.get(region)


class WayTests(TrioTestCase):
    """The way is measured: round trips, the answers' bytes, the room of the link."""

    def planner(self, own_wait_ms: int, *, round_trip_ms: float = 40.0) -> WayPlanner:
        fleet: Any = type("Fleet", (), {"membership": _Membership(own_wait_ms)})()
        self.round_trips = RoundTrips()
        if round_trip_ms:
            self.round_trips.learn("south", round_trip_ms, 0.0)
        return WayPlanner(fleet, self.round_trips)

    def plan(
        self, planner: WayPlanner, *, body: bytes = b"", at: int = 0
    ) -> RegionPlan:
        job = job_of()
        request = CallerRequest(b"GET", b"/", (), RequestBody(body), at)
        job = job._replace(request=request)
        now_ms = trio.current_time() * 1000 + at
        return planner.plan(job, frozenset(), output_tokens=20, now_ms=now_ms)

    def end(
        self, planner: WayPlanner, replica: str, *, at: float, **report: Any
    ) -> Placement:
        """Place a request on a replica and end it."""
        placement = planner.locate(Placement("p", replica, "", "vm-2", 0.0))
        planner.record_placed(placement, size_bytes=0, now_ms=at)
        ended = AttemptReport(AttemptEnd.RELAYED, 10.0, 50.0, 4, 200)._replace(**report)
        planner.record_ended(job_of(), placement, ended, output_tokens=20, now_ms=at)
        return placement

    async def test_a_full_region_sends_to_a_free_one(self) -> None:
        plan = self.plan(self.planner(400))
        self.assertEqual(("south", "north"), plan.order.regions)

    async def test_a_free_region_keeps_its_requests(self) -> None:
        plan = self.plan(self.planner(0))
        self.assertEqual(("north", "south"), plan.order.regions)

    async def test_a_way_that_was_never_measured_costs_an_unanswered_ask(self) -> None:
        """Guards against a cut link that looks shorter than any other way."""
        for wait_ms, first in ((100, "north"), (2 * UNMEASURED_WAY_MS, "south")):
            planner = self.planner(int(wait_ms), round_trip_ms=0.0)
            self.assertEqual(first, self.plan(planner).order.regions[0])

    async def test_a_region_that_is_cut_off_is_not_asked(self) -> None:
        planner = self.planner(400)
        del planner._fleet.membership.summaries["south"]  # type: ignore[attr-defined]
        self.assertEqual(("north",), self.plan(planner).order.regions)

    async def test_a_long_upload_stays_while_the_link_is_full(self) -> None:
        """Guards against an upload whose transfer takes longer than the queue."""
        planner = self.planner(400)
        now_ms = trio.current_time() * 1000
        self.plan(planner)
        gone = AttemptEnd.ABANDONED
        self.end(planner, "r3", at=now_ms, end=gone, answer_bytes=1_000_000)
        for _ in range(20):
            self.round_trips.learn("south", 100.0, now_ms)
        self.plan(planner, at=3_000)
        for _ in range(20):
            self.round_trips.learn("south", 40.0, now_ms)
        small, large = (
            self.plan(planner, body=bytes(size), at=4_000).order.regions[0]
            for size in (100, 2_000_000)
        )
        self.assertEqual(("south", "north"), (small, large))

    async def test_the_size_of_answers_is_learned(self) -> None:
        planner = self.planner(0)
        self.end(planner, "r1", at=0.0, answer_bytes=30_000)
        self.assertEqual(30_005, self.plan(planner, body=b"12345").size_bytes)

    async def test_the_way_to_another_zone_is_measured_by_connects(self) -> None:
        planner = self.planner(0)
        near = self.end(planner, "r1", at=0.0, connect_ms=1.0)
        far = self.end(planner, "r2", at=0.0, connect_ms=8.0)
        ask = planner.with_zone(ask_of("1"))
        self.assertEqual(("a", 14.0), (ask.zone, ask.way_ms))
        self.assertEqual(
            (Locality.OWN_ZONE, Locality.OTHER_ZONE), (near.locality, far.locality)
        )

    async def test_a_low_rate_does_not_end_the_asks_that_would_raise_it(self) -> None:
        """A region with room is asked last, whatever its bytes seem to take."""
        planner = self.planner(0)
        now_ms = trio.current_time() * 1000
        room = planner._room("south", now_ms)
        room.spend(100_000)
        room.observe(round_trip_ms=900, floor_ms=40, now_ms=now_ms + 2_500)
        self.assertGreater(room.extra_ms(2_000_000), 20_000)
        plan = self.plan(planner, body=bytes(2_000_000), at=2_500)
        self.assertEqual(("north", "south"), plan.order.regions)

    async def test_an_old_slow_round_trip_is_measured_again(self) -> None:
        """Nothing else measures the way than the asks themselves."""
        for age_ms, regions in ((1_000, ("north",)), (31_000, ("north", "south"))):
            planner = self.planner(0, round_trip_ms=0.0)
            at_ms = trio.current_time() * 1000 - age_ms
            self.round_trips.learn("south", 20_000.0, at_ms)
            self.assertEqual(regions, self.plan(planner).order.regions)
