"""Tests of the VM's own entry in the platform's store."""

import json
from typing import Any

import trio
from hypothesis import given
from testtools import TestCase

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.store._registration import (
    VmEntry,
    VmRegistrar,
    decode_vm_entry,
)
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from hemlocktrestle.wire import Hello, decode, encode
from tests.odd_values import JSON_VALUES, NESTING, ODD_ADDRESSES, ODD_BYTES
from tests.platform.documents import SETTINGS, as_bytes, changed
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase

ENTRY = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1", 0.5, 10.0)


KEY = "hemlocktrestle/vms/vm-1"


def is_usable(data: bytes, key: str = KEY) -> bool:
    """Tell whether a VM's entry is valid; one that is can be used as a peer."""
    try:
        entry = decode_vm_entry(key, data)
    except RequestError as error:
        assert error.kind is ErrorKind.SETTINGS_INVALID
        return False
    hello = Hello(1, entry.vm, entry.zone, entry.region, entry.boot_id)
    assert decode(encode(hello)) == hello
    host, _, port = entry.address.rpartition(":")
    assert host.encode("idna") and 1 <= int(port) <= 65_535
    assert 0 <= entry.cpu_cores + entry.link_mbps < 1e16
    return True


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


class RenewalTests(TrioTestCase):
    """The lease is renewed every few seconds, whoever learns first of a restore."""

    async def test_a_grant_that_states_a_new_era(self) -> None:
        """Guards against renewals without a pause after it."""
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
                    is_current=lambda: True,
                )
                nursery.start_soon(registrar.run)
                await trio.sleep(1)
                copy, store.status = store.copy(), 503
                await trio.sleep(5)
                store.restore(copy)
                store.status, store.delay_s = 0, 0.01
                store.calls.clear()
                await trio.sleep(10)
                renewals = [call for call in store.calls if "kv-keep" in call]
                self.assertTrue(1 <= len(renewals) <= 4, len(renewals))
                nursery.cancel_scope.cancel()


class EntryTests(TrioTestCase):
    """Entries of earlier and later versions can be read."""

    def test_fields_of_later_versions_are_ignored(self) -> None:
        """An entry without a size is one of unknown size."""
        value = (
            b'{"vm": "v", "zone": "z", "region": "r", "address": "a:1",'
            b' "boot_id": "b", "later": 1}'
        )
        self.assertEqual(
            VmEntry("v", "z", "r", "a:1", "b"),
            decode_vm_entry("hemlocktrestle/vms/v", value),
        )

    def test_a_missing_field_is_an_error(self) -> None:
        """The watcher logs it and skips the entry."""
        self.assertFalse(is_usable(b'{"vm": "v"}'))


class OddEntryTests(TestCase):
    """Guards against entries of other writers that end the process that reads them."""

    def test_odd_bytes_are_refused(self) -> None:
        """Bytes that cannot be read are refused with a reason, however deep."""
        for data in ODD_BYTES:
            self.assertFalse(is_usable(data), data[:20])

    def test_odd_addresses_are_refused(self) -> None:
        """An address to which no link can be opened is refused."""
        for address in ODD_ADDRESSES:
            entry = as_bytes(changed(ENTRY._asdict(), "address", address))
            self.assertFalse(is_usable(entry), repr(address))

    def test_an_entry_under_another_key_is_refused(self) -> None:
        """Only the VM itself writes its key."""
        self.assertTrue(is_usable(as_bytes(ENTRY._asdict())))
        for key in ("hemlocktrestle/vms/vm-2", "hemlocktrestle/vms/vm-1/x"):
            self.assertFalse(is_usable(as_bytes(ENTRY._asdict()), key))

    @given(value=JSON_VALUES)
    def test_any_value_of_any_field_is_converted_or_refused(self, value: Any) -> None:
        """Any value gives an entry that can be used, or the one error."""
        for name in ENTRY._fields:
            is_usable(as_bytes(changed(ENTRY._asdict(), name, value)))


class OddReadTests(TrioTestCase):
    """One odd entry among those of the VMs does not end the reading of them."""

    async def test_the_others_are_read_beside_an_odd_entry(self) -> None:
        """Guards against an odd entry of a VM, or of busy customers, that ends all."""
        store = PlatformStoreStandIn()
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        read: list[tuple[list[str], set[str]]] = []
        busy: list[set[str]] = []
        odd = (
            b"[" * NESTING,
            b"7",
            b'"ab"',
            json.dumps([["a"]]).encode(),
            json.dumps(["\ud800"]).encode(),
            b"\xff",
        )
        for number, data in enumerate(odd):
            store.put(f"hemlocktrestle/vms/odd-{number}", data)
            store.put(f"hemlocktrestle/busy/odd-{number}", data)
        store.put("hemlocktrestle/other/x", b"[" * NESTING)
        store.put("hemlocktrestle/busy/south", b'["clinics"]')
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                registrar = VmRegistrar(
                    ENTRY,
                    client,
                    StoreHealth(state),
                    on_vms=lambda entries: read.append(
                        ([entry.vm for entry in entries], busy[-1])
                    ),
                    on_busy=busy.append,
                    is_current=lambda: False,
                )
                nursery.start_soon(registrar.run)
                await trio.sleep(9)
                nursery.cancel_scope.cancel()
        self.assertTrue(len(read) >= 3, read)
        self.assertEqual((["vm-1"], {"clinics"}), read[-1])
