"""Tests of orders with the program as a process, against stand-ins of the platform."""

import json
from functools import partial
from typing import Any

import trio
from testtools import TestCase

from tests.edge.rollouts.fleet import ORDER_KEY, ROLLOUT_SETTINGS, STATUS_KEY
from tests.edge.test_processes import Edge, Platform, fetch, running_edge
from tests.standins.http import serve
from tests.standins.replica import ReplicaStandIn

DURATION_S = 6


class _Scene:
    """One edge process, callers, one replica of the old version and two of the new."""

    def __init__(self, edge: Edge, platform: Platform) -> None:
        self.edge = edge
        self.store = platform.store
        self.old = platform.replica
        self.new = [ReplicaStandIn("n-1"), ReplicaStandIn("n-2")]
        self.statuses: list[int] = []

    async def start(self, nursery: trio.Nursery, address: str) -> None:
        """Register the new version's replicas, order the move, and start callers."""
        self._register("i-1", address, version="v1", born=1)
        for replica in self.new:
            nursery.start_soon(
                partial(
                    serve,
                    replica.handle,
                    announce=partial(
                        self._register, replica.replica_id, version="v2", born=2
                    ),
                )
            )
        while not all(
            f"servers/{found.replica_id}" in self.store.entries for found in self.new
        ):
            await trio.sleep(0.01)
        order = {"service": "ledger", "target": "v2", "durationS": DURATION_S}
        self.store.put(ORDER_KEY, json.dumps(order).encode())
        started = await self.edge.logged("started")
        nursery.start_soon(self._call, started["callers"])

    @property
    def state(self) -> str:
        """The state that the operator reads."""
        entry = self.store.entries.get(STATUS_KEY)
        return json.loads(entry.value)["state"] if entry else ""

    async def ended(self) -> str:
        """Wait for the order's outcome and return it."""
        while self.state in {"", "running"}:
            await trio.sleep(0.05)
        return self.state

    @property
    def new_count(self) -> int:
        """Requests that the new version ran."""
        return sum(len(found.runs) for found in self.new)

    def _register(self, name: str, address: str, **fields: Any) -> None:
        entry = {
            "service": "ledger",
            "address": address,
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            **fields,
        }
        self.store.put(f"servers/{name}", json.dumps(entry).encode())

    async def _call(self, address: str) -> None:
        while True:
            found = await fetch(address, "/log/1")
            self.statuses.append(found.status)
            await trio.sleep(0.01)


class RolloutProcessTests(TestCase):
    """An order from the store to its outcome, with real requests."""

    def test_a_good_version_gets_all_requests_in_the_end(self) -> None:
        """It is completed before the deadline, and callers see no failure."""
        trio.run(self._complete)

    async def _complete(self) -> None:
        async with running_edge(ROLLOUT_SETTINGS) as (edge, platform):
            scene = _Scene(edge, platform)
            async with trio.open_nursery() as nursery:
                await scene.start(nursery, platform.addresses["replica"])
                self.assertEqual("completed", await scene.ended())
                old_count = len(scene.old.runs)
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            self.assertLessEqual(len(scene.old.runs) - old_count, 1)
            self.assertEqual({200}, set(scene.statuses))
            self.assertTrue(all(found.runs for found in scene.new))

    def test_a_bad_version_is_rolled_back(self) -> None:
        """It gets no more than its share and the slack, then nothing."""
        trio.run(self._roll_back)

    async def _roll_back(self) -> None:
        async with running_edge(ROLLOUT_SETTINGS) as (edge, platform):
            scene = _Scene(edge, platform)
            for replica in scene.new:
                replica.mode = "fail"
            async with trio.open_nursery() as nursery:
                await scene.start(nursery, platform.addresses["replica"])
                self.assertEqual("rolled_back", await scene.ended())
                new_count = scene.new_count
                await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            self.assertEqual(new_count, scene.new_count)
            self.assertTrue(0 < new_count <= 0.1 * len(scene.statuses) + 50)
