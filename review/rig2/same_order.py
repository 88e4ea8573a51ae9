"""The operator orders a version, then the one before, then the first one again."""

import asyncio
import time
from collections.abc import Callable

from review.rig2.client import call
from review.rig2.http import Head, message, read_body
from review.rig2.replica import Replica, configuration
from review.rig2.scene import CannotRunError, Machine, Scene, run_case

EXPOSE = {"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000}
"""Bounds of the sheet that has the contract."""

DURATION_S = 20
"""``durationS`` of each order."""

REPLICA_COUNT = 4
"""Replicas of each version."""

BAD_EVERY = 2
"""A bad version fails each second request."""

DRAIN_S = 2.5
"""``drainMs``: how long a replica serves on after it has said that it leaves."""

CLIENT_COUNT = 10
REQUEST_GAP_S = 0.2

CHECK_S = 0.05
"""Time between looks at the status, in seconds."""


class VersionReplica(Replica):
    """A replica of a version that may be bad."""

    is_bad = False

    def __init__(self, name: str, note: Callable[..., None]) -> None:
        super().__init__(name, "app", note)
        self._is_stopped = False
        self._working: set[asyncio.StreamWriter] = set()

    def stop(self) -> int:
        """Stop at once, without draining; return how many runs that breaks off."""
        self._is_stopped = True
        for writer in self._working:
            writer.transport.abort()
        return len(self._working)

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request."""
        await read_body(reader, head.headers)
        if self._is_stopped:
            return False
        headers = self.begin(head)
        self._working.add(writer)
        await asyncio.sleep(self.work_s)
        self._working.discard(writer)
        if self._is_stopped:
            return False
        is_failure = self.is_bad and not len(self.runs) % BAD_EVERY
        line = "HTTP/1.1 500 Failed" if is_failure else "HTTP/1.1 200 OK"
        headers["content-length"] = "4"
        writer.write(message(line, headers, b"done"))
        await writer.drain()
        return False


class _Platform:
    """Starts and stops replicas around the operator's orders, as the pages say."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._start_count = 0
        self.running: list[VersionReplica] = []
        self.all: list[VersionReplica] = []

    async def start(self, version: str, *, is_bad: bool = False) -> None:
        """Start the replicas of a version."""
        for _ in range(REPLICA_COUNT):
            self._start_count += 1
            name = f"i-{self._start_count:03d}"
            replica = VersionReplica(name, self._scene.note)
            replica.version, replica.is_bad = version, is_bad
            replica.born += 1000 * self._start_count
            await replica.start(f"{self._scene.net}.{100 + self._start_count}")
            replica.register(self._scene.store)
            self.running.append(replica)
            self.all.append(replica)

    async def order(self, target: str, *, is_bad: bool = False) -> tuple[float, str]:
        """Order a move; return when it was ordered, and the state at its deadline."""
        scene = self._scene
        await self.start(target, is_bad=is_bad)
        order = {"service": "app", "target": target, "durationS": DURATION_S}
        scene.store.write("op/rollout/app", order)
        ordered = time.monotonic()
        scene.note("operator: order", **order, is_bad=is_bad)
        state = ""
        while state not in {"completed", "rolled_back"}:
            if time.monotonic() >= ordered + DURATION_S:
                break
            await asyncio.sleep(CHECK_S)
            status = scene.store.read("status/rollout/app") or {}
            # The status of the order before stands until the system writes one.
            found = status.get("state", "") if status.get("target") == target else ""
            if found != state:
                state = found
                after = round(time.monotonic() - ordered, 2)
                scene.note("system: status", target=target, state=state, after_s=after)
        await self._finish(target, state)
        await asyncio.sleep(max(0.0, ordered + DURATION_S - time.monotonic()))
        return ordered, state

    async def _finish(self, target: str, state: str) -> None:
        is_old = state == "completed"
        ending = [
            replica
            for replica in self.running
            if (replica.version != target) == is_old and state
        ]
        if state == "rolled_back":
            for replica in ending:
                replica.register(self._scene.store, state="draining")
            await asyncio.sleep(DRAIN_S + 1.0)
        broken_off = sum(replica.stop() for replica in ending)
        for replica in ending:
            self._scene.store.delete(f"servers/{replica.name}")
            self.running.remove(replica)
        names = [replica.name for replica in ending]
        self._scene.note(
            "platform: replicas stopped", names=names, runs_broken_off=broken_off
        )


async def _load(scene: Scene, machine: Machine, is_over: asyncio.Event) -> None:
    while not is_over.is_set():
        await call(machine.front, "/read/rota", note=scene.note, method="GET")
        await asyncio.sleep(REQUEST_GAP_S)


async def play(scene: Scene) -> bool:
    """Play the case; return whether the rule held."""
    scene.contracts.append("rollout")
    scene.bounds |= EXPOSE
    scene.store.write("op/config", configuration())
    platform = _Platform(scene)
    await platform.start("v1")
    machines = [scene.add_machine(f"front-nw-a-{number}") for number in (1, 2)]
    for machine in machines:
        await scene.start(machine)
    await scene.await_ready(*machines)
    is_over = asyncio.Event()
    load = [
        asyncio.ensure_future(_load(scene, machine, is_over))
        for machine in machines
        for _ in range(CLIENT_COUNT)
    ]
    for target in ("v2", "v1"):
        _, state = await platform.order(target)
        if state != "completed":
            raise CannotRunError(f"the order of {target} has the state {state!r}")
        await asyncio.sleep(1.0)
    # Without trouble the third order names a version that was not ordered before.
    target = "v2" if scene.has_trouble else "v3"
    ordered, state = await platform.order(target, is_bad=True)
    is_over.set()
    await asyncio.gather(*load)
    counts = {True: 0, False: 0}
    for replica in platform.all:
        for at, _ in replica.runs:
            if ordered <= at <= ordered + DURATION_S:
                counts[replica.is_bad] += 1
    total = sum(counts.values())
    bound = EXPOSE["exposeShare"] * total + EXPOSE["exposeSlack"]
    scene.note(
        "result",
        state=state,
        requests=total,
        to_bad_version=counts[True],
        bound=round(bound),
    )
    return counts[True] <= bound


if __name__ == "__main__":
    run_case(play)
