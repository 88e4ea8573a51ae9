"""Test deployment: edge processes, replicas, a store, and relays between them."""

import json
import os
import signal
import subprocess
from collections.abc import Callable
from itertools import cycle
from pathlib import Path
from typing import Any

import trio

from tests.cluster import HANG_TIMEOUT_S
from tests.edge.test_processes import as_toml, log_lines, open_edge
from tests.platform.documents import CONFIGURATION, SETTINGS, as_bytes, changed
from tests.soak._timeline import Timeline
from tests.standins.http import serve
from tests.standins.platform_store import PlatformStoreStandIn
from tests.standins.relay import RelayedLink
from tests.standins.replica import ReplicaStandIn, Run

VM_COUNT = 4
"""Number of VMs, if a run does not state another."""

LARGE_VM_INTERVAL = 4
"""Every VM of this number is larger than the others, so that it ranks first."""

REPLICA_COUNT = 4
LEDGER_COUNT = 3

VM_PREFIX = "hemlocktrestle/vms/"

EVENT_COUNT = 8
"""Number of events in a complete stream."""

IDLE_S = 2
"""Time after which replicas close idle connections, in whole seconds."""

KEY = "k1"
TENANT = "clinics"

PEER_PORT = 7600
"""Port for links between processes; each process has its own loopback address."""

SELF_CAUSED_CPU_SHARE = 0.5
"""Share of CPU time in a stall above which the process itself caused it."""


def own_ip(number: int) -> str:
    """Return a loopback address that only this soak uses, so that ports are free."""
    high, low = divmod(os.getpid() % 60_000, 250)
    return f"127.{high + 1}.{low + 1}.{number + 1}"


async def open_link(nursery: trio.Nursery, target: str) -> tuple[RelayedLink, str]:
    """Open a relay to a target; returns the link and the relay's address."""
    link = RelayedLink(target)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, link.accept, listeners)
    return link, f"127.0.0.1:{port}"


class Vm:
    """A VM and its edge process, which may be down.

    Args:
        name: its name.
        ip: its address.
        zone: its availability zone.
        deployment: the deployment.
        folder: folder of its settings file.
        cpu_share: its processor time, as its settings state it.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        deployment: "Deployment",
        folder: Path,
        *,
        cpu_share: float,
    ) -> None:
        self._cpu_share = cpu_share
        self.name = name
        self.ip = ip
        self.zone = zone
        self._deployment = deployment
        self._path = folder / f"{name}.toml"
        self.process: trio.Process | None = None
        self.addresses: dict[str, str] = {}
        self.unexpected: list[str] = []
        self.overdue_count = 0
        self.store_link: RelayedLink | None = None
        self.peer_link: RelayedLink | None = None
        self.store_address = ""
        self.peer_address = ""
        self.is_restarting = False
        self._ended: set[trio.Process] = set()

    @property
    def is_up(self) -> bool:
        """Whether its process runs and accepts callers."""
        return self.process is not None and "callers" in self.addresses

    async def start(self) -> None:
        """Start its process and wait until it has logged its addresses."""
        document = {
            **SETTINGS,
            "nodeName": self.name,
            "zone": self.zone,
            "region": SETTINGS["zones"][self.zone],
            "ipAddr": self.ip,
            "internalPorts": [PEER_PORT, PEER_PORT],
            "listen": {"front": "127.0.0.1:0", "readyAddr": "127.0.0.1:0"},
            "limits": {**SETTINGS["limits"], "cpuShare": self._cpu_share},
            "platformSettings": {"address": self.store_address},
        }
        self._path.write_text(as_toml(document), encoding="utf-8")
        self.addresses = {}
        process = await open_edge(self._path, stderr=subprocess.PIPE)
        self.process = process
        self._deployment.nursery.start_soon(self._read, process)
        self._deployment.nursery.start_soon(self._watch, process)
        with trio.move_on_after(HANG_TIMEOUT_S):
            while self.process is process and not self.is_up:
                await trio.sleep(0.02)
        if self.process is process and not self.is_up:
            self.unexpected.append(f"not up within {HANG_TIMEOUT_S} s")

    def send(self, number: int) -> None:
        """Send a signal; after SIGKILL or SIGTERM an exit is expected."""
        if self.process is None:
            return
        if number in {signal.SIGKILL, signal.SIGTERM}:
            self._ended.add(self.process)
        self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for its process to end; returns the exit code."""
        process = self.process
        assert process is not None
        code = await process.wait()
        self.process = None
        self.addresses = {}
        return code

    async def _read(self, process: trio.Process) -> None:
        async for lines in log_lines(process):
            for line in lines:
                self._take(line)

    def _take(self, line: dict[str, Any]) -> None:
        self._deployment.log(line)
        stall_ms = line.get("stall_ms", 0)
        if line.get("cpu_ms", 0) < stall_ms * SELF_CAUSED_CPU_SHARE:
            now_s = trio.current_time()
            self._deployment.timeline.record(self.name, now_s - stall_ms / 1000, now_s)
        if line["event"] == "started":
            self.addresses = {name: line[name] for name in ("callers", "ready")}

    async def _watch(self, process: trio.Process) -> None:
        """Record an unexpected exit or any output on standard error."""
        assert process.stderr is not None
        said = b""
        while data := await process.stderr.receive_some(65_536):
            said += data
        code = await process.wait()
        if said or process not in self._ended:
            text = said.decode(errors="replace")[-800:]
            self.unexpected.append(f"exit {code}: {text}")


class Replica:
    """One replica behind a link, and its entry in the store."""

    def __init__(self, standin: ReplicaStandIn, service: str) -> None:
        self.standin = standin
        self.service = service
        self.link: RelayedLink | None = None
        self.address = ""
        self.draining_from_s = float("inf")
        self.ended_s = float("inf")
        self.scope = trio.CancelScope()

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f"servers/{self.standin.replica_id}"

    def entry(self, state: str = "ready") -> bytes:
        """Return its entry for the store."""
        return self.standin.entry(self.address, service=self.service, state=state)


class Deployment:
    """The deployment of one soak.

    Args:
        nursery: runs all tasks.
        folder: folder for settings files.
        log: called with each log line of the processes.
        vm_count: how many VMs, 250 at most.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        folder: Path,
        log: Callable[[dict[str, Any]], None],
        *,
        vm_count: int = VM_COUNT,
    ) -> None:
        self.nursery = nursery
        self.log = log
        self.timeline = Timeline()
        self.store = PlatformStoreStandIn()
        self.store_address = ""
        zones = cycle(sorted(SETTINGS["zones"]))
        self.vms = {
            f"vm-{number}": Vm(
                f"vm-{number}",
                own_ip(number),
                zone,
                self,
                folder,
                cpu_share=0.5 if number % LARGE_VM_INTERVAL else 1.0,
            )
            for number, zone in zip(range(vm_count), zones, strict=False)
        }
        self.replicas: dict[str, Replica] = {}
        self.removed_replicas: list[Replica] = []
        self.version = 0
        self.versions: list[tuple[float, int]] = []
        self._replica_count = 0
        self._document = b""

    async def start(self) -> None:
        """Start the store, the replicas, the links and the processes."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.store_address = f"{host}:{port}"
        self.nursery.start_soon(trio.serve_listeners, self.store.serve, listeners)
        self.configure()
        for number in range(REPLICA_COUNT + LEDGER_COUNT):
            await self.add_replica("assistant" if number < REPLICA_COUNT else "ledger")
        for vm in self.vms.values():
            vm.store_link, vm.store_address = await open_link(
                self.nursery, self.store_address
            )
            vm.peer_link, vm.peer_address = await open_link(
                self.nursery, f"{vm.ip}:{PEER_PORT}"
            )
        self.store.on_put = self._with_link
        async with trio.open_nursery() as nursery:
            for vm in self.vms.values():
                nursery.start_soon(vm.start)

    def kill_all(self) -> None:
        """Kill all processes that were started here."""
        for vm in self.vms.values():
            vm.send(signal.SIGKILL)

    def configure(self) -> None:
        """Write the next configuration, with a route that only this version has."""
        self.version += 1
        advice, log = CONFIGURATION["routes"]
        ledger = {"service": "ledger", "weightedSplit": None}
        routes = [
            advice,
            {**log, "weightedSplit": [{"service": "ledger", "weight": 1}]},
            {**log, **ledger, "name": "r-read", "prefix": "/read/"},
            {**log, **ledger, "name": "r-own", "prefix": f"/v{self.version}/"},
        ]
        for route in routes[2:]:
            route |= {"kind": "idempotent", "attempts": 2}
            del route["weightedSplit"]
        document = changed(CONFIGURATION, "routes", routes)
        document = changed(document, "version", self.version)
        document = changed(document, "tenants.0.ratePerS", 0)
        self._document = as_bytes(document)
        self.store.put("op/config", self._document)
        self.versions.append((trio.current_time(), self.version))

    def write_again(self) -> None:
        """Write what the operator and the replicas had written before a restore."""
        self.store.put("op/config", self._document)
        for replica in self.removed_replicas:
            self.store.remove(replica.key)
        for replica in self.replicas.values():
            is_draining = replica.draining_from_s < float("inf")
            state = "draining" if is_draining else "ready"
            self.store.put(replica.key, replica.entry(state))

    async def add_replica(self, service: str) -> Replica:
        """Start a replica and register it."""
        self._replica_count += 1
        zones = sorted(SETTINGS["zones"])
        standin = ReplicaStandIn(
            f"i-{self._replica_count}",
            zone=zones[self._replica_count % len(zones)],
            event_count=EVENT_COUNT,
            event_ms=25.0,
            work_ms=30.0,
            idle_s=IDLE_S,
        )
        replica = Replica(standin, service)
        found: list[str] = []
        self.nursery.start_soon(self._serve_replica, replica, found.append)
        while not found:
            await trio.sleep(0.01)
        replica.link, replica.address = await open_link(self.nursery, found[0])
        self.replicas[standin.replica_id] = replica
        self.store.put(replica.key, replica.entry())
        return replica

    def remove_replica(self, replica: Replica) -> None:
        """Stop a replica at once, with its open connections.

        A replica that drains may crash meanwhile; it is removed once.
        """
        if self.replicas.pop(replica.standin.replica_id, None) is None:
            return
        self.removed_replicas.append(replica)
        replica.ended_s = trio.current_time()
        replica.scope.cancel()

    def runs(self) -> list[Run]:
        """Return all runs of current and removed replicas."""
        return [
            run
            for replica in [*self.replicas.values(), *self.removed_replicas]
            for run in replica.standin.runs
        ]

    async def _serve_replica(
        self, replica: Replica, announce: Callable[[str], None]
    ) -> None:
        with replica.scope:
            await serve(replica.standin.handle, announce=announce, idle_s=IDLE_S)

    def _with_link(self, key: str, value: bytes) -> bytes:
        """Replace a VM's address in its entry by that of its relayed link."""
        vm = self.vms.get(key.removeprefix(VM_PREFIX))
        if vm is None or not key.startswith(VM_PREFIX):
            return value
        entry = json.loads(value)
        return json.dumps({**entry, "address": vm.peer_address}).encode()
