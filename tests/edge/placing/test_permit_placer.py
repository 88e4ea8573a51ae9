"""Tests of what a VM reports to the scheduler that granted a permit."""

from typing import Any

import trio
from testtools import ExpectedException
from testtools.matchers import MatchesStructure

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts import _attempt
from hemlocktrestle.edge.attempts._attempt import Attempt
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas
from hemlocktrestle.edge.placing._permit_placer import FAILURE_BY_END, PermitPlacer
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.edge.placing._way_planner import WayPlanner
from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    FleetSnapshot,
    RequestKind,
    RequestMetadata,
    Route,
)
from hemlocktrestle.latency._estimate import KNOWN_COUNT_MIN
from hemlocktrestle.locality import RoundTrips
from hemlocktrestle.peers import HeldPermit
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.relay import CallerRequest, ConnectTimeoutError, RequestBody
from hemlocktrestle.wire import (
    NO_PART_LIMIT,
    Ask,
    LeavingReplica,
    Permit,
    PoolSummary,
)
from tests.gateway.records import SERVICES, customer, replica_update, route
from tests.platform.documents import SETTINGS
from tests.scheduler.naive import upstream
from tests.support import TrioTestCase

ROUTE = route()

STREAM_ROUTE = route(kind=RequestKind.STREAM, timeout_ms=20_000, patience_ms=2_400.0)

PLACEMENT = Placement("p1", "i-1", "10.0.0.9:80", "vm-2", 0.0)


class ConnectFailureTests(TrioTestCase):
    """The scheduler is told whether a replica refused, or nothing was heard."""

    async def _failure_after(self, error: RequestError) -> str:
        """Return the failure that is reported after a connect failed."""

        async def open_connection(address: str) -> trio.abc.Stream:
            raise error

        self.patch(_attempt, "open_connection", open_connection)
        unused: Any = None
        _, state = _placer(unused)
        attempt = Attempt(
            state,
            job_of(),
            PLACEMENT,
            unused,
            RequestProgress(),
            on_speed=unused,
            successors=unused,
            kept=unused,
        )
        report = await attempt.run()
        return FAILURE_BY_END[report.end]

    async def test_a_connect_timeout_is_not_reported_as_a_refusal(self) -> None:
        """Guards against replicas taken from all VMs because one VM's link is full."""
        error = ConnectTimeoutError(ErrorKind.UPSTREAM_UNREACHABLE, "no reply")
        failure = await self._failure_after(error)
        self.assertEqual(ErrorKind.UPSTREAM_SILENT.value, failure)

    async def test_a_refused_connect_is(self) -> None:
        """Nothing listens there, whoever tries."""
        error = RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        failure = await self._failure_after(error)
        self.assertEqual(ErrorKind.UPSTREAM_REFUSED.value, failure)


class _GrantingClient:
    """Grants each permit request, for the first replica that it allows."""

    def __init__(self) -> None:
        self.asks: list[Ask] = []

    async def obtain(
        self, ask: Ask, *, zones: tuple[str, ...], deadline_at_ms: float
    ) -> HeldPermit:
        self.asks.append(ask)
        chosen = next(name for name in ("r1", "r2") if name not in ask.excluded)
        permit = Permit(ask.ask_id, ask.pool, chosen, f"{chosen}:80", 0, 1_000)
        return HeldPermit(permit, "vm-2", now_ms() + 1_000)


class LeavingReplicaTests(TrioTestCase):
    """A scheduler elsewhere is asked for no replica that this VM knows to leave."""

    async def test_the_first_request_excludes_it_and_is_charged(self) -> None:
        """Guards against requests that no quota counts, as if they were retries."""
        client: Any = _GrantingClient()
        placer, state = _placer(client)
        state.replica_notices.on_news("vm-3", [LeavingReplica("r1", 7)])
        found = await placer.obtain(job_of(), excluded=frozenset())
        self.assertEqual("r2", found.replica_id)
        ask = client.asks[0]
        self.assertEqual((("r1",), 30), (ask.excluded, ask.amount))


class _RefusingClient:
    """Refuses each permit request, with the scheduler's forecast."""

    async def obtain(
        self, ask: Ask, *, zones: tuple[str, ...], deadline_at_ms: float
    ) -> HeldPermit:
        raise RequestError(
            ErrorKind.DEADLINE_UNMEETABLE, "no permit", retry_after_ms=700
        )


class RefusedRequestTests(TrioTestCase):
    """A refused caller is told what the scheduler forecasts."""

    async def test_the_time_left_does_not_set_the_pause(self) -> None:
        """Guards against a pause of 4.5 s for a caller who finds room after 0.7 s.

        The pause was a share of the time that the caller had left.
        """
        client: Any = _RefusingClient()
        placer, _ = _placer(client)
        for left_ms in (2_000, 15_000):
            pause = MatchesStructure.byEquality(retry_after_ms=700)
            with ExpectedException(RequestError, pause):
                await placer.obtain(job_of(left_ms=left_ms), excluded=frozenset())


class MeasuredWorkTests(TrioTestCase):
    """A request states what answers of its route took at this VM."""

    async def test_measured_times_go_with_the_request(self) -> None:
        """Guards against a new scheduler that knows nothing of the work."""
        client: Any = _GrantingClient()
        client.release = lambda held, release: None
        placer, _ = _placer(client)
        report = AttemptReport(
            AttemptEnd.RELAYED, first_ms=100.0, total_ms=500.0, event_count=4
        )
        for _ in range(KNOWN_COUNT_MIN):
            job = job_of()
            placement = await placer.obtain(job, excluded=frozenset())
            placer.release(job, placement, report)
        await placer.obtain(job_of(), excluded=frozenset())
        self.assertEqual((0, 0), (client.asks[0].first_ms, client.asks[0].total_ms))
        self.assertEqual(100, client.asks[-1].first_ms)
        self.assertGreater(client.asks[-1].total_ms, 100)


class _RecordingClient(_GrantingClient):
    """Grants each permit request and records the regions that may be asked."""

    def __init__(self) -> None:
        super().__init__()
        self.regions: tuple[str, ...] = ()

    async def obtain(
        self, ask: Ask, *, zones: tuple[str, ...], deadline_at_ms: float
    ) -> HeldPermit:
        self.regions = zones
        return await super().obtain(ask, zones=zones, deadline_at_ms=deadline_at_ms)


class RegionTests(TrioTestCase):
    """Which regions are asked for a permit, and in which order."""

    async def _regions(self, elsewhere: PoolSummary | None) -> tuple[str, ...]:
        """Return the regions for a request of rank 1; both have a replica."""
        client: Any = _RecordingClient()
        placer, _ = _placer(client)
        membership = placer._fleet.membership
        records = [
            upstream("r1")._replace(region=membership.domain, pools=("assistant",)),
            upstream("r2")._replace(region="south", pools=("assistant",)),
        ]
        summaries = {
            membership.domain: PoolSummary("assistant", 9, 400, 0, standing_tier=0),
            "south": elsewhere,
        }
        self.patch(membership, "all_upstreams", lambda: records)
        self.patch(
            membership, "pool_summary", lambda pool, region, now: summaries[region]
        )
        await placer.obtain(job_of(), excluded=frozenset())
        first, *others = client.regions
        self.assertEqual(membership.domain, first)
        return tuple(others)

    async def test_a_region_whose_queue_stands_only_for_lower_tiers_is_asked(
        self,
    ) -> None:
        """Guards against a refused high tier while another region serves lower work.

        Another region was asked only if it had free slots.
        """
        busy = PoolSummary("assistant", 3, 90, 0, standing_tier=2)
        self.assertEqual(("south",), await self._regions(busy))

    async def test_a_region_that_absorbs_a_burst_is_left_to_its_callers(self) -> None:
        """Guards against a burst of one region that fills the queue of another."""
        busy = PoolSummary("assistant", 3, 90, 0)
        self.assertEqual((), await self._regions(busy))

    async def test_a_region_that_refuses_this_tier_is_not_asked(self) -> None:
        """Guards against callers who wait for a refusal from far away."""
        for tier in (0, 1):
            full = PoolSummary("assistant", 3, 90, 0, standing_tier=tier)
            self.assertEqual((), await self._regions(full))

    async def test_a_region_that_reports_nothing_is_not_asked(self) -> None:
        """Guards against callers who wait for a region that is out of reach."""
        self.assertEqual((), await self._regions(None))


class CallersTimeTests(TrioTestCase):
    """What a scheduler is asked for follows from the time that the caller has."""

    async def _ask(self, *jobs: Job) -> Ask:
        """Return the permit request of the last of several jobs."""
        client: Any = _GrantingClient()
        placer, _ = _placer(client)
        for job in jobs:
            await placer.obtain(job, excluded=frozenset())
        ask: Ask = client.asks[-1]
        return ask._replace(ask_id="")

    async def test_a_request_waits_as_long_as_its_caller(self) -> None:
        """Guards against 503 for a caller with 6 s left, as its objective is 300 ms."""
        found = route(objective_ms=300.0)
        ask = await self._ask(job_of(found, left_ms=6_000))
        self.assertEqual((6_000, NO_PART_LIMIT), (ask.deadline_ms, ask.aim_ms))

    async def test_a_stream_waits_until_its_caller_leaves(self) -> None:
        """Guards against a slot for a stream whose caller has left."""
        ask = await self._ask(job_of(STREAM_ROUTE, left_ms=15_000))
        self.assertEqual((15_000, 2_400), (ask.deadline_ms, ask.aim_ms))

    async def test_a_begun_stream_waits_from_its_last_event(self) -> None:
        """Guards against a stream that is resumed later than its caller waits."""
        job = job_of(STREAM_ROUTE, left_ms=15_000)
        begun = job._replace(last_part_ms=now_ms() - 400)
        ask = await self._ask(begun)
        self.assertEqual((2_000, job.rank), (ask.aim_ms, ask.tier))

    async def test_what_other_callers_state_changes_nothing(self) -> None:
        """Guards against a caller with 5 s that is taken for one that came back.

        A longer deadline had been seen on its route.
        """
        alone = await self._ask(job_of(left_ms=5_000))
        after = await self._ask(job_of(left_ms=15_000), job_of(left_ms=5_000))
        self.assertEqual(alone, after)

    async def test_the_objective_changes_nothing(self) -> None:
        """Guards against calls that are answered seven times as often elsewhere.

        Two routes that differ in their latency objective alone are served alike.
        """
        asks = [
            await self._ask(job_of(found._replace(objective_ms=objective_ms)))
            for found in (ROUTE, STREAM_ROUTE)
            for objective_ms in (200.0, 2_000.0)
        ]
        self.assertEqual(asks[0], asks[1])
        self.assertEqual(asks[2], asks[3])


def _placer(client: Any) -> tuple[PermitPlacer, EdgeState]:
    state = EdgeState(
        decode_settings(SETTINGS, source="test"),
        fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
    )
    fleet = EdgeFleet(state, VmEntry("vm-1", "z1", "north", "10.0.0.1:1", "b1"))
    for name in ("r1", "r2"):
        state.replicas.apply_update(
            replica_update(name, 1, service="assistant", born_ms=7)
        )
    fallback: Any = None
    ways = WayPlanner(fleet, RoundTrips())
    return PermitPlacer(client, fleet, fallback, EdgeQuotas(state), ways), state


def job_of(found: Route = ROUTE, *, left_ms: float = 5_000.0) -> Job:
    """Return a request on a route, with the time that its caller has left."""
    metadata = RequestMetadata("a1", "h", "/", "", left_ms, 10, 20, 0, True)
    request = CallerRequest(b"GET", b"/", (), RequestBody(b""), now_ms())
    return Job(
        request=request,
        metadata=metadata,
        route=found,
        service=SERVICES[1],
        customer=customer(rate_per_s=100.0, burst=10.0),
        rank=1,
        fingerprint="f",
        deadline_at_ms=now_ms() + left_ms,
    )
