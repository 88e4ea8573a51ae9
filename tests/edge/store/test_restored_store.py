"""Tests of one VM while the store comes back from an older copy."""

import trio

from hemlocktrestle.platform import PlatformStore
from hemlocktrestle.wire import Heartbeat, ReplicaBatch, ReplicaNews
from tests.edge.store.restored_vm import (
    BUSY_KEY,
    ENTRY,
    LOST_WRITES,
    VM_KEY,
    RestoredStoreTestCase,
    RestoredVm,
)
from tests.edge.store.test_watchers import APPLY_S, RETURN_S
from tests.platform.documents import REGISTRATION, as_bytes, changed

CALLS_MAX = 150
"""Most calls in ten seconds of a VM whose three tasks each retry as after a failure.

A task that begins anew makes two calls, twice a second on the average.
"""

REWRITE_S = 1.2
"""Time in which a VM writes its own entries again, in seconds.

A renewal of its lease, by which it would notice too, may be three seconds away.
"""


class ReplicasTests(RestoredStoreTestCase):
    """What the lost seconds said of replicas holds until they had time to write."""

    async def test_one_registered_in_the_lost_seconds(self) -> None:
        """It is used meanwhile, and gone if it does not register again."""
        for is_cut in (False, True):

            async def check(vm: RestoredVm, is_cut: bool = is_cut) -> None:
                copy = vm.lose_seconds()
                vm.register("r2")
                vm.register("r3")
                await trio.sleep(1.5)
                vm.store.status = 503 if is_cut else 0
                await trio.sleep(2.0 if is_cut else 0)
                vm.store.restore(copy)
                await trio.sleep(1.0)
                self.assertEqual(["r1", "r2", "r3"], vm.replicas)
                vm.store.status = 0
                await trio.sleep(1.0)
                self.assertEqual(["r1", "r2", "r3"], vm.replicas)
                vm.register("r2")
                await trio.sleep(RETURN_S)
                self.assertEqual(["r1", "r2"], vm.replicas)

            await self.run_with(check)

    async def test_one_that_left_in_the_lost_seconds(self) -> None:
        """The copy that still lists it does not bring it back; a later start does."""

        async def check(vm: RestoredVm) -> None:
            vm.register("r2")
            await trio.sleep(1)
            copy = vm.lose_seconds()
            vm.store.remove("servers/r1")
            vm.register("r2", state="draining")
            await trio.sleep(1.5)
            self.assertEqual([], vm.replicas)
            vm.store.restore(copy)
            for _ in range(15):
                await trio.sleep(0.1)
                self.assertEqual([], vm.replicas)
            vm.store.remove("servers/r1")
            vm.register("r2", state="draining")
            await trio.sleep(2 * RETURN_S)
            self.assertEqual([], vm.replicas)
            later = changed(REGISTRATION, "born", REGISTRATION["born"] + 1)
            vm.store.put("servers/r1", as_bytes(later))
            await trio.sleep(1.5)
            self.assertEqual(["r1"], vm.replicas)

        await self.run_with(check)

    async def test_a_watch_position_that_exists_again(self) -> None:
        """Guards against a removal that lies before the old position, unseen."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            await trio.sleep(3)
            vm.store.restore(copy)
            vm.store.remove("servers/r1")
            vm.register("r2")
            for number in range(2 * LOST_WRITES):
                vm.store.put(f"other/{number}", b"")
            await trio.sleep(2 * RETURN_S)
            self.assertEqual(["r2"], vm.replicas)

        await self.run_with(check)

    async def test_two_restores_in_a_row(self) -> None:
        """What the second copy lacks is not believed for the first one's sake."""

        async def check(vm: RestoredVm) -> None:
            first = vm.lose_seconds()
            vm.register("r2")
            vm.register("r3")
            vm.configure(11)
            second = vm.lose_seconds()
            await trio.sleep(1.5)
            vm.store.restore(second)
            await trio.sleep(0.5)
            vm.store.restore(first)
            await trio.sleep(1.5)
            self.assertEqual((11, ["r1", "r2", "r3"]), (vm.version, vm.replicas))
            vm.register("r3")
            await trio.sleep(RETURN_S)
            self.assertEqual((11, ["r1", "r3"]), (vm.version, vm.replicas))
            vm.configure(12)
            await trio.sleep(APPLY_S)
            self.assertEqual(12, vm.version)

        await self.run_with(check)


class ConfigurationTests(RestoredStoreTestCase):
    """A configuration in force is never replaced by an earlier version."""

    async def test_one_written_in_the_lost_seconds(self) -> None:
        """It stays in force, is confirmed when written again, and replaced later."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            vm.configure(11)
            await trio.sleep(1.5)
            vm.store.restore(copy)
            vm.store.calls.clear()
            await trio.sleep(5)
            self.assertEqual(11, vm.version)
            # It is followed from where the new era is, and read once.
            self.assertEqual(1, vm.store.calls.count("GET /kv-key"))
            vm.configure(11)
            await trio.sleep(APPLY_S)
            vm.configure(12)
            await trio.sleep(APPLY_S)
            self.assertEqual([10, 11, 12], vm.versions[-3:])
            self.assertEqual(12, vm.version)

        async def recording(vm: RestoredVm) -> None:
            vm.versions.append(vm.version)
            vm.state.on_configuration = lambda: vm.versions.append(vm.version)
            await check(vm)

        await self.run_with(recording)


class UnstatedEraTests(RestoredStoreTestCase):
    """A store that came back older without saying so is not called without pause."""

    async def test_a_position_that_the_store_does_not_have(self) -> None:
        """Guards against a task that asks again and again from its old position."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            vm.configure(11)
            await trio.sleep(1.5)
            vm.store.restore(copy)
            vm.store.era_text = ""
            before = vm.client.call_count
            with trio.move_on_after(10):
                while vm.client.call_count - before < CALLS_MAX:
                    await trio.sleep(0.1)
            self.assertLess(vm.client.call_count - before, CALLS_MAX)
            self.assertEqual((11, ["r1"]), (vm.version, vm.replicas))

        await self.run_with(check)


class OwnEntriesTests(RestoredStoreTestCase):
    """What the system wrote is written again by who holds it, with a new lease."""

    async def test_a_lost_entry_is_written_again(self) -> None:
        """It had been acknowledged, and the VM hears of the loss by other calls."""

        async def check(vm: RestoredVm) -> None:
            self.assertNotIn(VM_KEY, vm.store.entries)
            await trio.sleep(REWRITE_S)
            self.assertIn(VM_KEY, vm.store.entries)

        await self.run_with(check, is_early=True)

    async def test_a_lease_id_given_out_again(self) -> None:
        """Its new holder's entry lives as long as that holder wants."""

        async def check(vm: RestoredVm) -> None:
            async with PlatformStore("10.0.0.1:80", backend=vm.backend) as other:
                lease = await other.grant_lease(10_000)
                lease_id = lease if isinstance(lease, int) else lease.lease_id
                await other.put("hemlocktrestle/other", b"", lease=lease_id)
                await trio.sleep(12)
                self.assertIn(VM_KEY, vm.store.entries)
                self.assertNotEqual(lease_id, vm.store.entries[VM_KEY].lease)
                await vm.registrar.deregister()
                self.assertNotIn(VM_KEY, vm.store.entries)
                self.assertIn("hemlocktrestle/other", vm.store.entries)

        await self.run_with(check, is_early=True)

    async def test_a_process_that_ends_as_the_store_returns(self) -> None:
        """Guards against the end of a lease that is another holder's by then."""

        async def check(vm: RestoredVm) -> None:
            lease_id = vm.store.entries[VM_KEY].lease
            copy = vm.lose_seconds()
            vm.store.restore(copy)
            vm.store.put("hemlocktrestle/other", b"", lease=lease_id)
            await vm.registrar.deregister()
            self.assertIn("hemlocktrestle/other", vm.store.entries)

        await self.run_with(check)

    async def test_busy_customers_are_not_tied_to_another_lease(self) -> None:
        """Guards against a record that ends with another holder's lease."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            vm.busy = {"clinics"}
            await trio.sleep(1.5)
            lease_id = vm.store.entries[BUSY_KEY].lease
            vm.store.restore(copy)
            while max(vm.store.leases) < lease_id:
                await vm.client.grant_lease(60_000)
            for _ in range(80):
                await trio.sleep(0.05)
                entry = vm.store.entries.get(BUSY_KEY)
                self.assertTrue(entry is None or entry.lease != lease_id)
            self.assertIn(BUSY_KEY, vm.store.entries)
            vm.store.end_lease(lease_id)
            self.assertIn(BUSY_KEY, vm.store.entries)

        await self.run_with(check)

    async def test_a_vm_whose_entry_is_lost_stays_for_the_time_of_a_lease(self) -> None:
        """Guards against schedulers that move away from live VMs and back."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            other = ENTRY._replace(vm="vm-2", address="10.0.0.2:7600")
            vm.store.put("hemlocktrestle/vms/vm-2", as_bytes(other._asdict()))
            await trio.sleep(4)
            vm.store.restore(copy)
            for _ in range(18):
                await trio.sleep(0.5)
                self.assertEqual(["vm-1", "vm-2"], vm.vms())
            await trio.sleep(6)
            self.assertEqual(["vm-1"], vm.vms())

        await self.run_with(check)


class OtherErasTests(RestoredStoreTestCase):
    """VMs and a store of the era before are not believed."""

    async def test_a_vm_that_has_not_seen_the_restore(self) -> None:
        """What it knows, under higher numbers, overwrites nothing."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            vm.store.restore(copy)
            vm.register("r1")
            await trio.sleep(2 * RETURN_S)
            old = ReplicaNews("r1", 10_000, False, "ledger", "10.0.0.9:80", "z1", 4)
            exchange = vm.fleet.replica_exchange
            exchange.on_news("vm-2", old._replace(is_draining=True))
            exchange.on_batch("vm-2", ReplicaBatch(1, 10_000, True, ()))
            exchange.on_batch("vm-2", ReplicaBatch(2, 10_001, False, (old,)))
            self.assertEqual(["r1"], vm.replicas)
            found = vm.state.replicas.find("r1")
            assert found is not None
            self.assertNotEqual("10.0.0.9:80", found.address)
            vm.register("r1", state="draining")
            await trio.sleep(1.5)
            self.assertEqual([], vm.replicas)

        await self.run_with(check)

    async def test_a_store_of_the_era_before(self) -> None:
        """A VM that has heard of the restore waits until it reaches the new era."""

        async def check(vm: RestoredVm) -> None:
            copy = vm.lose_seconds()
            heard = Heartbeat(0, "", 0, False, store_era=1)
            vm.fleet.on_heartbeat("vm-2", heard)
            vm.register("r1", state="draining")
            vm.configure(11)
            await trio.sleep(4)
            self.assertEqual((10, ["r1"]), (vm.version, vm.replicas))
            self.assertFalse(vm.fleet.heartbeat().follows_replicas)
            vm.store.restore(copy)
            vm.register("r2")
            vm.configure(12)
            await trio.sleep(APPLY_S)
            self.assertEqual((12, ["r1", "r2"]), (vm.version, vm.replicas))
            self.assertTrue(vm.fleet.heartbeat().follows_replicas)

        await self.run_with(check)

    async def test_a_cut_vm_learns_of_the_restore_from_a_relay(self) -> None:
        """It takes the replicas of the new era from it, and no others."""

        async def check(vm: RestoredVm) -> None:
            vm.store.silent = True
            await trio.sleep(4)
            exchange = vm.fleet.replica_exchange
            large = ENTRY._replace(cpu_cores=2.0)
            vm.fleet.apply_vms([large._replace(vm=name) for name in ("vm-2", "vm-3")])
            for name, era in (("vm-3", 0), ("vm-2", 1)):
                told = Heartbeat(0, "", 0, False, follows_replicas=True, store_era=era)
                vm.fleet.on_heartbeat(name, told)
            ready = ReplicaNews("r5", 3, False, "ledger", "10.0.0.9:80", "z1", 4, era=1)
            for name in ("vm-2", "vm-3"):
                exchange.on_batch(name, ReplicaBatch(6, 900, True, ()))
                self.assertFalse(exchange.is_relayed)
            exchange.on_batch("vm-2", ReplicaBatch(7, 4, True, (ready,), era=1))
            self.assertTrue(exchange.is_relayed)
            self.assertEqual(["r1", "r5"], vm.replicas)
            again = Heartbeat(0, "", 0, False, follows_replicas=True, store_era=2)
            vm.fleet.on_heartbeat("vm-2", again)
            self.assertFalse(exchange.is_relayed)
            exchange.on_batch("vm-2", ReplicaBatch(9, 3, True, (), era=2))
            self.assertTrue(exchange.is_relayed)
            await trio.sleep(RETURN_S)
            self.assertEqual(["r1", "r5"], vm.replicas)

        await self.run_with(check)
