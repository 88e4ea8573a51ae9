"""A few VMs that lead and follow one order, over a stand-in of the store."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.rollouts._leader import RolloutLeader
from hemlocktrestle.edge.store._rollout_watcher import RolloutWatcher
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.gateway import FleetSnapshot, ReplicaRegistry
from hemlocktrestle.platform import PlatformStore, decode_settings
from hemlocktrestle.rollout import Order, Phase, Use
from hemlocktrestle.wire import Message, RolloutReport, decode, encode
from tests.gateway.records import replica_update
from tests.platform.documents import SETTINGS, changed
from tests.platform.test_store import MemoryBackend
from tests.standins.platform_store import PlatformStoreStandIn

SERVICE = "ledger"

ORDER = Order(SERVICE, "v2", 12_000)

ORDER_KEY = "op/rollout/ledger"

STATUS_KEY = "status/rollout/ledger"

RECORD_KEY = "hemlocktrestle/rollouts/ledger"

ROLLOUT_SETTINGS = changed(
    changed(SETTINGS, "contracts", ["base", "rollout"]),
    "contractBounds",
    {
        **SETTINGS["contractBounds"],
        "exposeShare": 0.1,
        "exposeSlack": 50,
        "rollbackMs": 5_000,
    },
)


class Vm:
    """One VM: what it knows of orders, and its part in leading them."""

    def __init__(self, fleet: "Fleet", name: str, store: PlatformStore) -> None:
        settings = decode_settings(ROLLOUT_SETTINGS, source="test")
        self.name = name
        self.state = EdgeState(
            settings, fleet=lambda customer=None: FleetSnapshot(1, 1, {})
        )
        self.rollouts = self.state.rollouts
        self.rollouts.versions._registry = fleet.registry
        self.rollouts.on_replicas_changed()
        self.rollouts.send = lambda vm, message: fleet.deliver(name, vm, message)
        self.leader = RolloutLeader(
            self.rollouts,
            store,
            name,
            is_leader=lambda: fleet.leader == name,
            vms=lambda: set(fleet.vms),
            broadcast=lambda message: fleet.broadcast(name, message),
            now_ms=now_ms,
        )
        self.watcher = RolloutWatcher(
            self.rollouts,
            store,
            StoreHealth(self.state),
            is_watching=lambda: name not in fleet.not_watching,
        )
        self.scope = trio.CancelScope()

    @property
    def phase(self) -> Phase:
        """The phase that is in force here."""
        return self.rollouts.followers[SERVICE].phase

    def use(self, version: str) -> Use:
        """Return what a version may be used for here."""
        return self.rollouts.use(SERVICE, version)

    async def run(self) -> None:
        """Run until the VM is killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watcher.run)
                nursery.start_soon(self.leader.run)


class Fleet:
    """VMs that reach each other unless they are cut off, and the first one leads."""

    def __init__(self, store: PlatformStoreStandIn) -> None:
        self.store = store
        self.registry = ReplicaRegistry()
        for number in range(4):
            version = "v1" if number < 2 else "v2"
            self.registry.apply_update(
                replica_update(f"r{number}", 1, version=version, born_ms=number)
            )
        self.vms: dict[str, Vm] = {}
        self.cut: set[str] = set()
        self.not_watching: set[str] = set()
        self.states: list[str] = []

    @property
    def leader(self) -> str:
        """The VM that leads: the first that is alive."""
        return min(self.vms)

    def broadcast(self, source: str, message: Message) -> None:
        """Deliver a message to all VMs but its source."""
        for vm in self.vms:
            if vm != source:
                self.deliver(source, vm, message)

    def deliver(self, source: str, target: str, message: Message) -> bool:
        """Deliver a message as it comes over the wire."""
        is_cut = source != target and self.cut & {source, target}
        if is_cut or target not in self.vms or source not in self.vms:
            return False
        vm, received = self.vms[target], decode(encode(message))
        if isinstance(received, RolloutReport):
            vm.leader.on_report(source, received)
        else:
            vm.rollouts.on_grant(source, received)
        return True

    def order(self) -> None:
        """Write the operator's order."""
        document = {"service": SERVICE, "target": "v2", "durationS": 12}
        self.store.put(ORDER_KEY, json.dumps(document).encode())

    def kill(self, name: str) -> None:
        """Kill a VM."""
        self.vms.pop(name).scope.cancel()

    @property
    def status(self) -> str:
        """The state that the operator reads, empty for none."""
        entry = self.store.entries.get(STATUS_KEY)
        return json.loads(entry.value)["state"] if entry is not None else ""

    def outcomes(self) -> set[str]:
        """Return all outcomes that the operator could ever read."""
        found = {
            json.loads(value)["state"]
            for key, _, value in self.store.events
            if key == STATUS_KEY and value is not None
        }
        return found - {"running"}

    async def until(self, phase: Phase) -> None:
        """Wait until every VM that is not cut off knows a phase."""
        while any(
            SERVICE not in vm.rollouts.followers or vm.phase is not phase
            for name, vm in self.vms.items()
            if name not in self.cut
        ):
            await trio.sleep(0.05)


@asynccontextmanager
async def running_fleet(count: int = 3) -> AsyncIterator[Fleet]:
    """Run VMs named ``a``, ``b`` and so on."""
    stand_in = PlatformStoreStandIn()
    fleet = Fleet(stand_in)
    async with trio.open_nursery() as nursery:
        backend = MemoryBackend(stand_in, nursery)
        async with PlatformStore("10.0.0.1:80", backend=backend) as store:
            for name in "abcdef"[:count]:
                fleet.vms[name] = Vm(fleet, name, store)
            for vm in fleet.vms.values():
                nursery.start_soon(vm.run)
            yield fleet
            nursery.cancel_scope.cancel()
