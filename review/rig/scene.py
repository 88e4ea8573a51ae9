"""A small deployment: store, replicas and machines, and the record of a run."""

import json
import os
import sys
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import trio

from review.rig.replica import Replica
from review.rig.store import Store
from review.rig.vm import Vm, own_ip
from tests.standins.relay import RelayedLink

CONTACT_S = 4.0
DRAIN_S = 2.5
LIMIT_S = 110.0

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a plain service."""
    return {
        "name": name,
        "host": "rota.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "attempts": 2 if kind == "idempotent" else 1,
        "public": True,
        **fields,
    }


class Scene:
    """One run.

    Args:
        folder: temporary folder of the run.
        record: the file to which the run is written.
    """

    def __init__(self, folder: Path, record: Path) -> None:
        self.folder = folder
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.replicas: list[Replica] = []
        self.vms: list[Vm] = []
        self.nursery: trio.Nursery | None = None
        self.store_address = ""
        self._links: list[RelayedLink] = []
        self._record = record.open("w", encoding="utf-8")
        self._began_s = trio.current_time()
        self.version = 0

    def write(self, event: str, **fields: Any) -> None:
        """Add a line to the record."""
        at_s = round(trio.current_time() - self._began_s, 3)
        self._record.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")
        self._record.flush()

    def configure(
        self,
        routes: list[dict[str, Any]],
        services: list[str],
        *,
        engines: dict[str, int] | None = None,
        tenants: list[dict[str, Any]] | None = None,
    ) -> None:
        """Write a configuration as the operator does."""
        self.version += 3
        document: dict[str, Any] = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/health", "maxConns": 96}
                for name in services
            ],
            "limits": LIMITS,
        }
        for name, slots in (engines or {}).items():
            engine = {"slots": slots, "kvCapacityTokens": 690875, "stride": 6}
            document["services"].append(
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 360,
                    "engine": engine,
                }
            )
        if tenants:
            document["tenants"] = tenants
        self.store.put("op/config", json.dumps(document).encode())
        self.write("configuration_acknowledged", version=self.version)

    async def start_store(self) -> None:
        """Start the store."""
        assert self.nursery is not None
        listeners = await trio.open_tcp_listeners(0, host=own_ip(200))
        host, port = listeners[0].socket.getsockname()[:2]
        self.store_address = f"{host}:{port}"
        self.nursery.start_soon(trio.serve_listeners, self.store.serve, listeners)
        self.nursery.start_soon(self.store.expire_leases)

    async def add_replica(
        self, replica_id: str, service: str, zone: str, **options: Any
    ) -> Replica:
        """Start a replica, which registers itself."""
        assert self.nursery is not None
        ip = own_ip(100 + len(self.replicas))
        replica = Replica(replica_id, service, zone, ip, self.write, **options)
        await self.nursery.start(
            partial(replica.run, self.store.put, self.store.remove)
        )
        self.replicas.append(replica)
        return replica

    async def add_vms(self, zones: list[str], region_of: dict[str, str]) -> None:
        """Start a machine in each zone of a list, each with a proxy to the store."""
        assert self.nursery is not None
        for number, zone in enumerate(zones):
            link = RelayedLink(self.store_address)
            listeners = await trio.open_tcp_listeners(0, host=own_ip(50 + number))
            host, port = listeners[0].socket.getsockname()[:2]
            self.nursery.start_soon(trio.serve_listeners, link.accept, listeners)
            self._links.append(link)
            name = f"front-{zone}-{number}"
            store = f"{host}:{port}"
            vm = Vm(
                name,
                number,
                zone,
                zones=region_of,
                store=store,
                folder=self.folder,
                write=self.write,
            )
            self.vms.append(vm)
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                nursery.start_soon(vm.start)

    def silence_store_connections(self) -> None:
        """Let the open connections to the store go silent; new ones work."""
        for link in self._links:
            link.set_mode("silent")
            link.mode = "pass"
        self.write("open_connections_to_store_silent")

    def finish(self, *, is_broken: bool, **fields: Any) -> int:
        """Record the result and return the exit code."""
        self.write("result", rule="broken" if is_broken else "held", **fields)
        return EXIT_BROKEN if is_broken else EXIT_HELD


@asynccontextmanager
async def _open_scene(record: Path) -> AsyncIterator[Scene]:
    with TemporaryDirectory() as folder:
        scene = Scene(Path(folder), record)
        async with trio.open_nursery() as nursery:
            scene.nursery = nursery
            try:
                await scene.start_store()
                yield scene
            finally:
                with trio.CancelScope(shield=True):
                    for vm in scene.vms:
                        await vm.end()
                _keep_logs(scene)
                nursery.cancel_scope.cancel()


def _keep_logs(scene: Scene) -> None:
    target = os.environ.get("KEEP_LOGS")
    if target:
        for path in scene.folder.glob("*.log"):
            (Path(target) / path.name).write_bytes(path.read_bytes())


def play(folder: Path, story: Callable[[Scene], Awaitable[int]]) -> None:
    """Play a story and exit with its result."""

    async def run() -> int:
        code = EXIT_NOT_RUN
        with trio.move_on_after(LIMIT_S):
            async with _open_scene(folder / "record.txt") as scene:
                code = await story(scene)
        return code

    try:
        code = trio.run(run)
    except Exception as error:
        print("the case could not run:", file=sys.stderr)
        traceback.print_exception(error)
        code = EXIT_NOT_RUN
    sys.exit(code)
