"""Where a request may go from this VM: its own zone, another one, another region."""

import copy
from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import (
    UNSENT_ENDS,
    AttemptEnd,
    AttemptReport,
    Placement,
)
from hemlocktrestle.gateway import RequestKind
from hemlocktrestle.locality import (
    AnswerBytes,
    LinkRoom,
    Locality,
    RegionChoice,
    RegionOption,
    RegionOrder,
    RoundTrips,
    locality_of,
)
from hemlocktrestle.membership import UpstreamRecord, expected_wait_ms
from hemlocktrestle.wire import NO_TIER, Ask, PoolSummary

BYTES_PER_MS_OF_MBPS = 125.0
"""Bytes a millisecond that one Mbit/s carries."""

REGION_ROUND_TRIPS = 3
"""Round trips of a request: the permit, the connection and the answer take one each."""

ZONE_ROUND_TRIPS = 2
"""Round trips to a replica; the permit comes from the same scheduler for all zones."""

UNMEASURED_WAY_MS = 200.0
"""Time of a way that was not measured: that of an ask to which nobody replies."""


class RegionPlan(NamedTuple):
    """The regions to ask, why, and the bytes that the request is expected to move.

    ``options`` are the regions that may have a slot.
    """

    order: RegionOrder
    size_bytes: int
    options: tuple[RegionOption, ...] = ()


class WayPlanner:
    """Measures ways and links, and decides where requests of this VM may go.

    Args:
        fleet: the VMs and the pools that they schedule.
        round_trips: measured round trips to the schedulers of regions.
        link_mbps: returns the bandwidth of this VM's link, 0 if it is not stated.
    """

    def __init__(
        self,
        fleet: EdgeFleet,
        round_trips: RoundTrips,
        *,
        link_mbps: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._fleet = fleet
        self._round_trips = round_trips
        self._link_mbps = link_mbps
        self._connects = RoundTrips()
        self._answer_bytes = AnswerBytes()
        self._choice = RegionChoice()
        self._rooms: dict[str, LinkRoom] = {}
        self._spent: dict[str, int] = {}

    def with_zone(self, ask: Ask) -> Ask:
        """State this VM's zone in a permit request, and the way to the others."""
        zone = self._fleet.membership.vm.zone
        return ask._replace(zone=zone, way_ms=self._zone_way_ms(zone))

    def plan(
        self, job: Job, excluded: frozenset[str], *, output_tokens: int, now_ms: float
    ) -> RegionPlan:
        """Return the regions to request a permit from, the first to ask first.

        Another region is included if it reports free slots.  One that refuses lower
        tiers only comes last, for a request that the others refuse.  If no region
        qualifies, all that have a replica of the service are returned.
        """
        membership = self._fleet.membership
        pool = job.service.name
        size_bytes = len(job.request.body) + self._answer_bytes.expect(
            job.route.name, output_tokens=_counted_tokens(job, output_tokens)
        )
        options: dict[str, RegionOption] = {}
        last: set[str] = set()
        for record in membership.all_upstreams():
            if pool not in record.pools or record.is_leaving:
                continue
            if record.name in excluded or record.region in options:
                continue
            summary = membership.pool_summary(pool, record.region, now_ms)
            is_own = record.region == membership.domain
            if is_own or (summary is not None and summary.free_slots > 0):
                options[record.region] = self._option(
                    record.region, summary, job, size_bytes, now_ms
                )
            elif summary is not None and job.rank < summary.standing_tier < NO_TIER:
                last.add(record.region)
        if not options:
            regions = self._regions_with_replicas(pool, excluded)
            return RegionPlan(RegionOrder(regions, "no region has room"), size_bytes)
        order = self._choice.order(
            pool,
            list(options.values()),
            left_ms=min(job.part_due_ms, job.deadline_at_ms) - now_ms,
        )
        regions = (*order.regions, *sorted(last))
        return RegionPlan(
            RegionOrder(regions, order.reason), size_bytes, tuple(options.values())
        )

    def preview(
        self, job: Job, excluded: frozenset[str], *, output_tokens: int, now_ms: float
    ) -> RegionPlan:
        """Return what :meth:`plan` would, and change nothing."""
        planner = copy.copy(self)
        planner._choice = copy.deepcopy(self._choice)
        planner._rooms = copy.deepcopy(self._rooms)
        return planner.plan(job, excluded, output_tokens=output_tokens, now_ms=now_ms)

    def locate(self, placement: Placement) -> Placement:
        """State how far the replica of a placement is."""
        record = self._fleet.membership.upstream(placement.replica_id)
        if record is None:
            return placement
        return placement._replace(locality=self._locality(record), zone=record.zone)

    def record_placed(
        self, placement: Placement, *, size_bytes: int, now_ms: float
    ) -> None:
        """Count what a placed request is expected to send over a link of regions."""
        if placement.locality is Locality.OTHER_REGION and placement.permit_id:
            self._spent[placement.permit_id] = size_bytes
            self._room(self._region_of(placement), now_ms).spend(size_bytes)

    def record_ended(
        self,
        job: Job,
        placement: Placement,
        report: AttemptReport,
        *,
        output_tokens: int,
        now_ms: float,
    ) -> None:
        """Learn from an attempt that has ended."""
        if report.connect_ms and placement.zone:
            self._connects.learn(placement.zone, report.connect_ms, now_ms)
        if report.end is AttemptEnd.RELAYED:
            self._answer_bytes.learn(
                job.route.name,
                output_tokens=_counted_tokens(job, output_tokens),
                answer_bytes=report.answer_bytes,
            )
        expected_bytes = self._spent.pop(placement.permit_id, None)
        if expected_bytes is not None:
            moved_bytes = 0
            if report.end not in UNSENT_ENDS:
                moved_bytes = len(job.request.body) + report.answer_bytes
            room = self._room(self._region_of(placement), now_ms)
            room.spend(moved_bytes - expected_bytes)

    def _option(
        self,
        region: str,
        summary: PoolSummary | None,
        job: Job,
        size_bytes: int,
        now_ms: float,
    ) -> RegionOption:
        wait_ms = expected_wait_ms(summary, tier=job.rank)
        if region == self._fleet.membership.domain:
            return RegionOption(region, True, wait_ms)
        round_trip_ms = self._round_trips.mean_ms(region)
        room = self._room(region, now_ms)
        room.observe(
            round_trip_ms=round_trip_ms,
            floor_ms=self._round_trips.floor_ms(region),
            now_ms=now_ms,
        )
        way_ms = REGION_ROUND_TRIPS * round_trip_ms or UNMEASURED_WAY_MS
        return RegionOption(
            region,
            False,
            wait_ms,
            way_ms + room.extra_ms(size_bytes),
            room.has_room(size_bytes, tier=job.rank, now_ms=now_ms),
            REGION_ROUND_TRIPS * self._round_trips.recent_floor_ms(region, now_ms),
        )

    def _zone_way_ms(self, own_zone: str) -> float:
        """Return how much longer the way to another zone of the region takes."""
        membership = self._fleet.membership
        zones = {
            record.zone
            for record in membership.all_upstreams()
            if record.region == membership.domain
        }
        others = [
            floor_ms
            for zone in zones - {own_zone}
            if (floor_ms := self._connects.floor_ms(zone))
        ]
        if not others:
            return 0.0
        extra_ms = sum(others) / len(others) - self._connects.floor_ms(own_zone)
        return ZONE_ROUND_TRIPS * max(0.0, extra_ms)

    def _regions_with_replicas(
        self, pool: str, excluded: frozenset[str]
    ) -> tuple[str, ...]:
        regions = {
            record.region
            for record in self._fleet.membership.all_upstreams()
            if pool in record.pools
            and (record.is_leaving or record.name not in excluded)
        }
        return tuple(sorted(regions))

    def _locality(self, record: UpstreamRecord) -> Locality:
        own = self._fleet.membership.vm
        return locality_of(
            record.zone, record.region, own_zone=own.zone, own_region=own.region
        )

    def _region_of(self, placement: Placement) -> str:
        record = self._fleet.membership.upstream(placement.replica_id)
        return record.region if record is not None else placement.zone

    def _room(self, region: str, now_ms: float) -> LinkRoom:
        room = self._rooms.get(region)
        if room is None:
            room = self._rooms[region] = LinkRoom(
                now_ms, own_bytes_per_ms=self._link_mbps() * BYTES_PER_MS_OF_MBPS
            )
        return room


def _counted_tokens(job: Job, output_tokens: int) -> int:
    """Return the tokens by which the size of an answer is estimated.

    Those of an answer that comes as a whole are not counted when it arrives.
    """
    return output_tokens if job.route.kind is RequestKind.STREAM else 1
