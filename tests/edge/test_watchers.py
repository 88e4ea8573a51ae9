"""Tests of following the store while it is slow, refusing, silent or forgetful."""

import copy
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge._store_task import StoreHealth
from hemlocktrestle.edge._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from tests.platform.documents import (
    CONFIGURATION,
    REGISTRATION,
    SETTINGS,
    as_bytes,
    changed,
)
from tests.platform.test_store import MemoryBackend
from tests.standins.users_store import PlatformStoreStandIn
from tests.support import TrioTestCase

APPLY_S = SETTINGS["contractBounds"]["configApplyMs"] / 1000
"""Time in which a configuration is in force, in seconds, as the platform states."""

RETURN_S = 2.5
"""Time after the store's return in which lapsed entries have come back, in seconds:
about two, as the platform states, and the way of the news."""

STORE_FAULTS: tuple[tuple[str, int], ...] = (
    ("status", 503),
    ("status", 429),
    ("silent", True),
    ("garbage", True),
)
"""Faults of the stand-in, as its attributes and their values."""

Check = Callable[["Followed"], Awaitable[None]]


class Followed:
    """A process that follows a stand-in of the store."""

    def __init__(self, store: PlatformStoreStandIn, state: EdgeState) -> None:
        self.store = store
        self.state = state
        self.versions: list[int] = []

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        found = self.state.configuration
        return found.version if found is not None else 0

    @property
    def replicas(self) -> list[str]:
        """Ids of the replicas that take work."""
        return sorted(
            record.replica_id
            for record in self.state.replicas.replicas()
            if not record.is_draining
        )

    def configure(self, version: int, **changes: Any) -> None:
        """Write a version as the operator does."""
        document = changed(CONFIGURATION, "version", version)
        self.store.put("op/config", as_bytes({**document, **changes}))

    def register(self, name: str, state: str = "ready") -> None:
        """Write a replica's entry."""
        entry = changed(REGISTRATION, "state", state)
        self.store.put(f"servers/{name}", as_bytes(entry))


class FollowerTests(TrioTestCase):
    """What the store says is in force in its time, and nothing goes back."""

    async def run_with(self, check: Check) -> None:
        """Run a check against a followed stand-in, with a version and a replica."""
        store = PlatformStoreStandIn()
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        followed = Followed(store, state)
        state.on_configuration = lambda: followed.versions.append(followed.version)
        followed.configure(10)
        followed.register("r1")
        health = StoreHealth(state)
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            client = PlatformStore("10.0.0.1:80", backend=backend)
            async with client:
                replicas = ReplicaWatcher(state, client, health, on_change=lambda: None)
                nursery.start_soon(ConfigurationWatcher(state, client, health).run)
                nursery.start_soon(replicas.run)
                nursery.start_soon(replicas.settle)
                await trio.sleep(1)
                self.assertEqual((10, ["r1"]), (followed.version, followed.replicas))
                await check(followed)
                nursery.cancel_scope.cancel()

    async def test_each_version_is_in_force_in_its_time(self) -> None:
        """Also one of many in quick succession; the last one stays."""

        async def check(followed: Followed) -> None:
            for version in range(11, 60):
                followed.configure(version)
                await trio.sleep(0.01)
            await trio.sleep(APPLY_S)
            self.assertEqual(59, followed.version)
            self.assertEqual(sorted(followed.versions), followed.versions)

        await self.run_with(check)

    async def test_a_big_configuration_is_in_force(self) -> None:
        """Two thousand routes more, and the old ones among them."""

        async def check(followed: Followed) -> None:
            routes = copy.deepcopy(CONFIGURATION["routes"])
            for number in range(2_000):
                name = {"name": f"x{number}", "prefix": f"/x{number}/"}
                routes.append({**routes[1], **name})
            followed.configure(11, routes=routes)
            await trio.sleep(APPLY_S)
            found = followed.state.configuration
            assert found is not None
            self.assertEqual(2_002, len(found.routes))
            self.assertIsNotNone(found.route("callers.example", "/x1999/1"))

        await self.run_with(check)

    async def test_a_store_that_fails_is_followed_again(self) -> None:
        """Refusing, silent or spoiled: what was written is in force after it."""

        async def check(followed: Followed) -> None:
            for version, (name, value) in enumerate(STORE_FAULTS, start=11):
                setattr(followed.store, name, value)
                followed.store.forget()
                await trio.sleep(4)
                followed.configure(version)
                self.assertEqual((version - 1, ["r1"]), _believed(followed))
                setattr(followed.store, name, 0)
                await trio.sleep(APPLY_S)
                self.assertEqual((version, ["r1"]), _believed(followed), name)

        await self.run_with(check)

    async def test_forgotten_history_is_read_anew(self) -> None:
        """Changes that no watch can tell any more are found by reading."""

        async def check(followed: Followed) -> None:
            followed.configure(11)
            followed.register("r2")
            followed.store.remove("servers/r1")
            followed.store.forget()
            await trio.sleep(APPLY_S)
            self.assertEqual((11, ["r2"]), _believed(followed))

        await self.run_with(check)

    async def test_older_and_broken_versions_change_nothing(self) -> None:
        """Whatever the order in which they come."""

        async def check(followed: Followed) -> None:
            followed.configure(7)
            followed.store.put("op/config", b"{")
            await trio.sleep(APPLY_S)
            followed.configure(9)
            await trio.sleep(APPLY_S)
            self.assertEqual([10], followed.versions)

        await self.run_with(check)

    async def test_revoked_keys_lead_to_nobody(self) -> None:
        """Once the version without them is in force."""

        async def check(followed: Followed) -> None:
            found = followed.state.configuration
            assert found is not None
            self.assertIsNotNone(found.customer_of("k1"))
            tenant = {**CONFIGURATION["tenants"][0], "apiKeys": ["k2"]}
            followed.configure(11, tenants=[tenant])
            await trio.sleep(APPLY_S)
            found = followed.state.configuration
            assert found is not None
            self.assertIsNone(found.customer_of("k1"))
            self.assertIsNotNone(found.customer_of("k2"))

        await self.run_with(check)

    async def test_a_draining_replica_takes_no_work(self) -> None:
        """Nor does one whose entry goes while the store is well."""

        async def check(followed: Followed) -> None:
            followed.register("r2")
            followed.register("r1", state="draining")
            await trio.sleep(1)
            self.assertEqual(["r2"], followed.replicas)
            followed.store.remove("servers/r2")
            await trio.sleep(1)
            self.assertEqual([], followed.replicas)

        await self.run_with(check)

    async def test_entries_that_lapsed_in_an_outage_come_back_or_go(self) -> None:
        """They are kept for as long as the platform states, and no longer."""

        async def check(followed: Followed) -> None:
            followed.register("r2")
            await trio.sleep(1)
            followed.store.status = 503
            followed.store.forget()
            await trio.sleep(2)
            followed.store.remove("servers/r1")
            followed.store.remove("servers/r2")
            followed.store.status = 0
            await trio.sleep(1.5)
            self.assertEqual(["r1", "r2"], followed.replicas)
            followed.register("r2")
            await trio.sleep(RETURN_S)
            self.assertEqual(["r2"], followed.replicas)

        await self.run_with(check)


def _believed(followed: Followed) -> tuple[int, list[str]]:
    return followed.version, followed.replicas
