"""Promise 6: an upstream that is leaving gets no new requests after three seconds."""

from collections.abc import AsyncIterator

import trio

from hemlocktrestle.daemon._list_follower import ListFollower
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Listing, UpstreamRecord
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.support import TrioTestCase, World
from tests.support._upstream import answer_normally

BOUND_S = 3.0
ZONES = {"v1": "z1", "v2": "z1", "v3": "z1", "w1": "z2"}


def engine(name: str, *, is_leaving: bool = False) -> UpstreamRecord:
    """Return the record of an engine in the first zone."""
    return UpstreamRecord(
        name, "z1", "region", f"{name}:1", "engine", ("assistant",), "g", is_leaving
    )


class FakeList:
    """The platform's list, with an answer set by the test; ``None`` is an outage."""

    def __init__(self, listing: Listing | None) -> None:
        self.listing = listing

    async def read(self) -> Listing:
        """Return the current list."""
        await trio.sleep(0.002)
        if self.listing is None:
            raise RequestError(ErrorKind.STORE_UNAVAILABLE, "no answer")
        return self.listing


async def nothing() -> AsyncIterator[bytes]:
    """Yield no piece of a body."""
    return
    yield b""


class RefusingUpstream:
    """An upstream that refuses requests; ``health`` is the status of its probe."""

    def __init__(self, *, health: int = 503) -> None:
        self.health = health
        self.is_refusing = True

    async def answer(self, call: UpstreamCall) -> UpstreamAnswer:
        """Refuse, or answer normally."""
        await trio.sleep(0.001)
        if call.target == "/health":
            return UpstreamAnswer(self.health, (), nothing())
        if self.is_refusing:
            return UpstreamAnswer(503, (), nothing())
        return await answer_normally(call)


class Scene:
    """VMs in two zones that poll a list, under continuous calls."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.world = World(vms=ZONES, upstreams=(engine("e1"), engine("e2")))
        self.platform = FakeList(self.world.listing)
        self.answers: list[int] = []

    async def start(self, *, every_s: float = 0.5) -> None:
        """Start the VMs, the polling of the list, and the calls."""
        await self.world.start(self.nursery)
        for vm in self.world.vms.values():
            follower = ListFollower(
                self.platform,
                vm.membership,
                peers_changed=lambda peers: None,
                now_ms=self.world.now_ms,
            )
            self.nursery.start_soon(follower.run)
        self.nursery.start_soon(self._call, every_s)

    def list_leaving(self, *names: str) -> None:
        """Mark upstreams as leaving in the list."""
        records = tuple(engine(name, is_leaving=name in names) for name in ("e1", "e2"))
        self.platform.listing = Listing(self.world.records, records)

    def dispatches_since(self, name: str, since_s: float) -> int:
        """Count the requests dispatched to an upstream since a time."""
        return sum(
            1
            for dispatch in self.world.upstreams.dispatches
            if dispatch.address == f"{name}:1"
            and dispatch.request_id
            and dispatch.at_s > since_s
        )

    def vms_dispatching_to(self, name: str) -> list[str]:
        """Return the VMs that would dispatch requests to an upstream."""
        now_ms = self.world.now_ms()
        return [
            vm.name
            for vm in self.world.vms.values()
            for record in vm.membership.upstreams("assistant", "z1", now_ms)
            if record.name == name
        ]

    async def _call(self, every_s: float) -> None:
        while True:
            for vm in list(self.world.vms):
                self.nursery.start_soon(self.call_once, vm)
            await trio.sleep(every_s)

    async def call_once(self, vm: str) -> None:
        """Make one call and record its status."""
        if vm in self.world.vms:
            answer = await self.world.chat(vm, "nurse", "hello")
            self.answers.append(answer.status)


class LeavingByListTests(TrioTestCase):
    """The platform's list marks an upstream as leaving."""

    async def _leave_by_list(self, *, store_is_down: bool) -> None:
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            await scene.start()
            scene.world.store.is_down = store_is_down
            await trio.sleep(2)
            self.assertGreater(scene.dispatches_since("e1", 0), 0)
            scene.list_leaving("e1")
            marked_s = trio.current_time()
            await trio.sleep(20)
            self.assertEqual(0, scene.dispatches_since("e1", marked_s + BOUND_S))
            self.assertEqual([], scene.vms_dispatching_to("e1"))
            self.assertGreater(scene.dispatches_since("e2", marked_s + BOUND_S), 0)
            self.assertEqual({200}, set(scene.answers))
            nursery.cancel_scope.cancel()

    async def test_no_new_work_after_the_list_says_so(self) -> None:
        """No VM of any zone dispatches to it three seconds after the list marks it."""
        await self._leave_by_list(store_is_down=False)

    async def test_no_new_work_while_the_store_is_down(self) -> None:
        """The time limit holds without the store."""
        await self._leave_by_list(store_is_down=True)

    async def test_a_list_that_is_down_takes_nothing_away(self) -> None:
        """During an outage of the list the last answer stays in force."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            await scene.start()
            await trio.sleep(2)
            scene.platform.listing = None
            await trio.sleep(20)
            self.assertEqual(len(ZONES), len(scene.vms_dispatching_to("e1")))
            self.assertEqual({200}, set(scene.answers))
            nursery.cancel_scope.cancel()

    async def test_a_list_that_empties_suddenly_takes_nothing_away(self) -> None:
        """An empty answer is not trusted, and calls go on."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            await scene.start()
            await trio.sleep(2)
            scene.platform.listing = Listing((), ())
            await trio.sleep(20)
            self.assertEqual(len(ZONES), len(scene.vms_dispatching_to("e1")))
            self.assertEqual({200}, set(scene.answers))
            nursery.cancel_scope.cancel()

    async def test_granted_permits_and_queued_asks(self) -> None:
        """Queued requests go elsewhere; a permit already granted is used in time."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            await scene.start()
            # More than both engines have slots, so that permit requests queue.
            for _ in range(6):
                for vm in scene.world.vms:
                    nursery.start_soon(scene.call_once, vm)
            await trio.sleep(0.03)
            queued_count = sum(
                len(scheduler.queued_asks())
                for vm in scene.world.vms.values()
                for scheduler in vm.scheduler.schedulers().values()
            )
            self.assertGreater(queued_count, 0)
            scene.list_leaving("e1")
            marked_s = trio.current_time()
            await trio.sleep(10)
            self.assertEqual(0, scene.dispatches_since("e1", marked_s + BOUND_S))
            self.assertGreater(scene.dispatches_since("e2", marked_s + BOUND_S), 0)
            nursery.cancel_scope.cancel()


class LeavingByRefusalTests(TrioTestCase):
    """The upstream itself refuses while the list still has it as live."""

    async def _refusing(self, scene: Scene, upstream: RefusingUpstream) -> float:
        scene.world.upstreams.behaviours["e1:1"] = upstream.answer
        await scene.start()
        while 503 not in scene.answers and 502 not in scene.answers:
            await trio.sleep(0.01)
        return trio.current_time()

    async def test_every_vm_knows_within_the_bound(self) -> None:
        """After one VM got a refusal, no VM dispatches to the upstream any more."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            refused_s = await self._refusing(scene, RefusingUpstream())
            await trio.sleep(BOUND_S)
            self.assertEqual([], scene.vms_dispatching_to("e1"))
            await trio.sleep(70)
            self.assertEqual(0, scene.dispatches_since("e1", refused_s + BOUND_S))
            self.assertGreater(scene.dispatches_since("e2", refused_s + BOUND_S), 0)
            nursery.cancel_scope.cancel()

    async def test_a_new_scheduler_knows_too(self) -> None:
        """VMs that take over the pool do not dispatch to it either."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            refused_s = await self._refusing(scene, RefusingUpstream())
            await trio.sleep(BOUND_S)
            for _ in range(2):
                scheduler = scene.world.vms["w1"].membership.scheduler_of(
                    "assistant", "z1", scene.world.now_ms()
                )
                scene.world.vms[str(scheduler)].kill()
                await trio.sleep(20)
            self.assertEqual(0, scene.dispatches_since("e1", refused_s + BOUND_S))
            self.assertGreater(scene.dispatches_since("e2", refused_s + 30), 0)
            nursery.cancel_scope.cancel()

    async def test_a_cut_between_requester_and_scheduler(self) -> None:
        """A refusal reaches the scheduler through other VMs."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            scene.world.upstreams.behaviours["e1:1"] = RefusingUpstream().answer
            await scene.world.start(nursery)
            now_ms = scene.world.now_ms()
            requester, other, *_ = scene.world.vms
            scene.world.cut_links.add(frozenset((requester, other)))
            scene.world.vms[requester].membership.record_refusal("e1", now_ms)
            await trio.sleep(BOUND_S)
            self.assertEqual([], scene.vms_dispatching_to("e1"))
            nursery.cancel_scope.cancel()

    async def test_it_comes_back_when_it_says_so(self) -> None:
        """An upstream whose probe succeeds gets requests again."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            refusing = RefusingUpstream()
            await self._refusing(scene, refusing)
            await trio.sleep(10)
            refusing.is_refusing, refusing.health = False, 200
            back_s = trio.current_time()
            await trio.sleep(30)
            self.assertEqual(len(ZONES), len(scene.vms_dispatching_to("e1")))
            self.assertGreater(scene.dispatches_since("e1", back_s), 0)
            nursery.cancel_scope.cancel()

    async def test_one_without_a_health_route_is_left_alone_longer(self) -> None:
        """An upstream without a health route gets no requests for a minute."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            refused_s = await self._refusing(scene, RefusingUpstream(health=404))
            await trio.sleep(58)
            self.assertEqual(0, scene.dispatches_since("e1", refused_s + BOUND_S))
            nursery.cancel_scope.cancel()


class StaleSchedulerTests(TrioTestCase):
    """A scheduler that stood still knows less than the VMs that ask it."""

    async def test_the_requesters_own_listing_decides(self) -> None:
        """Guards against requests to an upstream that the scheduler takes for live."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            world = scene.world
            await world.start(nursery)
            await trio.sleep(2)
            records = (engine("e1", is_leaving=True), engine("e2"))
            listing = Listing(world.records, records)
            member = world.vms["v1"].membership
            scheduler = member.scheduler_of("assistant", "z1", world.now_ms())
            requesters = {"v1", "v2", "v3"} - {scheduler}
            for name in requesters:
                world.vms[name].membership.apply_listing(listing)
            for _ in range(10):
                for name in requesters:
                    await scene.call_once(name)
            self.assertEqual(0, scene.dispatches_since("e1", 0))
            self.assertEqual([200] * 20, scene.answers)
            nursery.cancel_scope.cancel()
