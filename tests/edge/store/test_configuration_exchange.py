"""Tests of the configurations that VMs fetch from each other."""

from typing import Any

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.store._configuration_exchange import ConfigurationExchange
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ConfigurationWatcher
from hemlocktrestle.gateway import NO_REVISION, FleetSnapshot
from hemlocktrestle.platform import PlatformStore, decode_settings
from hemlocktrestle.wire import ConfigurationNews, Heartbeat, Message, TreeFetch
from tests.gateway.records import at, configuration
from tests.platform.documents import CONFIGURATION, SETTINGS, as_bytes, changed
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn
from tests.support import TrioTestCase

APPLY_S = SETTINGS["contractBounds"]["configApplyMs"] / 1000
"""Time in which a configuration must be in force, in seconds, by the contract."""

REGIONS = {"vm-1": "north", "vm-2": "north", "vm-3": "north", "vm-9": "south"}


def new_state() -> EdgeState:
    """Return the state of a process without a configuration."""
    return EdgeState(
        decode_settings(SETTINGS, source="test"),
        fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
    )


def heartbeat(revision: int, *, age_ms: int = 0) -> Heartbeat:
    """Return the heartbeat of a VM whose store confirmed a revision some time ago."""
    return Heartbeat(revision, "", age_ms, False)


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    def send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        return True

    reply = send


def new_exchange() -> tuple[ConfigurationExchange, EdgeState, _Links]:
    """Return the exchange of ``vm-1``, which has the revision 40."""
    state = new_state()
    state.configuration = configuration()
    state.configuration_document = b"document"
    state.configuration_revision = at(40)
    exchange = ConfigurationExchange(state, "vm-1", region_of=REGIONS.get)
    exchange.set_relays(("vm-2", "vm-3"))
    links: Any = _Links()
    exchange.network = links
    return exchange, state, links


class FetchTests(TrioTestCase):
    """A VM that stays behind fetches one copy; nobody is sent what he did not ask."""

    async def test_vms_that_are_a_moment_behind_get_no_copies(self) -> None:
        """Guards against links that fill up with copies at each new configuration."""
        exchange, _, links = new_exchange()
        for number in range(4, 80):
            exchange.on_heartbeat(f"vm-{number}", heartbeat(39))
        self.assertEqual([], links.sent)

    async def test_the_second_relay_is_asked_at_once(self) -> None:
        """The first one is the region's scheduler, whose links carry the permits."""
        exchange, _, links = new_exchange()
        exchange.on_heartbeat("vm-2", heartbeat(41))
        self.assertEqual([], links.sent)
        exchange.on_heartbeat("vm-3", heartbeat(41))
        exchange.on_heartbeat("vm-3", heartbeat(42))
        self.assertEqual([("vm-3", TreeFetch(40, ""))], links.sent)

    async def test_the_first_relay_is_asked_if_the_second_is_not_heard(self) -> None:
        """It is a backup: half a second later it is asked."""
        exchange, _, links = new_exchange()
        exchange.on_heartbeat("vm-2", heartbeat(41))
        await trio.sleep(0.5)
        exchange.on_heartbeat("vm-2", heartbeat(41))
        self.assertEqual([("vm-2", TreeFetch(40, ""))], links.sent)

    async def test_another_region_is_asked_last(self) -> None:
        """The link between regions is narrow and paid by volume."""
        exchange, _, links = new_exchange()
        exchange.on_heartbeat("vm-9", heartbeat(41))
        await trio.sleep(1.4)
        exchange.on_heartbeat("vm-9", heartbeat(41))
        self.assertEqual([], links.sent)
        await trio.sleep(0.2)
        exchange.on_heartbeat("vm-9", heartbeat(41))
        self.assertEqual([("vm-9", TreeFetch(40, ""))], links.sent)

    async def test_a_copy_that_does_not_come_is_fetched_again(self) -> None:
        """A fetch that is lost with its link is repeated, from any VM that is ahead."""
        exchange, _, links = new_exchange()
        exchange.on_heartbeat("vm-3", heartbeat(41))
        await trio.sleep(2.1)
        exchange.on_heartbeat("vm-2", heartbeat(41))
        fetch = TreeFetch(40, "")
        self.assertEqual([("vm-3", fetch), ("vm-2", fetch)], links.sent)

    async def test_a_vm_without_a_configuration_asks_anybody(self) -> None:
        """It refuses all requests until it has one."""
        exchange, state, links = new_exchange()
        state.configuration, state.configuration_revision = None, NO_REVISION
        exchange.on_heartbeat("vm-9", heartbeat(40))
        self.assertEqual([("vm-9", TreeFetch(0, ""))], links.sent)

    async def test_a_newer_configuration_is_sent_on_request(self) -> None:
        """Nothing is sent to a VM that has as new a one."""
        exchange, _, links = new_exchange()
        exchange.on_fetch("vm-2", TreeFetch(40, ""))
        exchange.on_fetch("vm-3", TreeFetch(39, ""))
        self.assertEqual([("vm-3", ConfigurationNews(40, b"document"))], links.sent)

    async def test_a_newer_configuration_of_another_vm_is_applied(self) -> None:
        """A newer configuration is applied, an older one is not."""
        exchange, state, _ = new_exchange()
        document = as_bytes({**CONFIGURATION, "version": 7})
        exchange.on_news("vm-2", ConfigurationNews(39, document))
        self.assertEqual(at(40), state.configuration_revision)
        exchange.on_news("vm-2", ConfigurationNews(41, document))
        self.assertEqual(at(41), state.configuration_revision)

    async def test_a_configuration_that_is_refused_is_not_fetched_again(self) -> None:
        """Guards against a document that crosses the links for ever."""
        exchange, state, links = new_exchange()
        exchange.on_heartbeat("vm-3", heartbeat(41))
        exchange.on_news("vm-3", ConfigurationNews(41, b"no document"))
        await trio.sleep(5)
        exchange.on_heartbeat("vm-3", heartbeat(41))
        self.assertEqual((at(40), 1), (state.configuration_revision, len(links.sent)))


class RestoredStoreTests(TrioTestCase):
    """The order is that of eras, then of revisions, also between VMs."""

    def exchange(self) -> tuple[ConfigurationExchange, EdgeState, _Links]:
        """Return the exchange of ``vm-1``, which has version 1 at revision 40."""
        exchange, state, links = new_exchange()
        state.observe_store_era(1, source="test")
        return exchange, state, links

    async def test_a_lower_revision_of_a_later_era_is_fetched(self) -> None:
        """A higher one of the era before is not, once the later one is in force."""
        exchange, state, links = self.exchange()
        later = heartbeat(12)._replace(store_era=1, tree_era=1)
        exchange.on_heartbeat("vm-3", later)
        self.assertEqual([("vm-3", TreeFetch(40, ""))], links.sent)
        document = as_bytes({**CONFIGURATION, "version": 7})
        exchange.on_news("vm-3", ConfigurationNews(12, document, era=1))
        self.assertEqual(at(12, era=1), state.configuration_revision)
        exchange.on_heartbeat("vm-3", heartbeat(900))
        exchange.on_news("vm-2", ConfigurationNews(900, document))
        self.assertEqual(1, len(links.sent))
        exchange.on_fetch("vm-2", TreeFetch(900, ""))
        self.assertEqual(("vm-2", ConfigurationNews(12, document, 1)), links.sent[-1])

    async def test_an_earlier_version_of_a_later_era_is_fetched_once(self) -> None:
        """It is not applied; the version in force is confirmed when it comes again."""
        exchange, state, links = self.exchange()
        state.configuration = configuration(version=7)
        for number, version, is_confirmed in ((12, 6, False), (13, 7, True)):
            for _ in range(2):
                told = heartbeat(number)._replace(store_era=1, tree_era=1)
                exchange.on_heartbeat("vm-3", told)
                document = as_bytes({**CONFIGURATION, "version": version})
                exchange.on_news("vm-3", ConfigurationNews(number, document, era=1))
            self.assertEqual(7, state.configuration.version)
            found = state.configuration_revision
            self.assertEqual(is_confirmed, found == at(number, era=1))
        self.assertEqual(2, len(links.sent))

    async def test_a_relay_of_the_era_before_is_not_relied_on(self) -> None:
        """It cannot confirm what the restored store holds."""
        exchange, _, _ = self.exchange()
        exchange.on_heartbeat("vm-3", heartbeat(40))
        self.assertFalse(exchange.is_relayed)
        exchange.on_heartbeat("vm-3", heartbeat(40)._replace(store_era=1))
        self.assertTrue(exchange.is_relayed)


class RelayedTests(TrioTestCase):
    """A VM relies on a relay while that is in touch with the store."""

    def exchange(self) -> ConfigurationExchange:
        """Return the exchange of ``vm-1``, which has the revision 40."""
        state = new_state()
        state.configuration, state.configuration_revision = configuration(), at(40)
        exchange = ConfigurationExchange(state, "vm-1", region_of=REGIONS.get)
        exchange.set_relays(("vm-2", "vm-3"))
        return exchange

    async def test_one_relay_in_touch_is_enough(self) -> None:
        """The other one may be cut from the store."""
        exchange = self.exchange()
        self.assertFalse(exchange.is_relayed)
        exchange.on_heartbeat("vm-2", heartbeat(40, age_ms=60_000))
        self.assertFalse(exchange.is_relayed)
        exchange.on_heartbeat("vm-3", heartbeat(40, age_ms=900))
        self.assertTrue(exchange.is_relayed)

    async def test_a_relay_that_falls_silent_is_not_relied_on(self) -> None:
        """Neither its heartbeats nor the store's confirmation may be old."""
        exchange = self.exchange()
        exchange.on_heartbeat("vm-3", heartbeat(40))
        await trio.sleep(1.9)
        self.assertFalse(exchange.is_relayed)

    async def test_the_settings_say_how_old_a_confirmation_may_be(self) -> None:
        """Guards against figures of one deployment in the code of all.

        Where changes must be known within 5 s, a report of 3 s ago is no reason to
        read the store; where within 1.5 s, one of 1 s ago is.
        """
        for known_ms, age_ms, is_relayed in ((5_000, 3_000, True), (1_500, 900, False)):
            exchange = self.exchange()
            settings = exchange._state.settings
            bounds = settings.bounds._replace(configuration_known_ms=known_ms)
            exchange._state.settings = settings._replace(bounds=bounds)
            exchange.on_heartbeat("vm-3", heartbeat(40, age_ms=age_ms))
            self.assertEqual(is_relayed, exchange.is_relayed)

    async def test_a_relay_that_does_not_deliver_is_not_relied_on(self) -> None:
        """A VM that stays behind reads the store itself."""
        exchange = self.exchange()
        for _ in range(4):
            exchange.on_heartbeat("vm-3", heartbeat(41))
            await trio.sleep(0.4)
        self.assertFalse(exchange.is_relayed)

    async def test_a_relay_relies_on_nobody(self) -> None:
        """It watches the store itself."""
        exchange = self.exchange()
        exchange.set_relays(("vm-1", "vm-3"))
        exchange.on_heartbeat("vm-3", heartbeat(40))
        self.assertTrue(exchange.is_relay)
        self.assertFalse(exchange.is_relayed)


class _Vm:
    """A VM of a region: its watcher, its exchange and its links."""

    def __init__(self, region: "_Region", name: str) -> None:
        self.name = name
        self.state = new_state()
        self.exchange = ConfigurationExchange(
            self.state, name, region_of=lambda vm: "north"
        )
        self.exchange.set_relays(("vm-1", "vm-2"))
        self.store = PlatformStoreStandIn()
        links: Any = _RegionLinks(region, name)
        self.exchange.network = links


class _RegionLinks:
    def __init__(self, region: "_Region", vm: str) -> None:
        self._region = region
        self._vm = vm

    def send(self, vm: str, message: Message) -> bool:
        return self._region.deliver(self._vm, vm, message)

    reply = send


class _Region:
    """VMs of one region; each has a stand-in of the store, so that some can be cut."""

    def __init__(self, vm_count: int) -> None:
        self.vms = {
            f"vm-{number}": _Vm(self, f"vm-{number}")
            for number in range(1, vm_count + 1)
        }

    def deliver(self, sender: str, receiver: str, message: Message) -> bool:
        exchange = self.vms[receiver].exchange
        handlers: dict[type, Any] = {
            TreeFetch: exchange.on_fetch,
            ConfigurationNews: exchange.on_news,
        }
        handlers[type(message)](sender, message)
        return True

    def configure(self, version: int) -> None:
        """Write a configuration with a version to the store."""
        document = as_bytes(changed(CONFIGURATION, "version", version))
        for vm in self.vms.values():
            vm.store.put("op/config", document)

    def versions(self) -> set[int]:
        """Return the versions in force."""
        return {
            vm.state.configuration.version if vm.state.configuration else 0
            for vm in self.vms.values()
        }

    def watched_events(self) -> int:
        """Return how many configurations the store has sent to watches."""
        return sum(vm.store.watched_count for vm in self.vms.values())

    async def run(self) -> None:
        """Run the watchers and heartbeats of all VMs."""
        async with trio.open_nursery() as nursery:
            for vm in self.vms.values():
                nursery.start_soon(self._watch, vm)
            while True:
                await trio.sleep(0.5)
                for relay in ("vm-1", "vm-2"):
                    self._send_heartbeats(self.vms[relay])

    async def _watch(self, vm: _Vm) -> None:
        async with trio.open_nursery() as nursery:
            backend = MemoryBackend(vm.store, nursery)
            async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                watcher = ConfigurationWatcher(
                    vm.state,
                    client,
                    StoreHealth(vm.state),
                    relays=vm.exchange,
                )
                await watcher.run()

    def _send_heartbeats(self, relay: _Vm) -> None:
        state = relay.state
        age_ms = min(now_ms() - state.configuration_confirmed_ms, 1e9)
        message = heartbeat(state.configuration_revision.number, age_ms=int(age_ms))
        for vm in self.vms.values():
            if vm is not relay:
                vm.exchange.on_heartbeat(relay.name, message)


class RegionTests(TrioTestCase):
    """A region reads each configuration from the store twice, whatever its size."""

    async def _run(self, region: _Region, check: Any) -> None:
        region.configure(10)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(region.run)
            await trio.sleep(5)
            self.assertEqual({10}, region.versions())
            await check()
            nursery.cancel_scope.cancel()

    async def test_a_change_crosses_the_link_between_regions_twice(self) -> None:
        """Guards against configurations that are late where the link is narrow.

        A document for each VM of a region takes seconds, and a route that was added
        is refused meanwhile.
        """
        region = _Region(20)

        async def check() -> None:
            before = region.watched_events()
            region.configure(11)
            await trio.sleep(1.0)
            self.assertEqual({11}, region.versions())
            self.assertEqual(2, region.watched_events() - before)

        await self._run(region, check)

    async def test_both_relays_may_be_cut_from_the_store(self) -> None:
        """The VMs that rely on them read the change themselves, in time."""
        region = _Region(6)

        async def check() -> None:
            for relay in ("vm-1", "vm-2"):
                region.vms[relay].store.silent = True
            # The watches that wait already are answered by then.
            await trio.sleep(1.1)
            region.configure(11)
            await trio.sleep(APPLY_S)
            others = [vm for name, vm in region.vms.items() if name > "vm-2"]
            versions = {
                vm.state.configuration.version
                for vm in others
                if vm.state.configuration is not None
            }
            self.assertEqual({11}, versions)

        await self._run(region, check)
