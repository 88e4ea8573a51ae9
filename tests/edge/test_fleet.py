"""Tests of the updates that VMs send each other."""

import itertools
from typing import Any

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.store._registration import VmEntry
from hemlocktrestle.gateway import FleetSnapshot, Incarnation
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.wire import (
    CustomerDemand,
    Heartbeat,
    LeavingReplica,
    Message,
    Permit,
    decode,
    encode,
)
from tests.gateway.records import at, configuration, replica_update
from tests.peers.test_scheduler_task import ask
from tests.platform.documents import SETTINGS
from tests.support import TrioTestCase

HERE = VmEntry("vm-1", "z1", "north", "10.0.0.1:7600", "b1")


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.heartbeat_count = 0

    def send_heartbeats(self) -> None:
        self.heartbeat_count += 1

    def send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        return True

    reply = send

    def broadcast(self, message: Message, **recipients: object) -> None:
        """Ignore changes of the replicas."""

    def sync_peers(self, peers: object) -> None:
        """Ignore the peers; no links are opened."""


class _FleetCase(TrioTestCase):
    def fleet(self) -> tuple[EdgeFleet, EdgeState, _Links]:
        """Return a fleet of a VM that has the configuration of revision 40."""
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        state.configuration = configuration()
        state.configuration_document = b"document"
        state.configuration_revision = at(40)
        fleet = EdgeFleet(state, HERE)
        links: Any = _Links()
        fleet.network = links
        return fleet, state, links


class EdgeFleetTests(_FleetCase):
    """Updates are sent to VMs that lack them and applied if they are newer."""

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


class SchedulerTests(_FleetCase):
    """A scheduler on this VM knows of a change as soon as the registry does."""

    async def test_a_replica_that_drains_is_granted_no_more(self) -> None:
        """Guards against grants from an old set of replicas until the next check.

        A VM that stood still reads a backlog of permit requests when it wakes.
        """
        fleet, state, _ = self.fleet()
        fleet.apply_vms([HERE])
        for name in ("r1", "r2"):
            state.replicas.apply_update(replica_update(name, 1))
        fleet.replica_exchange.publish()
        granted: list[str] = []

        def reply(vm: str, message: Message) -> bool:
            if isinstance(message, Permit):
                granted.append(message.upstream)
            return True

        task = SchedulerTask(fleet.membership, reply=reply, now_ms=now_ms)
        fleet.scheduler_task = task
        for number in range(4):
            task.on_message("vm-2", ask(f"a{number}")._replace(pool="ledger"))
        task._process_inbox()
        self.assertEqual({"r1", "r2"}, set(granted))
        granted.clear()
        state.replicas.apply_update(replica_update("r1", 2, is_draining=True))
        fleet.replica_exchange.publish()
        for number in range(4):
            task.on_message("vm-2", ask(f"b{number}")._replace(pool="ledger"))
        task._process_inbox()
        self.assertEqual({"r2"}, set(granted))


class SoundRequestTests(_FleetCase):
    """Heartbeats tell of requests that crashes are blamed on and that were answered."""

    async def test_an_answer_at_one_vm_counts_at_the_others(self) -> None:
        """A VM tells on what it heard, as not all VMs are linked to each other."""
        fleets = [self.fleet()[0] for _ in range(3)]
        for fleet in fleets:
            fleet.quarantine.record_crash(
                "ledger", "f1", upstream="r1 #1", request_id="q1", now_ms=now_ms()
            )
        await trio.sleep(0.1)
        fleets[0].quarantine.record_answer("f1", now_ms())
        for fleet, other in itertools.pairwise(fleets):
            message = decode(encode(fleet.heartbeat()))
            other.on_heartbeat("vm-9", message)
        self.assertEqual([0, 0, 0], [len(fleet.quarantine) for fleet in fleets])


class LeavingReplicaTests(_FleetCase):
    """That a replica leaves is known to all VMs, as if it had registered so.

    Guards against permits for a replica that other VMs know to leave.
    """

    def leaving_fleet(self) -> tuple[EdgeFleet, EdgeState, _Links]:
        """Return a fleet whose registry lists a replica as ready."""
        fleet, state, links = self.fleet()
        fleet.apply_vms([HERE])
        state.replicas.apply_update(replica_update("r1", 1, born_ms=7))
        fleet.sync()
        return fleet, state, links

    def names(self, fleet: EdgeFleet) -> list[str]:
        """Return the replicas that the scheduler of this VM may grant."""
        found = fleet.membership.upstreams("ledger", "north", now_ms())
        return [record.name for record in found]

    async def test_another_vm_tells_of_it(self) -> None:
        """The scheduler grants it no more, and a relay passes the news on once."""
        fleet, _, links = self.leaving_fleet()
        self.assertEqual(["r1"], self.names(fleet))
        news = Heartbeat(40, "", 0, False, leaving=(LeavingReplica("r1", 7),))
        for vm in ("vm-2", "vm-3"):
            fleet.on_heartbeat(vm, news)
        self.assertEqual([], self.names(fleet))
        self.assertEqual(1, links.heartbeat_count)
        self.assertEqual(news.leaving, fleet.heartbeat().leaving)

    async def test_heartbeats_name_it_until_its_registration_does(self) -> None:
        """A new link or a new scheduler hears it too; then the registry tells."""
        fleet, state, _ = self.leaving_fleet()
        news = Heartbeat(40, "", 0, False, leaving=(LeavingReplica("r1", 7),))
        fleet.on_heartbeat("vm-2", news)
        state.replicas.apply_update(
            replica_update("r1", 2, born_ms=7, is_draining=True)
        )
        self.assertEqual((), fleet.heartbeat().leaving)

    async def test_another_incarnation_is_granted_again(self) -> None:
        """The same id with another start takes work at every VM."""
        fleet, state, _ = self.leaving_fleet()
        news = Heartbeat(40, "", 0, False, leaving=(LeavingReplica("r1", 7),))
        fleet.on_heartbeat("vm-2", news)
        state.replicas.apply_update(replica_update("r1", 2, born_ms=8))
        fleet.sync()
        self.assertEqual((["r1"], ()), (self.names(fleet), fleet.heartbeat().leaving))
        self.assertEqual(Incarnation("r1", 8), state.replicas.incarnation("r1"))
