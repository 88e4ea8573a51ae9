"""A part that crashes replicas stands before a part that sound requests share."""

from pathlib import Path

import trio

from review.rig.caller import Answer, call_once
from review.rig.scene import CONTACT_S, Scene, play, route
from tests.standins.http import Request

ZONES = {"nw-a": "north-west", "nw-b": "north-west"}
MACHINES = ["nw-a", "nw-a", "nw-b"]

BAD_PART = "badbad07:40"
USUAL_PART = "5c1e07a2:60"
NEW_PART = "77aa0001:200"
"""A part that comes into use with the requests that crash replicas."""

BAD_COUNT = 6
SOUND_COUNT = 30
BAD_PAUSE_S = 2.5
SOUND_PAUSE_S = 0.2


async def story(scene: Scene) -> int:
    """Send sound requests, then bad ones with the new part, then sound ones with it."""
    advice = route(
        "advice",
        "streaming",
        "hemlock-llm",
        public=False,
        timeoutMs=12000,
        targetLatencyMs=300,
        targetGapMs=250,
        streamResume=False,
        attempts=1,
    )
    tenant = {"name": "crews", "apiKeys": ["k1"], "priority": 1, "unit": "tokens"}
    scene.configure(
        [advice],
        [],
        engines={"hemlock-llm": 15},
        tenants=[{**tenant, "plainTokens": 200}],
    )

    def is_bad(request: Request) -> bool:
        parts = request.headers.get("x-prompt-prefix", "")
        return scene.has_trouble and BAD_PART in parts

    replicas = [
        await scene.add_replica(
            f"i-{number}",
            "hemlock-llm",
            list(ZONES)[number % 2],
            slots=15,
            crashes_on=is_bad,
            down_s=2.0,
            keeps_id=False,
        )
        for number in range(6)
    ]
    await scene.add_vms(MACHINES, ZONES)
    await trio.sleep(CONTACT_S)
    before = await _sound(scene, "b", USUAL_PART)
    for number in range(BAD_COUNT):
        await _send(scene, number, f"p{number}", f"{BAD_PART},{NEW_PART}")
        await trio.sleep(BAD_PAUSE_S)
    crash_count = sum(len(replica.crashes_s) for replica in replicas)
    await trio.sleep(2 * CONTACT_S)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep_coming, scene)
        after = await _sound(scene, "s", NEW_PART)
        nursery.cancel_scope.cancel()
    return scene.finish(
        is_broken=after < before / 2,
        crash_count=crash_count,
        begun_before=before,
        begun_after=after,
        sent_each=SOUND_COUNT,
    )


async def _keep_coming(scene: Scene) -> None:
    """Go on with the requests that have the bad part."""
    for number in range(100):
        await _send(scene, number, f"q{number}", f"{BAD_PART},{NEW_PART}")
        await trio.sleep(BAD_PAUSE_S)


async def _sound(scene: Scene, name: str, part: str) -> int:
    """Send sound requests; return how many began at the first attempt."""
    count = 0
    for number in range(SOUND_COUNT):
        answer = await _send(scene, number, f"{name}{number}", part)
        count += answer.status == 200
        await trio.sleep(SOUND_PAUSE_S)
    return count


async def _send(scene: Scene, number: int, attempt: str, shared: str) -> Answer:
    vm = scene.vms[number % len(scene.vms)]
    own = f"{attempt.encode().hex()}:100"
    headers = {
        "Host": "rota.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "12000",
        "X-Model": "m",
        "X-Token-Usage": "400,50",
        "X-Prompt-Prefix": f"{shared},{own}",
        "Api-Key": "k1",
    }
    scene.write("sent", vm=vm.name, attempt=attempt)
    body = f"question {attempt}".encode()
    answer = await call_once(vm.front, "POST", "/advice/1", headers, body, wait_s=3.0)
    scene.write("answered", attempt=attempt, status=answer.status)
    return answer


if __name__ == "__main__":
    play(Path(__file__).parent, story)
