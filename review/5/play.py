"""A request crashes a replica that starts again under the id that it had."""

from pathlib import Path

import trio

from review.rig.caller import call_once
from review.rig.scene import CONTACT_S, Scene, play, route
from tests.standins.http import Request

ZONES = {"nw-a": "north-west", "ea-a": "east", "nw-b": "north-west"}
MACHINES = ["nw-a", "nw-a", "ea-a", "ea-a", "nw-b"]

ROUND_S = 5.0
ROUNDS = 11
RETRIES_MAX = 3
CRASHES_BEFORE = 3


async def story(scene: Scene) -> int:
    """Send the same request again and again to the machines of one zone."""
    routes = [
        route("assign", "non_idempotent", "rota-app"),
        route("read", "idempotent", "rota-app"),
    ]
    scene.configure(routes, ["rota-app"])

    def is_poison(request: Request) -> bool:
        return scene.has_trouble and request.body == b"crew 7, route 12"

    replicas = [
        await scene.add_replica(
            f"i-{number}", "rota-app", zone, crashes_on=is_poison, down_s=3.0
        )
        for number, zone in enumerate(ZONES)
    ]
    await scene.add_vms(MACHINES, ZONES)
    await trio.sleep(CONTACT_S)
    fronts = [vm for vm in scene.vms if vm.zone == "ea-a"]
    for number in range(ROUNDS):
        vm = fronts[number % len(fronts)]
        headers = {
            "Host": "rota.example",
            "X-Attempt-Id": f"p{number}",
            "X-Deadline-Ms": "6000",
        }
        scene.write("sent", vm=vm.name, attempt=f"p{number}")
        answer = await call_once(
            vm.front, "POST", "/assign/1", headers, b"crew 7, route 12", wait_s=6.0
        )
        scene.write("answered", attempt=f"p{number}", status=answer.status)
        await trio.sleep(ROUND_S)
    crashes_s = sorted(at_s for replica in replicas for at_s in replica.crashes_s)
    late = []
    if len(crashes_s) >= CRASHES_BEFORE:
        from_s = crashes_s[CRASHES_BEFORE - 1] + CONTACT_S
        late = [
            attempt
            for replica in replicas
            for at_s, attempt in replica.arrivals
            if at_s > from_s
        ]
    return scene.finish(
        is_broken=len(late) > RETRIES_MAX,
        crash_count=len(crashes_s),
        retries_after_third=late,
    )


if __name__ == "__main__":
    play(Path(__file__).parent, story)
