"""A burst of requests whose bodies are within the operator's limit."""

from pathlib import Path

import trio

from review.rig.caller import Kept
from review.rig.memory import limit_memory, private_bytes
from review.rig.scene import CONTACT_S, Scene, play, route
from review.rig.vm import Vm

ZONES = {"nw-a": "north-west"}

BODY = b"x" * 2_000_000
"""A body below ``maxBodyBytes`` of the configuration, 4,194,304 bytes."""

USUAL_CLIENTS = 8
BURST_CLIENTS = 16
"""Clients in the burst: twice as many as usual, of 2.2 times at most."""

BURST_S = 5.0
PAUSE_S = 0.2
WORK_MS = 400.0
LOST_MAX = 3


class _Count:
    """What the clients saw."""

    def __init__(self) -> None:
        self.lost: list[str] = []
        self.statuses: dict[int, int] = {}


async def story(scene: Scene) -> int:
    """Send usual traffic, then a burst; the platform kills over the memory limit."""
    scene.configure([route("assign", "non_idempotent", "rota-app")], ["rota-app"])
    for number in range(3):
        await scene.add_replica(f"i-{number}", "rota-app", "nw-a", work_ms=WORK_MS)
    await scene.add_vms(["nw-a"], ZONES)
    vm = scene.vms[0]
    await trio.sleep(CONTACT_S)
    assert scene.nursery is not None
    scene.nursery.start_soon(limit_memory, scene, vm)
    count = _Count()
    client_count = USUAL_CLIENTS
    if scene.has_trouble:
        scene.write("burst_begins", clients=BURST_CLIENTS, for_s=BURST_S)
        client_count = BURST_CLIENTS
    async with trio.open_nursery() as nursery:
        for number in range(client_count):
            nursery.start_soon(_client, scene, vm, number, count)
    return scene.finish(
        is_broken=len(count.lost) > LOST_MAX,
        lost=count.lost,
        statuses={str(status): n for status, n in count.statuses.items()},
        private_memory_kb=private_bytes(vm) // 1024,
    )


async def _client(scene: Scene, vm: Vm, number: int, count: _Count) -> None:
    """Send requests on one kept connection until the burst is over."""
    until_s = trio.current_time() + BURST_S
    kept = await Kept.open(vm.front)
    try:
        for turn in range(100):
            if trio.current_time() >= until_s:
                return
            attempt = f"c{number}-{turn}"
            headers = {
                "Host": "rota.example",
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": "6000",
            }
            scene.write("sent", vm=vm.name, attempt=attempt)
            # The first request is small: the ones after it use a kept connection.
            body = BODY if turn else b"small"
            answer = await kept.call("POST", "/assign/1", headers, body, wait_s=6.0)
            scene.write("answered", attempt=attempt, status=answer.status)
            count.statuses[answer.status] = count.statuses.get(answer.status, 0) + 1
            if not answer.is_whole:
                arrived = {
                    one for replica in scene.replicas for _, one in replica.arrivals
                }
                if turn and attempt in arrived:
                    count.lost.append(attempt)
                return
            await trio.sleep(PAUSE_S)
    finally:
        await kept.close()


if __name__ == "__main__":
    play(Path(__file__).parent, story)
