"""The store carries out one write of each machine late, after its answer was lost."""

import asyncio
import time
from collections import Counter
from typing import Any

from review.rig2.client import call
from review.rig2.replica import EngineReplica, configuration
from review.rig2.scene import BOUNDS, Machine, Scene, run_case

LATE_S = 3.0
"""How much later the store carries out a write, in seconds: 1 to 6 on the page."""

CALM_S = 20.0
"""Time without disruption before the load, in seconds: 5 times ``contactMs``."""

LOAD_S = 10.0
"""Time of the load, in seconds."""

CLIENT_COUNT = 8
"""Clients of the tenant at each machine, each with one request at a time."""

REQUEST_GAP_S = 0.33
"""Pause of a client between two requests, in seconds.

All clients ask for about three times the quota; `hot_tenant` sends 7.5 times the usual.
"""

PROMPT_TOKENS, OUTPUT_TOKENS = 9_000, 1_000


class _LateWrites:
    """Loses the answer to the first entry of each machine."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._late_keys: set[str] = set()

    def late_s(self, body: dict[str, Any]) -> float | None:
        keys = [put["key"] for put in body.get("puts", [])]
        is_first = keys and not self._late_keys.intersection(keys)
        names = [machine.name for machine in self._scene.machines]
        if not is_first or not any(key.endswith(tuple(names)) for key in keys):
            return None
        self._late_keys.update(keys)
        self._scene.note("store: answer lost", keys=keys, late_s=LATE_S)
        return LATE_S


async def _load(
    scene: Scene, machine: Machine, statuses: Counter[tuple[str, int]]
) -> None:
    until = time.monotonic() + LOAD_S
    more = {"X-Token-Usage": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}"}
    while time.monotonic() < until:
        answer = await call(
            machine.front, "/draft/1", note=scene.note, body=b"x", more=more
        )
        statuses[machine.name, answer.status] += 1
        await asyncio.sleep(REQUEST_GAP_S)


def _most_in_window(times: list[float], window_s: float) -> int:
    """Return the most runs that began within a window of a length."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


async def play(scene: Scene) -> bool:
    """Play the case; return whether the rule held."""
    document = configuration()
    scene.store.write("op/config", document)
    replicas = [
        EngineReplica(f"i-llm-{number}", "llm", scene.note, work_s=0.01)
        for number in range(6)
    ]
    for number, replica in enumerate(replicas):
        await replica.start(f"{scene.net}.{100 + number}")
        replica.register(scene.store)
    machines = [scene.add_machine(f"front-nw-a-{number}") for number in (1, 2, 3)]
    if scene.has_trouble:
        scene.store.late_s = _LateWrites(scene).late_s
    for machine in machines:
        await scene.start(machine)
    await scene.await_ready(*machines)
    scene.note("store: writes so far", count=scene.store.write_count)
    await asyncio.sleep(CALM_S)
    scene.note(
        "store: machines listed",
        keys=[key for key in scene.store.items if "vms" in key],
    )
    statuses: Counter[tuple[str, int]] = Counter()
    await asyncio.gather(
        *[
            _load(scene, machine, statuses)
            for machine in machines
            for _ in range(CLIENT_COUNT)
        ]
    )
    for (name, status), count in sorted(statuses.items()):
        scene.note("clients: answers", machine=name, status=status, count=count)
    tenant = document["tenants"][0]
    window_s = BOUNDS["quotaWindowS"]
    quota = tenant["ratePerS"] * window_s + tenant["burst"]
    bound = quota * (1 + BOUNDS["quotaOver"]) + BOUNDS["quotaSlack"]
    times = sorted(at for replica in replicas for at, _ in replica.runs)
    most = _most_in_window(times, window_s) * (PROMPT_TOKENS + OUTPUT_TOKENS)
    scene.note("result", tokens_in_a_window=most, bound=round(bound))
    return most <= bound


if __name__ == "__main__":
    run_case(play)
