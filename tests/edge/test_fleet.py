"""Tests of the updates that VMs send each other."""

from typing import Any

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._registration import VmEntry
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.wire import (
    ConfigurationNews,
    CustomerDemand,
    Heartbeat,
    Message,
    ReplicaNews,
    TreeFetch,
)
from tests.gateway.records import configuration
from tests.platform.documents import CONFIGURATION, SETTINGS, as_bytes
from tests.support import TrioTestCase

HERE = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1")


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    def send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        return True

    reply = send

    def sync_peers(self, peers: object) -> None:
        """Ignore the peers; no links are opened."""

    def broadcast(self, message: Message, *, skip: str = "") -> None:
        self.sent.append((f"all but {skip}", message))


class EdgeFleetTests(TrioTestCase):
    """Updates are sent to VMs that lack them and applied if they are newer."""

    def fleet(self) -> tuple[EdgeFleet, EdgeState, _Links]:
        """Return a fleet of a VM that has the configuration of revision 40."""
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        state.configuration = configuration()
        state.configuration_document = b"document"
        state.configuration_revision = 40
        fleet = EdgeFleet(state, HERE)
        links: Any = _Links()
        fleet.network = links
        return fleet, state, links

    async def test_only_the_scheduler_reports_the_demand_of_its_domain(self) -> None:
        """Guards against heartbeats whose size and cost grow for nobody's use."""
        fleet, _, _ = self.fleet()
        larger = VmEntry("vm-2", "z1", "north", "10.0.0.2:7600", "b", 2.0, 200)
        fleet.apply_vms([HERE, larger])
        demands = (CustomerDemand("clinics", 5.0, 40.0),)
        fleet.on_heartbeat("vm-2", Heartbeat(40, "", 0, False, demands=demands))
        self.assertEqual((0, ()), fleet.heartbeat()[8:6:-1])
        fleet.apply_vms([HERE, larger._replace(cpu_cores=0.0, link_mbps=0.0)])
        fleet.on_heartbeat("vm-2", Heartbeat(40, "", 0, True, demands=demands))
        self.assertEqual((2, demands), fleet.heartbeat()[8:6:-1])

    async def test_the_largest_vm_of_a_region_schedules(self) -> None:
        """Guards against schedulers that are silent at the first burst.

        The work of a scheduler grows with its region, so a small VM cannot carry it.
        """
        fleet, _, _ = self.fleet()
        entries = [
            VmEntry(
                f"vm-{number}", "z1", "north", f"10.0.0.{number}:7600", "b", 0.5, 10
            )
            for number in range(1, 9)
        ]
        entries[4] = entries[4]._replace(cpu_cores=2.15, link_mbps=200)
        entries[5] = entries[5]._replace(cpu_cores=2.15, link_mbps=100)
        fleet.apply_vms(entries)
        candidates = fleet.membership.candidates("north", 2)
        self.assertEqual(["vm-5", "vm-6"], [record.name for record in candidates])
        now = now_ms()
        fleet.on_heartbeat("vm-5", Heartbeat(40, "", 0, False))
        scheduler = fleet.membership.scheduler_of("chat", "north", now)
        self.assertEqual("vm-5", scheduler)

    async def test_a_vm_that_is_a_moment_behind_gets_no_copy(self) -> None:
        """Guards against links that fill up with copies at each new configuration.

        Every VM is behind for a moment, until its own watch brings the new one.
        """
        fleet, _, links = self.fleet()
        for number in range(2, 80):
            fleet.on_heartbeat(f"vm-{number}", Heartbeat(39, "", 0, False))
        self.assertEqual([], links.sent)

    async def test_a_vm_that_stays_behind_fetches_one_copy(self) -> None:
        """A VM whose watch brings nothing asks one VM, not all that are ahead."""
        fleet, _, links = self.fleet()
        for _ in range(4):
            for number in range(2, 6):
                fleet.on_heartbeat(f"vm-{number}", Heartbeat(41, "", 0, False))
            await trio.sleep(0.4)
        self.assertEqual([("vm-2", TreeFetch(40, ""))], links.sent)

    async def test_a_copy_that_does_not_come_is_fetched_again(self) -> None:
        """A fetch that is lost with its link is repeated, from any VM that is ahead."""
        fleet, _, links = self.fleet()
        fleet.on_heartbeat("vm-2", Heartbeat(41, "", 0, False))
        await trio.sleep(1.1)
        fleet.on_heartbeat("vm-2", Heartbeat(41, "", 0, False))
        await trio.sleep(1.1)
        fleet.on_heartbeat("vm-3", Heartbeat(41, "", 0, False))
        fetch = TreeFetch(40, "")
        self.assertEqual([("vm-2", fetch), ("vm-3", fetch)], links.sent)

    async def test_another_region_is_asked_later(self) -> None:
        """The link between regions is narrow: a VM nearby is asked first."""
        fleet, _, links = self.fleet()
        far = VmEntry("vm-9", "z9", "south", "10.9.0.1:7600", "b")
        fleet.apply_vms([HERE, far])
        fleet.on_heartbeat("vm-9", Heartbeat(41, "", 0, False))
        await trio.sleep(1.2)
        fleet.on_heartbeat("vm-9", Heartbeat(41, "", 0, False))
        self.assertEqual([], links.sent)
        await trio.sleep(0.4)
        fleet.on_heartbeat("vm-9", Heartbeat(41, "", 0, False))
        self.assertEqual([("vm-9", TreeFetch(40, ""))], links.sent)

    async def test_a_vm_without_a_configuration_asks_soon(self) -> None:
        """It refuses all requests until it has one."""
        fleet, state, links = self.fleet()
        state.configuration, state.configuration_revision = None, -1
        fleet.on_heartbeat("vm-2", Heartbeat(40, "", 0, False))
        await trio.sleep(0.35)
        fleet.on_heartbeat("vm-2", Heartbeat(40, "", 0, False))
        self.assertEqual([("vm-2", TreeFetch(0, ""))], links.sent)

    async def test_a_newer_configuration_is_sent_on_request(self) -> None:
        """Nothing is sent to a VM that has as new a one."""
        fleet, _, links = self.fleet()
        fleet.on_fetch("vm-2", TreeFetch(40, ""))
        fleet.on_fetch("vm-3", TreeFetch(39, ""))
        self.assertEqual([("vm-3", ConfigurationNews(40, b"document"))], links.sent)

    async def test_a_newer_configuration_of_another_vm_is_applied(self) -> None:
        """A newer configuration is applied, an older one is not."""
        fleet, state, _ = self.fleet()
        document = as_bytes({**CONFIGURATION, "version": 7})
        fleet.on_update("vm-2", ConfigurationNews(39, document))
        self.assertEqual(40, state.configuration_revision)
        fleet.on_update("vm-2", ConfigurationNews(41, document))
        self.assertEqual(41, state.configuration_revision)

    async def test_a_replica_update_is_forwarded_once(self) -> None:
        """A new replica update is broadcast once, and not to its sender."""
        fleet, state, links = self.fleet()
        news = ReplicaNews("i-1", 50, False, "ledger", "10.0.0.9:80", "z1", 4, True)
        fleet.on_update("vm-2", news)
        fleet.on_update("vm-3", news)
        self.assertEqual([("all but vm-2", news)], links.sent)
        self.assertTrue(state.replicas.replicas()[0].is_draining)
