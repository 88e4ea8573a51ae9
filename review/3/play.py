"""A machine stands still while a replica leaves, and wakes again."""

import json
from itertools import count
from pathlib import Path
from signal import SIGCONT, SIGSTOP

import trio

from review.rig.caller import call_once
from review.rig.scene import CONTACT_S, DRAIN_S, Scene, play, route
from review.rig.vm import Vm

ZONES = {"nw-a": "north-west", "nw-b": "north-west"}
MACHINES = ["nw-a", "nw-a", "nw-a", "nw-b"]
FREEZE_S = 5.0
LEAVES_AFTER_S = 1.0
LOAD_BEFORE_S = 0.5
LOAD_AFTER_S = 1.5
CLIENTS = 18
REPLICAS = 9
ROUNDS = 3
PAUSE_S = 0.05


async def story(scene: Scene) -> int:
    """Freeze the machine that schedules, again and again."""
    scene.configure([route("rota", "idempotent", "rota-app")], ["rota-app"])
    for number in range(REPLICAS):
        zone = list(ZONES)[number % 2]
        await scene.add_replica(f"i-{number}", "rota-app", zone)
    await scene.add_vms(MACHINES, ZONES)
    await trio.sleep(CONTACT_S)
    numbers = count()
    await _call(scene, scene.vms[0], next(numbers))
    frozen = _scheduler(scene)
    fronts = [vm for vm in scene.vms if vm is not frozen]
    late: list[str] = []
    for turn in range(ROUNDS):
        leaving = scene.replicas[turn]
        if scene.has_trouble:
            frozen.send(SIGSTOP)
        await trio.sleep(LEAVES_AFTER_S)
        leaving.state = "draining"
        scene.store.put(leaving.key, leaving.entry())
        bound_s = trio.current_time() + DRAIN_S
        scene.write("draining_acknowledged", replica=leaving.replica_id)
        await trio.sleep(FREEZE_S - LEAVES_AFTER_S - LOAD_BEFORE_S)
        async with trio.open_nursery() as nursery:
            for number in range(CLIENTS):
                vm = fronts[number % len(fronts)]
                nursery.start_soon(_client, scene, vm, numbers)
            await trio.sleep(LOAD_BEFORE_S)
            if scene.has_trouble:
                frozen.send(SIGCONT)
        late += [attempt for at_s, attempt in leaving.arrivals if at_s > bound_s]
        await trio.sleep(CONTACT_S)
    return scene.finish(is_broken=bool(late), late_arrivals=late)


async def _client(scene: Scene, vm: Vm, numbers: "count[int]") -> None:
    until_s = trio.current_time() + LOAD_BEFORE_S + LOAD_AFTER_S
    while trio.current_time() < until_s:
        await _call(scene, vm, next(numbers))
        await trio.sleep(PAUSE_S)


async def _call(scene: Scene, vm: Vm, number: int) -> None:
    attempt = f"a{number}"
    headers = {"Host": "rota.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "6000"}
    scene.write("sent", vm=vm.name, attempt=attempt)
    answer = await call_once(vm.front, "GET", "/rota/1", headers, wait_s=6.0)
    scene.write("answered", attempt=attempt, status=answer.status)


def _scheduler(scene: Scene) -> Vm:
    """Return the machine that gave the last permit, from the log of the process."""
    text = (scene.folder / f"{scene.vms[0].name}.log").read_text("utf-8")
    found = [json.loads(line) for line in text.splitlines() if "permitted" in line]
    return next(vm for vm in scene.vms if vm.name == found[-1]["keeper"])


if __name__ == "__main__":
    play(Path(__file__).parent, story)
