"""Tests of watching the store while it refuses calls, is silent or loses history."""

import copy
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.replicas._replica_exchange import ReplicaExchange
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from tests.odd_values import NESTING
from tests.platform.documents import (
    CONFIGURATION,
    REGISTRATION,
    SETTINGS,
    as_bytes,
    changed,
)
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase

APPLY_S = SETTINGS["contractBounds"]["configApplyMs"] / 1000
"""Time in which a configuration must be in force, in seconds, by the contract."""

RETURN_S = 2.5
"""Time after the store's return in which lapsed entries are back, in seconds.

The platform states about two; the rest is for the update to arrive.
"""

STORE_FAULTS: tuple[tuple[str, int], ...] = (
    ("status", 503),
    ("status", 429),
    ("silent", True),
    ("garbage", True),
)
"""Faults of the stand-in: attributes and the values to set."""

ODD_ENTRIES: tuple[bytes, ...] = (
    b"[" * NESTING,
    as_bytes(changed(REGISTRATION, "slots", 10**30)),
    as_bytes(changed(REGISTRATION, "slots", 2**32)),
    as_bytes(changed(REGISTRATION, "slots", 10**400)),
    as_bytes(changed(REGISTRATION, "born", -1)),
    as_bytes(changed(REGISTRATION, "address", "10.0.0.1:99999")),
    as_bytes(changed(REGISTRATION, "service", "\ud800")),
    as_bytes(changed(REGISTRATION, "zone", "z" * 2_000_000)),
)
"""Entries of other writers, each with one thing that cannot be used."""

Check = Callable[["WatchedStore"], Awaitable[None]]


def _own_exchange(state: EdgeState) -> ReplicaExchange:
    """Return the exchange of a VM without links, which watches for itself."""
    return ReplicaExchange(
        state, "vm-1", is_recipient=lambda vm: True, on_changed=lambda: None
    )


class _NoRelays:
    """A VM that nobody serves."""

    is_relayed = False


class WatchedStore:
    """A stand-in of the store, and the state of the process that watches it."""

    def __init__(
        self, store: PlatformStoreStandIn, state: EdgeState, backend: MemoryBackend
    ) -> None:
        self.store = store
        self.backend = backend
        self.state = state
        self.versions: list[int] = []

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        found = self.state.configuration
        return found.version if found is not None else 0

    @property
    def replicas(self) -> list[str]:
        """Ids of the replicas that accept requests."""
        return sorted(
            record.replica_id
            for record in self.state.replicas.replicas()
            if not record.is_draining
        )

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration with a version to the store."""
        document = changed(CONFIGURATION, "version", version)
        self.store.put("op/config", as_bytes({**document, **changes}))

    def register(self, name: str, state: str = "ready") -> None:
        """Write a replica's entry."""
        entry = changed(REGISTRATION, "state", state)
        self.store.put(f"servers/{name}", as_bytes(entry))


class WatcherTests(TrioTestCase):
    """Changes in the store are applied in time, and older ones never are."""

    async def run_with(self, check: Check) -> None:
        """Run a check against a stand-in with one configuration and one replica."""
        store = PlatformStoreStandIn()
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        health = StoreHealth(state)
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            watched = WatchedStore(store, state, backend)
            state.on_configuration = lambda: watched.versions.append(watched.version)
            watched.configure(10)
            watched.register("r1")
            client = PlatformStore("10.0.0.1:80", backend=backend)
            async with client:
                replicas = ReplicaWatcher(
                    state, client, health, exchange=_own_exchange(state)
                )
                watcher = ConfigurationWatcher(
                    state,
                    client,
                    health,
                    relays=_NoRelays(),
                )
                nursery.start_soon(watcher.run)
                nursery.start_soon(replicas.run)
                nursery.start_soon(replicas.drop_unconfirmed)
                await trio.sleep(1)
                self.assertEqual((10, ["r1"]), (watched.version, watched.replicas))
                await check(watched)
                nursery.cancel_scope.cancel()

    async def test_the_last_of_many_versions_is_applied_in_time(self) -> None:
        """Of many versions in quick succession, the last one is in force in time."""

        async def check(watched: WatchedStore) -> None:
            for version in range(11, 60):
                watched.configure(version)
                await trio.sleep(0.01)
            await trio.sleep(APPLY_S)
            self.assertEqual(59, watched.version)
            self.assertEqual(sorted(watched.versions), watched.versions)

        await self.run_with(check)

    async def test_a_big_configuration_is_applied_in_time(self) -> None:
        """A configuration with 2000 more routes is applied in time."""

        async def check(watched: WatchedStore) -> None:
            routes = copy.deepcopy(CONFIGURATION["routes"])
            for number in range(2_000):
                name = {"name": f"x{number}", "prefix": f"/x{number}/"}
                routes.append({**routes[1], **name})
            watched.configure(11, routes=routes)
            await trio.sleep(APPLY_S)
            found = watched.state.configuration
            assert found is not None
            self.assertEqual(2_002, len(found.routes))
            self.assertIsNotNone(found.route("callers.example", "/x1999/1"))

        await self.run_with(check)

    async def test_changes_during_a_store_fault_are_applied_after_it(self) -> None:
        """After each fault of the store, what was written during it is applied."""

        async def check(watched: WatchedStore) -> None:
            for version, (name, value) in enumerate(STORE_FAULTS, start=11):
                setattr(watched.store, name, value)
                watched.store.forget()
                await trio.sleep(4)
                watched.configure(version)
                self.assertEqual((version - 1, ["r1"]), _version_and_replicas(watched))
                setattr(watched.store, name, 0)
                await trio.sleep(APPLY_S)
                self.assertEqual(
                    (version, ["r1"]), _version_and_replicas(watched), name
                )

        await self.run_with(check)

    async def test_a_slow_store_is_followed(self) -> None:
        """Guards against a store whose answers all come after the time limit."""

        async def check(watched: WatchedStore) -> None:
            watched.store.delay_s = 1.2
            await trio.sleep(20)
            watched.configure(11)
            await trio.sleep(5)
            self.assertEqual(11, watched.version)

        await self.run_with(check)

    async def test_changes_in_lost_history_are_found(self) -> None:
        """If the store lost the history, changes are found by a full read."""

        async def check(watched: WatchedStore) -> None:
            watched.configure(11)
            watched.register("r2")
            watched.store.remove("servers/r1")
            watched.store.forget()
            await trio.sleep(APPLY_S)
            self.assertEqual((11, ["r2"]), _version_and_replicas(watched))

        await self.run_with(check)

    async def test_older_and_invalid_versions_are_ignored(self) -> None:
        """Older and invalid versions are ignored, in any order."""

        async def check(watched: WatchedStore) -> None:
            watched.configure(7)
            watched.store.put("op/config", b"{")
            await trio.sleep(APPLY_S)
            watched.configure(9)
            await trio.sleep(APPLY_S)
            self.assertEqual([10], watched.versions)

        await self.run_with(check)

    async def test_revoked_keys_identify_no_customer(self) -> None:
        """A key that the new version removed identifies no customer."""

        async def check(watched: WatchedStore) -> None:
            found = watched.state.configuration
            assert found is not None
            self.assertIsNotNone(found.customer_of("k1"))
            tenant = {**CONFIGURATION["tenants"][0], "apiKeys": ["k2"]}
            watched.configure(11, tenants=[tenant])
            await trio.sleep(APPLY_S)
            found = watched.state.configuration
            assert found is not None
            self.assertIsNone(found.customer_of("k1"))
            self.assertIsNotNone(found.customer_of("k2"))

        await self.run_with(check)

    async def test_a_watch_on_a_silent_connection_is_replaced(self) -> None:
        """Guards against replicas that leave unseen while a watch hangs.

        Silent connections excuse a VM for four seconds.  Then it has 2.5 s to learn
        of a replica that leaves, from the store's acknowledgement on.
        """

        async def check(watched: WatchedStore) -> None:
            for pause_s in (0.0, 0.7, 1.9):
                await trio.sleep(pause_s)
                watched.backend.silence()
                await trio.sleep(4.0)
                watched.register("r1", state="draining")
                await trio.sleep(2.5)
                self.assertEqual([], watched.replicas)
                watched.register("r1")
                await trio.sleep(2.5)
                self.assertEqual(["r1"], watched.replicas)

        await self.run_with(check)

    async def test_draining_and_removed_replicas_are_not_used(self) -> None:
        """Nor does one whose entry is removed while the store is healthy."""

        async def check(watched: WatchedStore) -> None:
            watched.register("r2")
            watched.register("r1", state="draining")
            await trio.sleep(1)
            self.assertEqual(["r2"], watched.replicas)
            watched.store.remove("servers/r2")
            await trio.sleep(1)
            self.assertEqual([], watched.replicas)

        await self.run_with(check)

    async def test_an_odd_entry_names_no_replica_and_the_others_hold(self) -> None:
        """Guards against an entry of another writer that ends all who read it."""

        async def check(watched: WatchedStore) -> None:
            for number, odd in enumerate(ODD_ENTRIES):
                name = f"a{number}"
                watched.store.put("servers/odd", odd)
                await trio.sleep(1)
                self.assertEqual(["r1"], watched.replicas, repr(odd[:80]))
                watched.register(name)
                await trio.sleep(1)
                self.assertEqual([name, "r1"], watched.replicas, repr(odd[:80]))
                # The entry is among those of a listing, too.
                watched.store.forget()
                watched.store.remove(f"servers/{name}")
                await trio.sleep(3)
                self.assertEqual(["r1"], watched.replicas, repr(odd[:80]))

        await self.run_with(check)

    async def test_a_replica_whose_entry_turns_odd_is_not_used(self) -> None:
        """It is used again with its next sound entry."""

        async def check(watched: WatchedStore) -> None:
            for odd in ODD_ENTRIES:
                watched.store.put("servers/r1", odd)
                await trio.sleep(1)
                self.assertEqual([], watched.replicas, repr(odd[:80]))
                watched.register("r1")
                await trio.sleep(1)
                self.assertEqual(["r1"], watched.replicas, repr(odd[:80]))

        await self.run_with(check)

    async def test_odd_configurations_are_ignored(self) -> None:
        """The one in force remains, and the next sound one is applied."""

        async def check(watched: WatchedStore) -> None:
            watched.store.put("op/config", b"[" * NESTING)
            await trio.sleep(APPLY_S)
            watched.configure(10**400)
            await trio.sleep(APPLY_S)
            self.assertEqual([10], watched.versions)
            watched.configure(11)
            await trio.sleep(APPLY_S)
            self.assertEqual([10, 11], watched.versions)

        await self.run_with(check)

    async def test_entries_lapsed_in_an_outage_return_or_are_dropped(self) -> None:
        """Lapsed entries are kept while replicas may register again, then dropped."""

        async def check(watched: WatchedStore) -> None:
            watched.register("r2")
            await trio.sleep(1)
            watched.store.status = 503
            watched.store.forget()
            await trio.sleep(2)
            watched.store.remove("servers/r1")
            watched.store.remove("servers/r2")
            watched.store.status = 0
            await trio.sleep(1.5)
            self.assertEqual(["r1", "r2"], watched.replicas)
            watched.register("r2")
            await trio.sleep(RETURN_S)
            self.assertEqual(["r2"], watched.replicas)

        await self.run_with(check)


def _version_and_replicas(watched: WatchedStore) -> tuple[int, list[str]]:
    return watched.version, watched.replicas
