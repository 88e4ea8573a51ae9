"""Tests of the changes of replicas that VMs send each other."""

import math
from collections.abc import Callable
from typing import Any

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.replicas._replica_exchange import ReplicaExchange
from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ReplicaWatcher
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from hemlocktrestle.wire import (
    Heartbeat,
    Message,
    ReplicaBatch,
    ReplicaFetch,
    ReplicaNews,
)
from tests.gateway.records import replica_update
from tests.platform.documents import REGISTRATION, SETTINGS, as_bytes
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase

DRAIN_S = SETTINGS["contractBounds"]["drainMs"] / 1000
"""Time in which a leaving replica must be known, in seconds, by the contract."""

LEAVING = ReplicaNews("i-1", 50, False, "ledger", "10.0.0.9:80", "z1", 4, True)
FOLLOWS = Heartbeat(40, "", 0, False, follows_replicas=True)


def new_state() -> EdgeState:
    """Return the state of a process that has read its replicas once."""
    state = EdgeState(
        decode_settings(SETTINGS, source="test"),
        fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
    )
    state.has_loaded_replicas = True
    return state


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.vms = [f"vm-{number}" for number in range(1, 10)]

    def send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        return True

    reply = send

    def sync_peers(self, peers: object) -> None:
        """Ignore the peers; no links are opened."""

    def broadcast(
        self,
        message: Message,
        *,
        skip: str = "",
        to: Callable[[str], bool] | None = None,
    ) -> None:
        for vm in self.vms:
            if vm != skip and (to is None or to(vm)):
                self.sent.append((vm, message))


def new_exchange(
    vm: str, state: EdgeState | None = None
) -> tuple[ReplicaExchange, EdgeState, _Links]:
    """Return the exchange of a VM whose region has the relays vm-2 and vm-3."""
    state = state or new_state()
    exchange = ReplicaExchange(
        state,
        vm,
        is_recipient=lambda other: other != "vm-9",
        on_changed=lambda: None,
    )
    exchange.set_relays(("vm-2", "vm-3"))
    links: Any = _Links()
    exchange.network = links
    return exchange, state, links


def batch(sequence: int, *news: ReplicaNews, is_full: bool = False) -> ReplicaBatch:
    """Return a batch of changes."""
    return ReplicaBatch(sequence, 60, is_full, news)


class SendTests(TrioTestCase):
    """Each change is sent by few VMs, to those that lack it, once."""

    async def test_a_vm_sends_only_what_it_read_from_the_store(self) -> None:
        """Guards against messages that grow with the square of the fleet."""
        exchange, _, links = new_exchange("vm-1")
        exchange.on_batch("vm-2", batch(1, LEAVING))
        self.assertEqual([], links.sent)
        state = new_state()
        exchange, state, links = new_exchange("vm-1", state)
        state.replicas.apply_update(replica_update("i-2", 51))
        exchange.publish()
        self.assertEqual(9, len(links.sent))
        exchange.publish()
        self.assertEqual(9, len(links.sent))

    async def test_a_relay_passes_changes_on_in_its_region(self) -> None:
        """It sends them to its recipients, once, and not to their sender."""
        exchange, state, links = new_exchange("vm-2")
        exchange.on_batch("vm-5", batch(1, LEAVING))
        exchange.on_batch("vm-6", batch(1, LEAVING))
        recipients = [vm for vm, _ in links.sent]
        self.assertEqual(["vm-1", "vm-2", "vm-3", "vm-4"], recipients[:4])
        self.assertNotIn("vm-5", recipients)
        self.assertNotIn("vm-9", recipients)
        self.assertEqual(7, len(recipients))
        self.assertTrue(state.replicas.replicas()[0].is_draining)

    async def test_changes_that_come_together_are_one_message(self) -> None:
        """Guards against one message, and one log line, for each replica."""
        exchange, state, links = new_exchange("vm-2")
        for number in range(50):
            state.replicas.apply_update(replica_update(f"i-{number}", 50 + number))
        exchange.publish()
        _, message = links.sent[0]
        assert isinstance(message, ReplicaBatch)
        self.assertEqual((1, 50), (message.sequence, len(message.replicas)))
        self.assertEqual(8, len(links.sent))


class FollowTests(TrioTestCase):
    """A VM relies on a relay only while it has all that the relay knows."""

    async def follower(self) -> tuple[ReplicaExchange, EdgeState, _Links]:
        """Return the exchange of a VM that has fetched all from the relay vm-2."""
        exchange, state, links = new_exchange("vm-1")
        exchange.on_heartbeat("vm-2", FOLLOWS)
        self.assertEqual([("vm-2", ReplicaFetch(0))], links.sent)
        self.assertFalse(exchange.is_relayed)
        exchange.on_batch("vm-2", batch(7, LEAVING, is_full=True))
        self.assertTrue(exchange.is_relayed)
        return exchange, state, links

    async def test_all_is_fetched_before_a_relay_is_relied_on(self) -> None:
        """Changes that follow each other need no other fetch."""
        exchange, _, links = await self.follower()
        exchange.on_batch("vm-2", batch(8, LEAVING._replace(revision=51)))
        exchange.on_heartbeat("vm-2", FOLLOWS)
        self.assertTrue(exchange.is_relayed)
        self.assertEqual(1, len(links.sent))

    async def test_a_missing_batch_is_noticed(self) -> None:
        """Guards against a change that is lost in a full queue of a link."""
        exchange, state, links = await self.follower()
        gone = ReplicaNews("i-1", 52, True)
        exchange.on_batch("vm-2", batch(9, gone))
        self.assertEqual([], state.replicas.replicas())
        self.assertFalse(exchange.is_relayed)
        await trio.sleep(2.1)
        exchange.on_heartbeat("vm-2", FOLLOWS)
        self.assertEqual(2, len(links.sent))

    async def test_a_relay_that_is_cut_off_is_not_relied_on(self) -> None:
        """It does not follow the store, its confirmation is old, or its link ended."""
        for change in (
            Heartbeat(40, "", 0, False, follows_replicas=False),
            Heartbeat(40, "", 1_900, False, follows_replicas=True),
            None,
        ):
            exchange, _, _ = await self.follower()
            if change is None:
                exchange.on_link_closed("vm-2")
            else:
                exchange.on_heartbeat("vm-2", change)
            self.assertFalse(exchange.is_relayed)
        exchange, _, _ = await self.follower()
        await trio.sleep(1.9)
        self.assertFalse(exchange.is_relayed)

    async def test_a_relay_relies_on_nobody(self) -> None:
        """Guards against two relays that wait for each other."""
        exchange, _, links = new_exchange("vm-2")
        exchange.follows_store = True
        exchange.on_heartbeat("vm-3", FOLLOWS)
        exchange.on_batch("vm-3", batch(1, LEAVING, is_full=True))
        self.assertFalse(exchange.is_relayed)
        self.assertNotIn(ReplicaFetch, [type(sent) for _, sent in links.sent])

    async def test_a_relay_that_the_store_refuses_fetches_from_any_other(self) -> None:
        """It takes one VM that follows the store, and passes its changes on."""
        exchange, _, links = new_exchange("vm-2")
        for vm in ("vm-7", "vm-8"):
            exchange.on_heartbeat(vm, FOLLOWS._replace(follows_replicas=False))
        self.assertEqual([], links.sent)
        exchange.on_heartbeat("vm-7", FOLLOWS)
        self.assertEqual([("vm-7", ReplicaFetch(0))], links.sent)
        exchange.on_batch("vm-7", batch(3, LEAVING, is_full=True))
        exchange.on_heartbeat("vm-8", FOLLOWS)
        fetched = [vm for vm, sent in links.sent if isinstance(sent, ReplicaFetch)]
        self.assertEqual(["vm-7"], fetched)

    async def test_a_full_batch_removes_what_is_gone(self) -> None:
        """A replica that left while there was no link is not kept."""
        exchange, state, _ = await self.follower()
        exchange.on_batch("vm-2", batch(8, is_full=True))
        self.assertEqual([], state.replicas.replicas())

    async def test_a_fetch_is_answered_with_all_replicas(self) -> None:
        """Its number is that of the last batch, so that the next one follows."""
        exchange, state, links = new_exchange("vm-2")
        state.replicas.apply_update(replica_update("i-2", 51))
        exchange.publish()
        links.sent.clear()
        exchange.on_fetch("vm-1", ReplicaFetch(0))
        ((vm, message),) = links.sent
        assert isinstance(message, ReplicaBatch)
        self.assertEqual(
            ("vm-1", True, 1, 1),
            (vm, message.is_full, message.sequence, len(message.replicas)),
        )


class OddUpdateTests(TrioTestCase):
    """An update that cannot be used names no replica; the others of a batch hold."""

    async def test_an_odd_update_names_no_replica(self) -> None:
        """Guards against entries that a VM of an earlier version forwards."""
        exchange, state, _ = new_exchange("vm-1")
        sound = LEAVING._replace(is_draining=False)
        odd: tuple[dict[str, Any], ...] = (
            {"address": "10.0.0.9:99999"},
            {"address": ""},
            {"slots": 0},
            {"slots": 2**32 - 1},
            {"born_ms": 2**64 - 1},
            {"cold_ms": math.nan},
            {"replica_id": "a b"},
            {"service": ""},
        )
        for number, fields in enumerate(odd):
            exchange.on_batch(
                "vm-2",
                ReplicaBatch(
                    number,
                    50,
                    False,
                    (
                        sound._replace(**{"replica_id": f"odd-{number}", **fields}),
                        sound._replace(replica_id=f"i-{number}"),
                    ),
                ),
            )
        found = sorted(record.replica_id for record in state.replicas.replicas())
        self.assertEqual([f"i-{number}" for number in range(len(odd))], found)


class RecipientTests(TrioTestCase):
    """A relay serves its own region, and the other regions' relays."""

    async def test_changes_cross_to_another_region_once_for_each_relay(self) -> None:
        """The link between regions is narrow and paid by volume."""
        state = new_state()
        here = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1", 2.0, 100)
        fleet = EdgeFleet(state, here)
        links: Any = _Links()
        fleet.network = links
        north = [here._replace(vm=f"vm-{n}", cpu_cores=1.0) for n in (2, 3)]
        south = [
            here._replace(
                vm=f"vm-{n}", zone="z3", region="south", cpu_cores=3.0 - n / 9
            )
            for n in range(4, 10)
        ]
        fleet.apply_vms([here, *north, *south])
        state.replicas.apply_update(replica_update("i-2", 51))
        fleet.replica_exchange.publish()
        self.assertEqual(
            ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"], [vm for vm, _ in links.sent]
        )


class WatchTests(TrioTestCase):
    """Nothing is read from the store while a relay sends each change."""

    async def test_a_leaving_replica_is_known_in_time_in_either_way(self) -> None:
        """Guards against a VM that still relies on a relay that was cut off."""
        store = PlatformStoreStandIn()
        store.put("servers/r1", as_bytes(REGISTRATION))
        exchange, state, _ = new_exchange("vm-1")
        state.has_loaded_replicas = False
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(store, nursery)
            async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                watcher = ReplicaWatcher(
                    state, client, StoreHealth(state), exchange=exchange
                )
                nursery.start_soon(watcher.run)
                await trio.sleep(0.1)
                self.assertTrue(exchange.follows_store)
                exchange.on_heartbeat("vm-2", FOLLOWS)
                exchange.on_batch("vm-2", ReplicaBatch(1, 1, True, ()))
                exchange.on_heartbeat("vm-2", FOLLOWS)
                # The watch that is open ends with the next change.
                store.put("servers/r2", as_bytes(REGISTRATION))
                await trio.sleep(1.2)
                calls = client.call_count
                for _ in range(40):
                    exchange.on_heartbeat("vm-2", FOLLOWS)
                    await trio.sleep(0.5)
                self.assertEqual(calls, client.call_count)
                self.assertFalse(exchange.follows_store)
                cut_ms = now_ms()
                store.put("servers/r1", as_bytes({**REGISTRATION, "state": "draining"}))
                while not any(r.is_draining for r in state.replicas.replicas()):
                    await trio.sleep(0.05)
                self.assertTrue(now_ms() - cut_ms < DRAIN_S * 1000)
                nursery.cancel_scope.cancel()
