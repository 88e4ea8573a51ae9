"""A VM with all tasks that use the store, which comes back from an older copy."""

from collections.abc import Awaitable, Callable

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.store._registration import (
    BusyRecorder,
    VmEntry,
    VmRegistrar,
)
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from tests.edge.store.test_watchers import WatchedStore
from tests.platform.documents import SETTINGS
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn, StoreCopy
from tests.support import TrioTestCase

ENTRY = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1")
VM_KEY = "hemlocktrestle/vms/vm-1"
BUSY_KEY = "hemlocktrestle/busy/north"

LOST_WRITES = 40
"""Writes of others in the seconds that are lost, so that numbers fall far back."""


class RestoredVm(WatchedStore):
    """A VM with all tasks that use the store, and the stand-in of the store."""

    def __init__(self, store: PlatformStoreStandIn, nursery: trio.Nursery) -> None:
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        super().__init__(store, state, MemoryBackend(store, nursery))
        self.busy: set[str] = set()
        self.fleet = EdgeFleet(state, ENTRY)
        self.client = PlatformStore("10.0.0.1:80", backend=self.backend)
        health = StoreHealth(state)
        self.registrar = VmRegistrar(
            ENTRY,
            self.client,
            health,
            on_vms=self.fleet.apply_vms,
            on_busy=self.fleet.apply_busy_customers,
            is_current=lambda: False,
        )
        replicas = ReplicaWatcher(
            state, self.client, health, exchange=self.fleet.replica_exchange
        )
        configuration = ConfigurationWatcher(
            state, self.client, health, relays=self.fleet.exchange
        )
        busy = BusyRecorder(
            "north", self.client, health, busy=lambda: self.busy, window_ms=10_000
        )
        self.tasks = (
            self.registrar.run,
            replicas.run,
            replicas.drop_unconfirmed,
            configuration.run,
            busy.run,
        )

    def lose_seconds(self) -> StoreCopy:
        """Return a copy of the store, and write much that it does not hold."""
        copy = self.store.copy()
        for number in range(LOST_WRITES):
            self.store.put(f"other/{number}", b"")
        return copy

    def vms(self) -> list[str]:
        """Return the VMs of the region that the process counts on."""
        return sorted(vm.name for vm in self.fleet.membership.candidates("north", 9))


Check = Callable[[RestoredVm], Awaitable[None]]


class RestoredStoreTestCase(TrioTestCase):
    """Runs a VM whose store holds version 10 and the replica ``r1``."""

    async def run_with(self, check: Check, *, is_early: bool = False) -> None:
        """Run a check; ``is_early`` runs it before the VM has written its entry."""
        store = PlatformStoreStandIn()
        async with trio.open_nursery() as nursery:
            vm = RestoredVm(store, nursery)
            vm.configure(10)
            vm.register("r1")
            before = store.copy()
            async with vm.client:
                for task in vm.tasks:
                    nursery.start_soon(task)
                await trio.sleep(1)
                self.assertEqual((10, ["r1"]), (vm.version, vm.replicas))
                if is_early:
                    vm.lose_seconds()
                    await trio.sleep(0.1)
                    store.restore(before)
                await check(vm)
                nursery.cancel_scope.cancel()
