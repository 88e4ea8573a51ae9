"""Tests of the edge daemon as a process: start, serving, reload and shutdown."""

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import httpcore
import trio
from testtools import TestCase

from tests.cluster import HANG_TIMEOUT_S
from tests.platform.documents import CONFIGURATION, SETTINGS, as_bytes, changed
from tests.standins.http import serve
from tests.standins.platform_store import PlatformStoreStandIn
from tests.standins.replica import ReplicaStandIn

ONE_SERVICE = changed(
    CONFIGURATION, "routes.1.weightedSplit", [{"service": "ledger", "weight": 1}]
)


def as_toml(document: dict[str, Any]) -> str:
    """Return a settings document as TOML; the JSON values in use are valid TOML."""
    plain = {k: v for k, v in document.items() if not isinstance(v, dict)}
    lines = [f"{name} = {json.dumps(value)}" for name, value in plain.items()]
    for name, table in document.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"


async def open_edge(path: Path, **options: Any) -> trio.Process:
    """Start an edge process with a settings file and its output in a pipe."""
    return await trio.lowlevel.open_process(
        [sys.executable, "-m", "hemlocktrestle.edge", "--metrics-port", "0"],
        env={**os.environ, "HEMLOCKTRESTLE_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        **options,
    )


async def log_lines(process: trio.Process) -> AsyncIterator[list[dict[str, Any]]]:
    """Yield the log lines of a process as they arrive, until it ends."""
    assert process.stdout is not None
    rest = b""
    while data := await process.stdout.receive_some(65_536):
        *whole, rest = (rest + data).split(b"\n")
        yield [json.loads(line) for line in whole]


class Edge:
    """A running edge process and its log lines."""

    def __init__(self, process: trio.Process, path: Path) -> None:
        self.process = process
        self.path = path
        self.lines: list[dict[str, Any]] = []
        self._changed = trio.Event()
        self._has_ended = False

    async def read(self) -> None:
        """Collect log lines until the process ends."""
        async for lines in log_lines(self.process):
            self.lines += lines
            self._wake()
        self._has_ended = True
        self._wake()

    def _wake(self) -> None:
        seen, self._changed = self._changed, trio.Event()
        seen.set()

    async def logged(self, event: str, **fields: Any) -> dict[str, Any]:
        """Wait for a log line with the event and fields, and return it.

        Raises:
            RuntimeError: the process ended without it.
        """
        while True:
            for line in self.lines:
                if line["event"] == event and fields.items() <= line.items():
                    return line
            if self._has_ended:
                raise RuntimeError(f"process ended without {event}: {self.lines[-3:]}")
            await self._changed.wait()


class Platform:
    """Stand-ins of the platform's store and of a replica."""

    def __init__(self) -> None:
        self.store = PlatformStoreStandIn()
        self.replica = ReplicaStandIn("i-1")
        self.addresses: dict[str, str] = {}
        self.nursery: trio.Nursery

    async def start(self, nursery: trio.Nursery) -> None:
        """Start both, and write configuration and registrations."""
        self.nursery = nursery
        nursery.start_soon(self._serve_store)
        nursery.start_soon(
            partial(
                serve,
                self.replica.handle,
                announce=lambda at: self.addresses.update(replica=at),
            )
        )
        while len(self.addresses) < 2:
            await trio.sleep(0.01)
        self.configure(ONE_SERVICE)
        for service in ("assistant", "ledger"):
            entry = self.replica.entry(self.addresses["replica"], service=service)
            self.store.put(f"servers/{'i-1' if service == 'ledger' else 'i-2'}", entry)

    async def add_replica(self, replica: ReplicaStandIn, *, service: str) -> None:
        """Start one more replica, and register it."""
        serving = partial(
            serve,
            replica.handle,
            announce=lambda at: self.addresses.update({replica.replica_id: at}),
        )
        self.nursery.start_soon(serving)
        while replica.replica_id not in self.addresses:
            await trio.sleep(0.01)
        entry = replica.entry(self.addresses[replica.replica_id], service=service)
        self.store.put(f"servers/{replica.replica_id}", entry)

    def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store."""
        self.store.put("op/config", as_bytes(document))

    async def _serve_store(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()[:2]
        self.addresses["store"] = f"{host}:{port}"
        await trio.serve_listeners(self.store.serve, listeners)


@asynccontextmanager
async def running_edge(
    settings: dict[str, Any] = SETTINGS,
) -> AsyncIterator[tuple[Edge, Platform]]:
    """Run one edge process against a stand-in of the platform."""
    with TemporaryDirectory() as folder, trio.fail_after(HANG_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            platform = Platform()
            await platform.start(nursery)
            document = {
                **settings,
                "internalPorts": [0, 0],
                "listen": {"front": "127.0.0.1:0", "readyAddr": "127.0.0.1:0"},
                "platformSettings": {"address": platform.addresses["store"]},
            }
            path = Path(folder) / "settings.toml"
            path.write_text(as_toml(document), encoding="utf-8")
            process = await open_edge(path)
            edge = Edge(process, path)
            try:
                nursery.start_soon(edge.read)
                await edge.logged("configuration_taken")
                await edge.logged("vms_read")
                yield edge, platform
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()
                nursery.cancel_scope.cancel()


async def fetch(address: str, path: str, **headers: str) -> httpcore.Response:
    """Send a GET request as a caller does."""
    lines = [("Host", "callers.example"), ("X-Attempt-Id", "a1"), *headers.items()]
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request("GET", f"http://{address}{path}", headers=lines)


async def fetch_stream(address: str) -> httpcore.Response:
    """Return the answer of the stream's route, once a replica of it is known."""
    while True:
        response = await fetch(address, "/advice/1", **{"Api-Key": "k1"})
        if response.status != 503:
            return response
        await trio.sleep(0.05)


class EndedProcessTests(TestCase):
    """A process that ended is noticed at once."""

    def test_a_line_of_an_ended_process_is_not_awaited(self) -> None:
        """Guards against a run that waits for a process that broke at its start."""

        async def check() -> None:
            with TemporaryDirectory() as folder:
                path = Path(folder) / "missing.toml"
                edge = Edge(await open_edge(path, stderr=subprocess.DEVNULL), path)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(edge.read)
                    await edge.logged("configuration_taken")

        error = self.assertRaises(ExceptionGroup, trio.run, check)
        self.assertIsInstance(error.exceptions[0], RuntimeError)


class EdgeProcessTests(TestCase):
    """The program, against stand-ins of the platform."""

    def test_it_serves_and_stops(self) -> None:
        """It serves, exports metrics, and deregisters in a graceful shutdown."""
        trio.run(self._serve_and_stop)

    async def _serve_and_stop(self) -> None:
        async with running_edge() as (edge, platform):
            started = await edge.logged("started")
            await edge.logged("replicas_changed")
            ready = await fetch(started["ready"], "/ready")
            self.assertEqual(200, ready.status)
            whole = await fetch(started["callers"], "/log/1")
            self.assertEqual((200, b"done"), (whole.status, whole.content))
            refused = await fetch(started["callers"], "/advice/1", **{"Api-Key": "no"})
            self.assertEqual(401, refused.status)
            metrics = await fetch(started["metrics"], "/metrics")
            self.assertIn(b"hemlocktrestle_requests_total", metrics.content)
            target = "/where?host=nobody.example&path=/a"
            asked = await fetch(started["metrics"], target)
            self.assertIn(b'"reason": "unknown_route"', asked.content)
            edge.process.send_signal(signal.SIGTERM)
            await edge.logged("signal_received", signal=15)
            self.assertEqual(503, (await fetch(started["ready"], "/ready")).status)
            self.assertEqual(0, await edge.process.wait())
            left = [key for key in platform.store.entries if "/vms/" in key]
            self.assertEqual([], left)

    def test_a_new_configuration_is_applied_and_a_broken_one_is_not(self) -> None:
        """Invalid and older versions are not applied."""
        trio.run(self._configure)

    async def _configure(self) -> None:
        async with running_edge() as (edge, platform):
            started = await edge.logged("started")
            platform.store.put("op/config", b"{broken")
            await edge.logged("configuration_refused")
            platform.configure({**ONE_SERVICE, "version": 3})
            moved = changed(ONE_SERVICE, "routes.1.prefix", "/moved/")
            platform.configure({**moved, "version": 9})
            await edge.logged("configuration_taken", version=9)
            self.assertEqual(404, (await fetch(started["callers"], "/log/1")).status)
            self.assertEqual(200, (await fetch(started["callers"], "/moved/1")).status)
            versions = [
                line["version"]
                for line in edge.lines
                if line["event"] == "configuration_taken"
            ]
            self.assertEqual([7, 9], versions)

    def test_a_frozen_process_catches_up(self) -> None:
        """After SIGCONT, changes are applied and the pending request is answered."""
        trio.run(self._freeze)

    async def _freeze(self) -> None:
        async with running_edge() as (edge, platform):
            started = await edge.logged("started")
            await edge.logged("replicas_changed")
            edge.process.send_signal(signal.SIGSTOP)
            moved = changed(ONE_SERVICE, "routes.1.prefix", "/moved/")
            platform.configure({**moved, "version": 9})
            statuses: list[int] = []

            async def ask() -> None:
                statuses.append((await fetch(started["callers"], "/log/1")).status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                # Time for the store's answer and the request to arrive meanwhile.
                await trio.sleep(0.3)
                edge.process.send_signal(signal.SIGCONT)
                await edge.logged("configuration_taken", version=9)
            self.assertIn(statuses[0], {200, 404})
            self.assertEqual(404, (await fetch(started["callers"], "/log/1")).status)
            self.assertEqual(200, (await fetch(started["callers"], "/moved/1")).status)

    def test_settings_are_reloaded_on_sighup(self) -> None:
        """SIGHUP reads the file again; an invalid one changes nothing."""
        trio.run(self._reload)

    async def _reload(self) -> None:
        async with running_edge() as (edge, _):
            edge.process.send_signal(signal.SIGHUP)
            await edge.logged("settings_reloaded")
            edge.path.write_text("nodeName = 3", encoding="utf-8")
            edge.process.send_signal(signal.SIGHUP)
            refused = await edge.logged("settings_refused")
            self.assertIn("nodeName", refused["reason"])
            started = await edge.logged("started")
            self.assertEqual(200, (await fetch(started["callers"], "/log/1")).status)

    def test_invalid_settings_end_the_process(self) -> None:
        """The process exits with code 2 and names the field."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(as_toml(changed(SETTINGS, "zone", ...)), encoding="utf-8")
            command = [sys.executable, "-m", "hemlocktrestle.edge", "--settings"]
            found = subprocess.run(
                [*command, str(path)], capture_output=True, text=True, check=False
            )
            self.assertEqual(2, found.returncode)
            self.assertIn("zone", found.stderr)

    def test_an_address_in_use_is_named(self) -> None:
        """The process exits with code 2 and names the address, without a traceback."""
        with TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            address = f"127.0.0.1:{taken.getsockname()[1]}"
            path = Path(folder) / "settings.toml"
            document = changed(SETTINGS, "listen.front", address)
            path.write_text(as_toml(document), encoding="utf-8")
            command = [sys.executable, "-m", "hemlocktrestle.edge", "--settings"]
            found = subprocess.run(
                [*command, str(path)], capture_output=True, text=True, check=False
            )
            self.assertEqual(2, found.returncode)
            self.assertIn(address, found.stderr)
            self.assertNotIn("Traceback", found.stderr)
