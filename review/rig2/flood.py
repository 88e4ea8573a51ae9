"""One replica answers one request with a body of line feeds without end."""

import asyncio
import time

from review.rig2.client import Answer, call
from review.rig2.replica import EngineReplica, Replica, configuration
from review.rig2.scene import CannotRunError, Scene, run_case

TIMEOUT_S = 3.0
"""``timeoutMs`` of the route of the sound requests, in seconds."""

LATE_S = 0.5
"""Time after it in which the rule wants an answer, in seconds."""

UNANSWERED_MIN = 8
"""Requests unanswered at the route's timeout from which the rule counts."""

REQUEST_COUNT = 60
REQUEST_GAP_S = 0.1

DRAFT_COUNT = 40
"""Most requests until one comes to the replica in trouble."""


async def _send(scene: Scene, front: tuple[str, int]) -> tuple[float, Answer]:
    began = time.monotonic()
    answer = await call(front, "/read/rota", note=scene.note, method="GET")
    lasted = time.monotonic() - began
    scene.note(
        "client: sound request ended",
        attempt=answer.attempt,
        status=answer.status,
        lasted_s=round(lasted, 2),
    )
    return lasted, answer


async def _send_draft(scene: Scene, front: tuple[str, int]) -> None:
    more = {"X-Token-Usage": "1460,80"}
    await call(
        front, "/draft/1", note=scene.note, body=b"x", deadline_ms=15000, more=more
    )


async def _copy_notes(
    scene: Scene, printed: asyncio.StreamReader, has_run: asyncio.Event
) -> None:
    while line := await printed.readline():
        scene.note(line.decode().strip())
        if b"replica: runs" in line:
            has_run.set()


async def play(scene: Scene) -> bool:
    """Play the case; return whether the rule held."""
    document = configuration()
    for route in document["routes"]:
        if route["name"] == "read":
            route["timeoutMs"] = 1000 * TIMEOUT_S
    scene.store.write("op/config", document)
    copying: asyncio.Task[None] | None = None
    has_flooded = asyncio.Event()
    if scene.has_trouble:
        host, name = f"{scene.net}.120", "i-llm-flooding"
        module = "review.rig2.flooding_replica"
        printed = await scene.start_helper(module, host, name)
        flooding = EngineReplica(name, "llm", scene.note)
        flooding.address = (await printed.readline()).decode().strip()
        flooding.register(scene.store)
        copying = asyncio.ensure_future(_copy_notes(scene, printed, has_flooded))
    sound: list[Replica] = [
        EngineReplica(f"i-llm-{number}", "llm", scene.note) for number in range(5)
    ]
    sound += [Replica(f"i-app-{number}", "app", scene.note) for number in range(3)]
    for number, replica in enumerate(sound):
        await replica.start(f"{scene.net}.{100 + number}")
        replica.register(scene.store)
    machine = scene.add_machine("front-nw-a-1")
    await scene.start(machine)
    await scene.await_ready(machine)
    drafts = []
    while len(drafts) < DRAFT_COUNT and not has_flooded.is_set():
        drafts.append(asyncio.ensure_future(_send_draft(scene, machine.front)))
        await asyncio.sleep(REQUEST_GAP_S)
    if scene.has_trouble and not has_flooded.is_set():
        raise CannotRunError("no request came to the replica in trouble")
    sent = []
    for _ in range(REQUEST_COUNT):
        sent.append(asyncio.ensure_future(_send(scene, machine.front)))
        await asyncio.sleep(REQUEST_GAP_S)
    ended = await asyncio.gather(*sent)
    await asyncio.gather(*drafts)
    if copying is not None:
        copying.cancel()
    unanswered = [item for item in ended if item[0] > TIMEOUT_S or not item[1].status]
    late = [
        item for item in ended if item[0] > TIMEOUT_S + LATE_S or not item[1].status
    ]
    scene.note(
        "result",
        sound_requests=len(ended),
        unanswered_at_timeout=len(unanswered),
        unanswered_half_a_second_later=len(late),
        answered_with_success=sum(item[1].status == 200 for item in ended),
    )
    return len(unanswered) < UNANSWERED_MIN or len(late) * 2 <= len(unanswered)


if __name__ == "__main__":
    run_case(play)
