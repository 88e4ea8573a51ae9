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
    """A zone under more calls than its engines hold at once."""

    def __init__(self, nursery: trio.Nursery, *, vm_count: int) -> None:
        self.nursery = nursery
        self.world = World(
            vms={f"v{index}": "z1" for index in range(vm_count)}, upstreams=ENGINES
        )
        self.outcomes: list[tuple[int, str]] = []
        self.started_count = 0

    async def fill(self) -> None:
        """Start the VMs, and calls until asks wait at the keeper."""
        await self.world.start(self.nursery)
        self.call(*(vm for _ in range(CALLS // len(self.world.vms)) for vm in self.vms))
        await trio.sleep(0.2)

    @property
    def vms(self) -> list[str]:
        """Names of the VMs."""
        return sorted(self.world.vms)

    @property
    def scheduler(self) -> str:
        """The VM that keeps the pool."""
        now_ms = self.world.now_ms()
        membership = self.world.vms[self.vms[0]].membership
        return str(membership.scheduler_of("assistant", "z1", now_ms))

    def waiting_count(self, vm: str) -> int:
        """Count the asks that wait at a VM."""
        pools = self.world.vms[vm].scheduler.schedulers().values()
        return sum(len(pool.queued_asks()) for pool in pools)

    def call(self, *vms: str) -> None:
        """Start a streamed call at each of the VMs named."""
        for vm in vms:
            self.started_count += 1
            self.nursery.start_soon(self._call, vm)

    async def drain(self, vm: str) -> None:
        """Drain a VM, and end it once its requests have ended."""
        self.world.vms[vm].drain()
        self.nursery.start_soon(self._end, vm)

    async def all_ended(self) -> None:
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
    """Every stream is whole, and what waits is asked of the next keeper."""

    async def test_a_full_scheduler_hands_its_queue_over(self) -> None:
        """Asks that wait at a draining keeper are granted by another."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.fill()
            scheduler = scene.scheduler
            self.assertGreater(scene.waiting_count(scheduler), 0)
            await scene.drain(scheduler)
            await trio.sleep(0.4)
            self.assertNotEqual(scheduler, scene.scheduler)
            self.assertEqual(0, scene.waiting_count(scheduler))
            await scene.all_ended()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            self.assertNotIn(scheduler, scene.vms)
            nursery.cancel_scope.cancel()

    async def test_two_vms_at_once_under_new_arrivals(self) -> None:
        """Keeper and next keeper drain together; calls keep coming to all."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.fill()
            first = scene.scheduler
            await scene.drain(first)
            second = next(vm for vm in scene.vms if vm != first)
            await scene.drain(second)
            for _ in range(5):
                scene.call(*scene.vms)
                await trio.sleep(0.1)
            await scene.all_ended()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            self.assertEqual(1, len(scene.vms))
            nursery.cancel_scope.cancel()

    async def test_a_whole_zone_drains(self) -> None:
        """VMs that all leave keep the pools among them until the last answer."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=2)
            await scene.fill()
            for vm in scene.vms:
                await scene.drain(vm)
            scene.call(*scene.vms)
            await scene.all_ended()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            nursery.cancel_scope.cancel()

    async def test_a_draining_vm_that_is_cut_off(self) -> None:
        """It keeps the pools itself, and serves what it has accepted."""
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery, vm_count=3)
            await scene.world.start(nursery)
            lonely = next(vm for vm in scene.vms if vm != scene.scheduler)
            for other in scene.vms:
                if other != lonely:
                    scene.world.cut_links.add(frozenset((lonely, other)))
                    scene.world.vms[lonely].membership.on_disconnected(other)
            scene.world.vms[lonely].drain()
            scene.call(*[lonely] * 5)
            await scene.all_ended()
            self.assertEqual({(200, "complete")}, set(scene.outcomes))
            nursery.cancel_scope.cancel()


class _Steps:
    """Roles and links that note what was asked of them."""

    def __init__(self) -> None:
        self.done: list[str] = []
        self.is_flushed = False

    def send_heartbeats(self) -> None:
        """Note a heartbeat."""
        self.done.append("beat")

    def hand_over(self) -> None:
        """Note that roles were handed over."""
        self.done.append("hand_over")


def made_drain(steps: _Steps, running: dict[str, Any], membership: Membership) -> Drain:
    """Return a shutdown of one second's notice."""
    return Drain(
        membership=membership,
        roles=steps,
        links=steps,
        running=running.keys(),
        notice_ms=1_000,
        finish_ms=5_000,
    )


def lone_membership() -> Membership:
    """Return the membership of a VM that knows no other."""
    return Membership(VmRecord("v", "z", "r", "v:1", False))


class _App:
    """An application whose requests end when they are told to."""

    def __init__(self) -> None:
        self.may_end = trio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await self.may_end.wait()


async def ignore(event: Any = None) -> Any:
    """Take an event, or give none."""


class DrainStepTests(TrioTestCase):
    """The steps of a shutdown, in their order and with their bounds."""

    async def test_readiness_goes_first_and_the_word_before_the_asks(self) -> None:
        """At once: no more roles, a heartbeat, then the asks; twice is once."""
        steps, membership = _Steps(), lone_membership()
        drain = made_drain(steps, {}, membership)
        drain.ask()
        drain.ask()
        self.assertTrue(membership.is_draining)
        self.assertEqual(["beat", "hand_over"], steps.done)
        started_s = trio.current_time()
        await drain.until_listener_closes()
        self.assertEqual(1.0, trio.current_time() - started_s)

    async def test_what_runs_is_never_cut(self) -> None:
        """A request that runs is waited for beyond every time of the settings."""
        running = {"r": 1}
        drain = made_drain(_Steps(), running, lone_membership())
        drain.ask()
        await drain.until_listener_closes()
        app = DrainMiddleware(_App(), is_draining=lambda: True)
        with trio.move_on_after(600) as scope:
            await drain.wait_for_requests(app)
        self.assertTrue(scope.cancelled_caught)
        running.clear()
        with trio.fail_after(1):
            await drain.wait_for_requests(app)

    async def test_a_request_that_never_comes_whole_is_bounded(self) -> None:
        """One that is still being received holds the exit for a bounded time."""
        drain = made_drain(_Steps(), {}, lone_membership())
        drain.ask()
        await drain.until_listener_closes()
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
        """While draining, kept connections are told to close; HTTP/2 is not."""
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
        """The end waits for the last messages, within a bound."""
        steps = _Steps()
        drain = made_drain(steps, {}, lone_membership())
        started_s = trio.current_time()
        await drain.until_flushed()
        self.assertEqual(2.0, trio.current_time() - started_s)
        steps.is_flushed = True
        await drain.until_flushed()
        self.assertEqual(2.0, trio.current_time() - started_s)
