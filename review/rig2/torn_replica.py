"""One stream ends inside an event, and its chunks end as those of a whole one."""

import asyncio

from review.rig2.client import call
from review.rig2.http import Head, message, read_body
from review.rig2.replica import EngineReplica, chunk, configuration
from review.rig2.scene import CannotRunError, Scene, run_case

REPLICA_COUNT = 6

WHOLE_EVENTS = 2
"""Events before the one that is broken off."""

REQUEST_COUNT = 60
REQUEST_GAP_S = 0.05


class TornReplica(EngineReplica):
    """Stops in the middle of an event of its first answer; then it is sound."""

    torn_attempt = ""

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request."""
        if self.torn_attempt:
            return await super().handle(head, reader, writer)
        self.torn_attempt = attempt = head.headers["x-attempt-id"]
        await read_body(reader, head.headers)
        headers = self.begin(head)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        writer.write(message("HTTP/1.1 200 OK", headers))
        for number in range(1, WHOLE_EVENTS + 1):
            await asyncio.sleep(self.work_s)
            writer.write(chunk(self.event(number, attempt)))
            await writer.drain()
        event = self.event(WHOLE_EVENTS + 1, attempt)
        writer.write(chunk(event[: len(event) // 2]) + b"0\r\n\r\n")
        await writer.drain()
        self.note("replica: stops within an event", attempt=attempt)
        return False


async def play(scene: Scene) -> bool:
    """Play the case; return whether the rule held."""
    scene.store.write("op/config", configuration())
    replicas = [
        EngineReplica(f"i-llm-{number}", "llm", scene.note)
        for number in range(REPLICA_COUNT - 1)
    ]
    torn = TornReplica("i-llm-torn", "llm", scene.note)
    if not scene.has_trouble:
        torn.torn_attempt = "none"
    replicas.append(torn)
    for number, replica in enumerate(replicas):
        await replica.start(f"{scene.net}.{100 + number}")
        replica.register(scene.store)
    machine = scene.add_machine("front-nw-a-1")
    await scene.start(machine)
    await scene.await_ready(machine)
    more = {"X-Token-Usage": "1460,80"}
    sent = []
    for _ in range(REQUEST_COUNT):
        coming = call(machine.front, "/chat/1", note=scene.note, body=b"x", more=more)
        sent.append(asyncio.ensure_future(coming))
        await asyncio.sleep(REQUEST_GAP_S)
    answers = await asyncio.gather(*sent)
    if not torn.torn_attempt:
        raise CannotRunError("no request came to the replica in trouble")
    broken = 0
    for answer in answers:
        pieces = [torn.event(number + 1, answer.attempt) for number in range(4)]
        is_right = answer.body == b"".join(pieces)
        if answer.status == 200 and answer.is_whole and not is_right:
            broken += 1
            scene.note(
                "client: answer ends as a whole one",
                attempt=answer.attempt,
                status=answer.status,
                body=answer.body,
            )
    scene.note("result", answers=len(answers), ended_before_the_last_piece=broken)
    return not broken


if __name__ == "__main__":
    run_case(play)
