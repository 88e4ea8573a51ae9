"""Tests of clients outside the limits, against an edge process on loopback.

They check what does not depend on the machine's speed, and run alone: other load would
show in what the process may hold.
"""

from functools import partial
from typing import Any

import pytest
import trio
from testtools import TestCase

from tests.edge.crowd import Crowd, CrowdRun, ProcessUsage
from tests.edge.test_processes import Edge, Platform, fetch, running_edge
from tests.platform.documents import CONFIGURATION, SETTINGS, changed
from tests.standins.http import serve
from tests.standins.replica import ReplicaStandIn

pytestmark = pytest.mark.alone

MEMORY_MB = 100
"""Memory limit of the process under test, in MB."""

DESCRIPTORS_MAX = 600
"""Limit of its descriptors."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files; sockets share the rest."""

LIMITED: dict[str, Any] = {
    **SETTINGS,
    "limits": {
        **SETTINGS["limits"],
        "memoryMb": MEMORY_MB,
        "maxFds": DESCRIPTORS_MAX,
    },
}

RETRY_S = 0.5
"""Pause before a refused caller asks again, in seconds."""

LARGE_BYTES = 1_000_000
"""Size of a large answer, in bytes."""

PLAN = {
    "name": "r-plan",
    "host": "callers.example",
    "prefix": "/plan/",
    "kind": "idempotent",
    "timeoutMs": 5000,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": "assistant",
    "attempts": 1,
    "public": True,
}
"""A route whose requests need a slot of an engine's replica."""

LONG_PLAN = {**PLAN, "name": "r-long", "prefix": "/long/", "timeoutMs": 60_000}
"""Such a route whose callers may wait for longer than a send may take."""

ROUTES = changed(
    changed(CONFIGURATION, "routes", [*CONFIGURATION["routes"], PLAN, LONG_PLAN]),
    "routes.1.weightedSplit",
    [{"service": "ledger", "weight": 1}],
)


def request_of(path: str, *lines: str) -> bytes:
    """Return a GET request."""
    head = [f"GET {path} HTTP/1.1", "Host: callers.example", *lines, "", ""]
    return "\r\n".join(head).encode()


class UncontrolledClientTests(TestCase):
    """No crowd ends the process, takes its memory or keeps others from answers."""

    def _check(
        self,
        crowd: Crowd,
        *,
        listener: str = "callers",
        ordinary: str = "/log/1",
        whole_bytes: int = 0,
        event_bytes: int = 0,
    ) -> None:
        async def check() -> None:
            async with running_edge(LIMITED) as (edge, platform):
                engine = await self._start_engine(edge, platform)
                if whole_bytes:
                    engine.whole = b"x" * whole_bytes
                engine.padding = "x" * event_bytes
                if event_bytes:
                    engine.event_count, engine.event_ms = 10**6, 0.0
                await self._check_edge(
                    edge, crowd, listener=listener, ordinary=ordinary
                )

        trio.run(check)

    async def _start_engine(self, edge: Edge, platform: Platform) -> ReplicaStandIn:
        engine = ReplicaStandIn("i-2")
        found: list[str] = []
        nursery = platform.nursery
        nursery.start_soon(partial(serve, engine.handle, announce=found.append))
        while not found:
            await trio.sleep(0.01)
        platform.store.put("servers/i-2", engine.entry(found[0], service="assistant"))
        platform.configure({**ROUTES, "version": 8})
        await edge.logged("configuration_taken", version=8)
        started = await edge.logged("started")
        for path in ("/plan/1", "/log/1"):
            while (await fetch(started["callers"], path)).status != 200:
                await trio.sleep(RETRY_S)
        return engine

    async def _check_edge(
        self, edge: Edge, crowd: Crowd, *, listener: str, ordinary: str
    ) -> None:
        started = await edge.logged("started")
        usage = ProcessUsage(edge.process.pid)
        run = CrowdRun(crowd, started[listener])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.watch_descriptors)
            await run.run()
            self.assertEqual(200, (await fetch(started["callers"], ordinary)).status)
            self.assertEqual(200, (await fetch(started["ready"], "/ready")).status)
            await run.close()
            nursery.cancel_scope.cancel()
        self.assertIsNone(edge.process.poll())
        peak_mb = usage.memory_peak_bytes / 1_000_000
        print(f"peak {peak_mb:.0f} MB, {usage.descriptors_peak} descriptors")
        self.assertTrue(peak_mb <= MEMORY_MB, f"{peak_mb:.0f} MB")
        sockets_max = DESCRIPTORS_MAX - FILE_DESCRIPTORS
        self.assertTrue(usage.descriptors_peak <= sockets_max, usage.descriptors_peak)

    def test_the_ready_path_at_the_front_address(self) -> None:
        """Requests sent ahead at a path that only the ready address serves."""
        self._check(Crowd(request_of("/ready"), 60))

    def test_the_ready_path_at_the_ready_address(self) -> None:
        """Requests sent ahead at the ready path."""
        self._check(Crowd(request_of("/ready"), 60), listener="ready")

    def test_many_connections_at_the_ready_address(self) -> None:
        """More connections than the process has descriptors for."""
        self._check(
            Crowd(request_of("/ready"), 2 * DESCRIPTORS_MAX, bytes_max=1),
            listener="ready",
        )

    def test_paths_that_no_route_has(self) -> None:
        """Long requests sent ahead at paths without a route."""
        self._check(Crowd(request_of("/none/" + "x" * 600), 60))

    def test_a_key_that_nobody_has(self) -> None:
        """Requests sent ahead with a wrong key."""
        self._check(Crowd(request_of("/advice/1", "Api-Key: no"), 60))

    def test_few_connections_at_a_route(self) -> None:
        """Requests sent ahead on four connections, with small answers."""
        self._check(
            Crowd(request_of("/log/1", "X-Attempt-Id: c1"), 4, bytes_max=60_000_000)
        )

    def test_unread_large_answers(self) -> None:
        """Large answers that are not read hold no slot of the replica."""
        crowd = Crowd(request_of("/long/1", "X-Attempt-Id: c1"), 40)
        self._check(crowd, ordinary="/plan/1", whole_bytes=LARGE_BYTES)

    def test_unread_streams(self) -> None:
        """Streams that are not read; a request at another route is answered."""
        crowd = Crowd(request_of("/advice/1", "Api-Key: k1", "X-Attempt-Id: c1"), 40)
        self._check(crowd, event_bytes=50_000)

    def test_unread_large_answers_to_single_requests(self) -> None:
        """As above, from clients that send nothing ahead."""
        crowd = Crowd(
            request_of("/long/1", "X-Attempt-Id: c1"), 40, bytes_max=1, ahead_count=1
        )
        self._check(crowd, ordinary="/plan/1", whole_bytes=LARGE_BYTES)

    def test_unread_streams_of_single_requests(self) -> None:
        """Streams that are not read, of clients that send nothing ahead."""
        crowd = Crowd(
            request_of("/advice/1", "Api-Key: k1", "X-Attempt-Id: c1"),
            40,
            bytes_max=1,
            ahead_count=1,
        )
        self._check(crowd, event_bytes=50_000)

    def test_more_connections_than_are_allowed(self) -> None:
        """Each sends ahead what a single connection may, and stays open."""
        crowd = Crowd(
            request_of("/none/" + "x" * 600), 400, bytes_max=1, ahead_count=80
        )
        self._check(crowd)
