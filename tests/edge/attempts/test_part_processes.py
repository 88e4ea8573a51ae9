"""Tests of crashing parts of prompts with edge processes that are linked."""

import signal
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import trio
from testtools import TestCase

from tests.cluster import HANG_TIMEOUT_S
from tests.edge.attempts.test_prompt_parts import POISON, crash, prompt
from tests.edge.test_processes import fetch
from tests.soak._deployment import KEY, Deployment
from tests.standins.http import Connection, Request, serve
from tests.standins.replica import ReplicaStandIn

VM_COUNT = 3
SETTLE_S = 1.0
"""Time for links to open and for a crash to be known everywhere, in seconds."""


class _Engines:
    """Replicas that a part of a prompt crashes; each has a successor at once."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.crash_count = 0
        self._count = 0

    async def start(self) -> None:
        """Start a replica and register it."""
        self._count += 1
        standin = ReplicaStandIn(f"e-{self._count}", event_ms=5.0)
        scope = trio.CancelScope()
        found: list[str] = []
        handle = partial(self._handle, standin, scope)
        self._deployment.nursery.start_soon(self._serve, handle, scope, found)
        while not found:
            await trio.sleep(0.01)
        entry = standin.entry(found[0], service="assistant")
        self._deployment.store.put(f"servers/{standin.replica_id}", entry)

    async def _serve(self, handle: Any, scope: trio.CancelScope, to: list[str]) -> None:
        with scope:
            await serve(handle, announce=to.append)

    async def _handle(
        self,
        standin: ReplicaStandIn,
        scope: trio.CancelScope,
        connection: Connection,
        request: Request,
    ) -> None:
        if POISON not in request.headers.get("x-prompt-prefix", ""):
            await standin.handle(connection, request)
            return
        self.crash_count += 1
        self._deployment.nursery.start_soon(self.start)
        scope.cancel()
        with trio.CancelScope(shield=True):
            await crash(connection, request)


class LinkedProcessTests(TestCase):
    """Edge processes tell each other of the part, also one that was restarted."""

    def test_a_crashing_part_is_refused_by_all_processes(self) -> None:
        """Guards against crashes that go on at each VM, and after its restart."""
        trio.run(self._crash_and_restart)

    async def _crash_and_restart(self) -> None:
        with TemporaryDirectory() as folder, trio.fail_after(3 * HANG_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                deployment = Deployment(
                    nursery, Path(folder), lambda line: None, vm_count=VM_COUNT
                )
                try:
                    await deployment.start()
                    await self._check(deployment)
                finally:
                    deployment.kill_all()
                    nursery.cancel_scope.cancel()

    async def _check(self, deployment: Deployment) -> None:
        for replica in list(deployment.replicas.values()):
            deployment.store.remove(replica.key)
        engines = _Engines(deployment)
        for _ in range(4):
            await engines.start()
        await trio.sleep(SETTLE_S)
        vms = list(deployment.vms.values())
        for vm in vms[:2]:
            self.assertEqual(502, await self._status(vm, "cafe", POISON))
            await trio.sleep(SETTLE_S)
        for vm in vms:
            self.assertEqual(503, await self._status(vm, "cafe", POISON))
            self.assertEqual(200, await self._status(vm, "cafe", "d1"))
        vms[2].send(signal.SIGKILL)
        await vms[2].wait()
        await vms[2].start()
        await trio.sleep(SETTLE_S)
        self.assertEqual(503, await self._status(vms[2], "cafe", POISON))
        self.assertEqual(200, await self._status(vms[2], "cafe", "d1"))
        self.assertEqual(2, engines.crash_count)

    async def _status(self, vm: Any, *parts: str) -> int:
        value = prompt(*parts)
        lines = {"Api-Key": KEY, "X-Prompt-Prefix": value}
        path = f"/advice/{value.rpartition(',')[2]}"
        return (await fetch(vm.addresses["callers"], path, **lines)).status
