"""Promise 7: a graceful shutdown cuts off no request in flight."""

from typing import Any

import trio

from hemlocktrestle.daemon._drain import Drain, DrainMiddleware
from hemlocktrestle.membership import Membership, UpstreamRecord, VmRecord
from tests.support import TrioTestCase, World

ENGINES = tuple(
    UpstreamRecord(
        name, "z1", "region", f"{name}:1", "engine", ("assistant",), "g", False
    )
    for name in ("e1", "e2")
)
CALLS = 40


class Scene:
    """A zone with more calls than its engines have slots."""

    def __init__(self, nursery: trio.Nursery, *, vm_count: int) -> None:
        self.nursery = nursery
        self.world = World(
            vms={f"v{index}": "z1" for index in range(vm_count)}, upstreams=ENGINES
        )
        self.outcomes: list[tuple[int, str]] = []
        self.started_count = 0

    async def fill_queue(self) -> None:
        """Start the VMs, and calls until permit requests queue at the scheduler."""
        await self.world.start(self.nursery)
        self.call(*(vm for _ in range(CALLS // len(self.world.vms)) for vm in self.vms))
        await trio.sleep(0.2)

    @property
    def vms(self) -> list[str]:
        """Names of the VMs."""
        return sorted(self.world.vms)

    @property
    def scheduler(self) -> str:
        """The VM that schedules the pool."""
        now_ms = self.world.now_ms()
        membership = self.world.vms[self.vms[0]].membership
        return str(membership.scheduler_of("assistant", "z1", now_ms))

    def queued_count(self, vm: str) -> int:
        """Count the permit requests queued at a VM."""
        pools = self.world.vms[vm].scheduler.schedulers().values()
        return sum(len(pool.queued_asks()) for pool in pools)

    def call(self, *vms: str) -> None:
        """Start a streamed call at each of these VMs."""
        for vm in vms:
            self.started_count += 1
            self.nursery.start_soon(self._call, vm)

    async def drain(self, vm: str) -> None:
        """Drain a VM, and kill it once its requests have ended."""
        self.world.vms[vm].drain()
        self.nursery.start_soon(self._end, vm)

    async def wait_for_answers(self) -> None:
        """Wait for the answers to all calls."""
        while len(self.outcomes) < self.started_count:
            await trio.sleep(0.1)

    async def _end(self, vm: str) -> None:
        while self.world.vms[vm].request_service.running:
            await trio.sleep(0.05)
        self.world.vms[vm].kill()

    async def _call(self, vm: str) -> None:
        answer = await self.world.chat(vm, "nurse", vm, stream=True, max_tokens=60)
        self.outcomes.append((answer.status, answer.outcome))


class DrainTests(TrioTestCase):
    """Every stream is complete, and queued requests move to the next scheduler."""

    async def test_a_scheduler_hands_its_queue_over(self) -> None:
        """Permit requests queued at a draining scheduler are granted by another."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.fill_queue()
            scheduler = scene.scheduler
            self.assertGreater(scene.queued_count(scheduler), 0)
            await scene.drain(scheduler)
            await trio.sleep(0.4)
            self.assertNotEqual(scheduler, scene.scheduler)
            self.assertEqual(0, scene.queued_count(scheduler))
            await scene.wait_for_answers()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            self.assertNotIn(scheduler, scene.vms)
            nursery.cancel_scope.cancel()

    async def test_two_vms_at_once_under_new_arrivals(self) -> None:
        """The scheduler and its successor drain together under continuous calls."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.fill_queue()
            first = scene.scheduler
            await scene.drain(first)
            second = next(vm for vm in scene.vms if vm != first)
            await scene.drain(second)
            for _ in range(5):
                scene.call(*scene.vms)
                await trio.sleep(0.1)
            await scene.wait_for_answers()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            self.assertEqual(1, len(scene.vms))
            nursery.cancel_scope.cancel()

    async def test_a_whole_zone_drains(self) -> None:
        """If all VMs drain, they schedule the pools until the last answer."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=2)
            await scene.fill_queue()
            for vm in scene.vms:
                await scene.drain(vm)
            scene.call(*scene.vms)
            await scene.wait_for_answers()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            nursery.cancel_scope.cancel()

    async def test_a_draining_vm_that_is_cut_off(self) -> None:
        """It schedules the pools itself, and serves the requests that it accepted."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.world.start(nursery)
            cut_off = next(vm for vm in scene.vms if vm != scene.scheduler)
            for other in scene.vms:
                if other != cut_off:
                    scene.world.cut_links.add(frozenset((cut_off, other)))
                    scene.world.vms[cut_off].membership.on_disconnected(other)
            scene.world.vms[cut_off].drain()
            scene.call(*[cut_off] * 5)
            await scene.wait_for_answers()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            nursery.cancel_scope.cancel()


class _RecordedSteps:
    """Roles and links that record the calls made on them."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.is_flushed = False

    def send_heartbeats(self) -> None:
        """Record a heartbeat."""
        self.done.append("beat")

    def hand_over(self) -> None:
        """Record that pools were handed over."""
        self.done.append("hand_over")


def new_drain(
    steps: _RecordedSteps, running: dict[str, Any], membership: Membership
) -> Drain:
    """Return a shutdown with a notice of one second."""
    return Drain(
        membership=membership,
        roles=steps,
        links=steps,
        running=running.keys(),
        notice_ms=1_000,
        finish_ms=5_000,
    )


def lone_membership() -> Membership:
    """Return the membership of a VM without peers."""
    return Membership(VmRecord("v", "z", "r", "v:1", False))


class _App:
    """An application whose requests end when the test lets them."""

    def __init__(self) -> None:
        self.may_end = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await self.may_end.wait()


async def ignore(event: Any = None) -> Any:
    """Stand in for ``receive`` and ``send``; do nothing."""


class DrainStepTests(TrioTestCase):
    """The steps of a shutdown, their order and their time limits."""

    async def test_the_heartbeat_precedes_the_hand_over(self) -> None:
        """The VM is marked, sends a heartbeat, then hands over, and only once."""
        steps, membership = _RecordedSteps(), lone_membership()
        drain = new_drain(steps, {}, membership)
        drain.begin()
        drain.begin()
        self.assertTrue(membership.is_draining)
        self.assertEqual(["beat", "hand_over"], steps.done)
        started_s = trio.current_time()
        await drain.wait_for_listener_close()
        self.assertEqual(1.0, trio.current_time() - started_s)

    async def test_what_runs_is_never_cut(self) -> None:
        """A running request is waited for, longer than every configured time."""
        running = {"r": 1}
        drain = new_drain(_RecordedSteps(), running, lone_membership())
        drain.begin()
        await drain.wait_for_listener_close()
        app = DrainMiddleware(_App(), is_draining=lambda: True)
        with trio.move_on_after(600) as scope:
            await drain.wait_for_requests(app)
        self.assertTrue(scope.cancelled_caught)
        running.clear()
        with trio.fail_after(1):
            await drain.wait_for_requests(app)

    async def test_an_incomplete_request_is_bounded(self) -> None:
        """A request that is still being received delays the exit for a limited time."""
        drain = new_drain(_RecordedSteps(), {}, lone_membership())
        drain.begin()
        await drain.wait_for_listener_close()
        inner = _App()
        app = DrainMiddleware(inner, is_draining=lambda: True)
        async with trio.open_nursery() as nursery:
            scope = {"type": "http", "http_version": "1.1"}
            nursery.start_soon(app, scope, ignore, ignore)
            await trio.sleep(0)
            started_s = trio.current_time()
            await drain.wait_for_requests(app)
            waited_s = trio.current_time() - started_s
            self.assertGreaterEqual(waited_s, 5)
            self.assertLess(waited_s, 7)
            inner.may_end.set()

    async def test_answers_close_their_connections(self) -> None:
        """While draining, HTTP/1 answers close the connection, not HTTP/2 answers."""
        for version, expected in (("1.1", [(b"connection", b"close")]), ("2", [])):
            inner = _App()
            inner.may_end.set()
            heads: list[Any] = []

            async def send(event: Any, heads: list[Any] = heads) -> None:
                heads.append(event["headers"])

            app = DrainMiddleware(inner, is_draining=lambda: True)
            await app({"type": "http", "http_version": version}, ignore, send)
            self.assertEqual([expected], heads)

    async def test_links_stay_until_flushed(self) -> None:
        """The shutdown waits a limited time for the last messages to be sent."""
        steps = _RecordedSteps()
        drain = new_drain(steps, {}, lone_membership())
        started_s = trio.current_time()
        await drain.wait_for_flush()
        self.assertEqual(2.0, trio.current_time() - started_s)
        steps.is_flushed = True
        await drain.wait_for_flush()
        self.assertEqual(2.0, trio.current_time() - started_s)
