"""Tests of the VM's own entry in the platform's store."""

import trio

from hemlocktrestle.edge._registration import VmEntry, VmRegistrar, decode_vm_entry
from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge._store_task import StoreHealth
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from tests.platform.documents import SETTINGS
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase

ENTRY = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1", 0.5, 10.0)


class RegistrarTests(TrioTestCase):
    """A VM enters itself and removes its entry, and nothing else."""

    async def test_a_vm_that_leaves_before_it_has_a_lease_ends_none(self) -> None:
        """Guards against the end of lease 0, which stands for keys without a lease."""
        store = PlatformStoreStandIn()
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                registrar = VmRegistrar(
                    ENTRY,
                    client,
                    StoreHealth(state),
                    on_vms=lambda entries: None,
                    on_busy=lambda customers: None,
                    is_current=lambda: False,
                )
                await registrar.deregister()
            nursery.cancel_scope.cancel()
        self.assertEqual([], store.calls)


class ReadTests(TrioTestCase):
    """The list of VMs is read again only while no relay confirms it."""

    async def test_a_current_list_is_not_read_again(self) -> None:
        """Guards against bytes that grow with the square of the fleet."""
        store = PlatformStoreStandIn()
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        current = [False]
        read: list[int] = []
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                registrar = VmRegistrar(
                    ENTRY,
                    client,
                    StoreHealth(state),
                    on_vms=lambda entries: read.append(len(entries)),
                    on_busy=lambda customers: None,
                    is_current=lambda: current[0],
                )
                nursery.start_soon(registrar.run)
                await trio.sleep(9)
                self.assertTrue(3 <= len(read) <= 4, read)
                current[0] = True
                known = len(read)
                await trio.sleep(30)
                self.assertEqual(known, len(read))
                current[0] = False
                await trio.sleep(4)
                self.assertTrue(len(read) > known)
                nursery.cancel_scope.cancel()


class EntryTests(TrioTestCase):
    """Entries of earlier and later versions can be read."""

    def test_fields_of_later_versions_are_ignored(self) -> None:
        """An entry without a size is one of unknown size."""
        value = (
            b'{"vm": "v", "zone": "z", "region": "r", "address": "a:1",'
            b' "boot_id": "b", "later": 1}'
        )
        self.assertEqual(VmEntry("v", "z", "r", "a:1", "b"), decode_vm_entry(value))

    def test_a_missing_field_is_an_error(self) -> None:
        """The watcher logs it and skips the entry."""
        self.assertRaises(TypeError, decode_vm_entry, b'{"vm": "v"}')
