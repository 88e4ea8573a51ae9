"""Tests of where a scheduler and a VM send requests while an order runs."""

from collections import Counter

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.rollouts._gate import RolloutGate
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.rollout import Order, Phase, Use
from hemlocktrestle.wire import Ask, Message, Permit, Release, RolloutGrant
from tests.edge.rollouts.fleet import ROLLOUT_SETTINGS, SERVICE
from tests.gateway.records import replica_update
from tests.platform.documents import SETTINGS
from tests.support import TrioTestCase

OLD = tuple(f"old-{number}" for number in range(10))
NEW = tuple(f"new-{number}" for number in range(10))


class _Pool:
    """A scheduler of one pool with ten replicas of each version."""

    def __init__(self, settings: dict[str, object] = ROLLOUT_SETTINGS) -> None:
        self.state = EdgeState(
            decode_settings(settings, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        for born_ms, name in enumerate(OLD + NEW):
            version = "v1" if name in OLD else "v2"
            self.state.replicas.apply_update(
                replica_update(name, 1, version=version, born_ms=born_ms + 1, slots=8)
            )
        self.rollouts = self.state.rollouts
        self.rollouts.on_replicas_changed()
        vm = VmRecord("vm", "z", "r", "vm:1", is_leaving=False)
        membership = Membership(vm)
        upstreams = tuple(
            UpstreamRecord(name, "z", "r", name, "plain", (SERVICE,), "", False, 8)
            for name in OLD + NEW
        )
        membership.apply_listing(Listing((vm,), upstreams))
        self.permits: list[Permit] = []
        self.task = SchedulerTask(
            membership,
            reply=self._reply,
            now_ms=now_ms,
            policy=lambda: "time_left",
            acknowledges=True,
            versions=RolloutGate(self.rollouts, now_ms=now_ms),
        )
        self.rollouts.on_changed = self.task.refresh
        self._count = 0

    def _reply(self, vm: str, message: Message) -> bool:
        if isinstance(message, Permit):
            self.permits.append(message)
        return True

    def grant(self, phase: Phase, elapsed_ms: float = 0.0) -> None:
        """Let the leader grant a phase."""
        grant = RolloutGrant(SERVICE, "v2", 12_000, phase.value, elapsed_ms)
        self.rollouts.on_grant("leader", grant)

    async def send(
        self, count: int, *, failing: frozenset[str] = frozenset()
    ) -> Counter[str]:
        """Send requests one after the other; return how many each version got."""
        got: Counter[str] = Counter()
        for _ in range(count):
            self._count += 1
            ask = Ask(
                f"a{self._count}", SERVICE, "c", 0, 1.0, 1, 1, 0, 2_000,
                route=f"route-{self._count % 2}",
            )  # fmt: skip
            self.task.on_message("vm", ask)
            await trio.sleep(0.005)
            permit = self.permits.pop()
            version = "v1" if permit.upstream in OLD else "v2"
            got[version] += 1
            got[permit.upstream] += 1
            status = 500 if version in failing else 200
            failure = "upstream_broken" if version in failing else ""
            self.task.on_message(
                "vm",
                Release(
                    ask.ask_id, SERVICE, permit.upstream, True, failure, 20, 20, 1, 1,
                    status,
                ),
            )  # fmt: skip
        return got


class SchedulerTests(TrioTestCase):
    """A scheduler keeps the target to its share, and stops it by itself."""

    async def _run(self, pool: _Pool, nursery: trio.Nursery) -> None:
        nursery.start_soon(pool.task.run)
        await trio.sleep(0.01)

    async def test_a_version_that_no_order_explains_gets_nothing(self) -> None:
        """Its order may not have been read yet."""
        pool = _Pool()
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            got = await pool.send(50)
            self.assertEqual((50, 0), (got["v1"], got["v2"]))
            await trio.sleep(3)
            pool.rollouts.on_orders_confirmed()
            pool.task.refresh()
            got = await pool.send(100)
            self.assertLess(20, got["v2"])
            nursery.cancel_scope.cancel()

    async def test_without_the_contract_all_versions_are_used(self) -> None:
        """Deployments without roll-outs are served as before."""
        pool = _Pool(SETTINGS)
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            got = await pool.send(100)
            self.assertLess(20, got["v2"])
            nursery.cancel_scope.cancel()

    async def test_the_canary_goes_to_few_replicas_and_within_its_share(self) -> None:
        """Half of the share, and half of the slack of one of two regions."""
        pool = _Pool()
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            pool.grant(Phase.CANARY)
            got: Counter[str] = Counter()
            for _ in range(4):
                got += await pool.send(100)
                pool.grant(Phase.CANARY)
            self.assertLessEqual(20, got["v2"])
            self.assertLessEqual(got["v2"], 400 * 0.05 + 12.5)
            self.assertEqual(2, len([name for name in NEW if got[name]]))
            nursery.cancel_scope.cancel()

    async def test_a_bad_version_is_stopped_without_the_leader(self) -> None:
        """The scheduler that sees the failures sends nothing more to it."""
        pool = _Pool()
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            pool.grant(Phase.CANARY)
            await pool.send(60, failing=frozenset({"v2"}))
            pool.rollouts.examine()
            self.assertEqual(Phase.STOPPED, pool.rollouts.followers[SERVICE].phase)
            pool.grant(Phase.CANARY)
            got = await pool.send(60)
            self.assertEqual(0, got["v2"])
            nursery.cancel_scope.cancel()

    async def test_the_shift_moves_all_and_an_old_grant_moves_back(self) -> None:
        """A scheduler that hears nothing from the leader uses the old version."""
        pool = _Pool()
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            pool.grant(Phase.CANARY)
            pool.grant(Phase.SHIFTING)
            got = await pool.send(50)
            self.assertEqual((0, 50), (got["v1"], got["v2"]))
            await trio.sleep(3)
            got = await pool.send(50)
            self.assertEqual((50, 0), (got["v1"], got["v2"]))
            pool.grant(Phase.COMPLETED)
            await trio.sleep(5)
            got = await pool.send(50)
            self.assertEqual((0, 50), (got["v1"], got["v2"]))
            nursery.cancel_scope.cancel()

    async def test_requests_of_a_vm_that_is_gone_do_not_count(self) -> None:
        """Guards against waiting for ends that nobody reports."""
        pool = _Pool()
        async with trio.open_nursery() as nursery:
            await self._run(pool, nursery)
            pool.grant(Phase.CANARY)
            ask = Ask("lost", SERVICE, "c", 0, 1.0, 1, 1, 0, 2_000, route="r")
            pool.task.on_message("gone", ask)
            await trio.sleep(0.01)
            order = Order(SERVICE, "v2", 12_000)
            before = pool.rollouts._old_count(order) + len(pool.permits)
            pool.task.on_requester_disconnected("gone")
            await trio.sleep(0.01)
            self.assertLess(0, before)
            self.assertEqual(0, pool.rollouts._old_count(order))
            nursery.cancel_scope.cancel()


class PlacementTests(TrioTestCase):
    """A VM's own check, right before it sends."""

    async def test_the_target_is_forbidden_after_a_stop(self) -> None:
        """A permit that came before the verdict is given back unused."""
        rollouts = _Pool().rollouts
        for phase in (Phase.CANARY, Phase.SHIFTING, Phase.STOPPED):
            grant = RolloutGrant(SERVICE, "v2", 12_000, phase.value, 0.0)
            rollouts.on_grant("leader", grant)
            found = rollouts.forbidden_ids("new-0", has_permit=True)
            self.assertEqual(phase is Phase.STOPPED, bool(found))
            self.assertEqual(
                frozenset(), rollouts.forbidden_ids("old-0", has_permit=True)
            )
        self.assertEqual(frozenset(NEW), found)

    async def test_without_a_permit_the_canary_is_not_used(self) -> None:
        """What is placed alone is counted by no scheduler."""
        rollouts = _Pool().rollouts
        ready = rollouts.versions.ready(SERVICE)

        def used() -> set[str]:
            return {record.version for record in rollouts.usable_locally(ready)}

        self.assertEqual({"v1"}, used())
        wanted = {Phase.CANARY: "v1", Phase.SHIFTING: "v2", Phase.COMPLETED: "v2"}
        for phase, version in wanted.items():
            grant = RolloutGrant(SERVICE, "v2", 12_000, phase.value, 0.0)
            rollouts.on_grant("leader", grant)
            self.assertEqual({version}, used())
            self.assertEqual(
                phase is Phase.CANARY,
                bool(rollouts.forbidden_ids("new-0", has_permit=False)),
            )

    async def test_a_version_that_was_rolled_back_is_not_the_next_ones_old(
        self,
    ) -> None:
        """Its replicas drain some seconds later."""
        rollouts = _Pool().rollouts
        for target, phase in (("v2", Phase.ROLLED_BACK), ("v3", Phase.CANARY)):
            grant = RolloutGrant(SERVICE, target, 12_000, phase.value, 0.0)
            rollouts.on_grant("leader", grant)
        self.assertEqual(Use.NOTHING, rollouts.use(SERVICE, "v2"))
        self.assertEqual(Use.ALL, rollouts.use(SERVICE, "v1"))
