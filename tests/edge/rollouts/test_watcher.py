"""Tests of what a VM that schedules nothing knows of versions."""

import trio

from hemlocktrestle.rollout import Phase, Use
from tests.edge.rollouts.fleet import SERVICE, running_fleet
from tests.gateway.records import replica_update
from tests.support import TrioTestCase


class FollowingVmTests(TrioTestCase):
    """It places requests itself, or takes the role, while the store may be away."""

    async def test_a_version_without_an_order_is_used_when_the_store_is_away(
        self,
    ) -> None:
        """The orders were read before, once, and nothing is watched."""
        async with running_fleet() as fleet:
            fleet.not_watching.add("c")
            vm = fleet.vms["c"]
            await trio.sleep(1.5)
            self.assertEqual(Use.NOTHING, vm.use("v2"))
            await trio.sleep(3)
            self.assertEqual(1, vm.rollouts.read_count)
            fleet.store.status = 503
            await trio.sleep(10)
            self.assertEqual((Use.ALL, Use.ALL), (vm.use("v1"), vm.use("v2")))
            self.assertEqual(1, vm.rollouts.read_count)

    async def test_the_target_of_an_order_gets_nothing_without_a_grant(self) -> None:
        """A VM that hears of no leader reads the order before it admits versions."""
        async with running_fleet() as fleet:
            fleet.not_watching.add("c")
            fleet.cut.add("c")
            fleet.order()
            await trio.sleep(6)
            vm = fleet.vms["c"]
            self.assertEqual((Use.ALL, Use.NOTHING), (vm.use("v1"), vm.use("v2")))
            self.assertIsNotNone(vm.rollouts.followers[SERVICE].order)

    async def test_a_version_released_after_a_completed_order_is_used(self) -> None:
        """While replicas of the order's target are still there, and no old ones."""
        async with running_fleet() as fleet:
            fleet.order()
            await fleet.until(Phase.COMPLETED)
            update = replica_update("r9", 1, version="v3", born_ms=900)
            fleet.registry.apply_update(update)
            for vm in fleet.vms.values():
                vm.rollouts.on_replicas_changed()
            self.assertEqual(Use.NOTHING, fleet.vms["a"].use("v3"))
            await trio.sleep(8)
            for vm in fleet.vms.values():
                uses = [vm.use(version) for version in ("v1", "v2", "v3")]
                self.assertEqual([Use.NOTHING, Use.ALL, Use.ALL], uses)
