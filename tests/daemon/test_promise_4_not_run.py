"""Promise 4: a request that is reported as not run did not run."""

import random
from contextlib import suppress
from typing import NamedTuple

import trio

from hemlocktrestle.membership import Listing
from tests.support import (
    CHAT,
    LEDGER,
    Reply,
    Scene,
    TrioTestCase,
    bearer,
    chat_body,
    open_scene,
)
from tests.support._checks import duplicate_dispatches, false_not_run_reports

SEED = 4
ROUNDS_COUNT = 12
CALLS_COUNT = 12
HEAD = b"HTTP/1.1 200 OK\r\n"


class Call(NamedTuple):
    """One call that a run makes."""

    vm: str
    target: str
    body: bytes
    headers: dict[str, str]


class UpstreamStepTests(TrioTestCase):
    """An upstream that ends a call at each step, over the whole path."""

    async def _reply_after(
        self, answer: bytes | None, *, is_read: bool = True
    ) -> Reply:
        """Make a call to an upstream that sends some bytes and closes."""
        got = bytearray()

        async def serve(stream: trio.abc.Stream) -> None:
            if is_read:
                got.extend(await stream.receive_some(65536))
            # A connection that only checks for reachability is closed by the client.
            with suppress(trio.BrokenResourceError):
                await stream.send_all(answer or b"")
            await stream.aclose()

        async with open_scene(engine_count=1) as scene:
            scene.network.handlers["e1:1"] = serve
            if answer is None:
                del scene.network.handlers["e1:1"]
            body = chat_body("step")
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
        request_id = reply.headers["x-request-id"]
        ids = [request_id] if request_id.encode() in got else []
        self.assertEqual([], false_not_run_reports([reply], ids))
        return reply

    async def test_no_connection(self) -> None:
        """Without a connection the request is reported as not run."""
        reply = await self._reply_after(None)
        self.assertEqual((503, "not-run"), (reply.status, reply.outcome))

    async def test_closed_before_the_request_is_read(self) -> None:
        """Once a connection was accepted, the outcome is unknown."""
        reply = await self._reply_after(b"", is_read=False)
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))

    async def test_closed_after_the_request(self) -> None:
        """A request without an answer may have run, so its outcome is unknown."""
        reply = await self._reply_after(b"")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))

    async def test_closed_within_the_answer(self) -> None:
        """A truncated answer is not passed on."""
        reply = await self._reply_after(HEAD + b"content-length: 9\r\n\r\nhalf")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))
        self.assertNotIn(b"half", reply.body)

    async def test_answer_without_a_stated_end(self) -> None:
        """An answer delimited by the close may be truncated, so it is refused."""
        reply = await self._reply_after(HEAD + b"\r\nhalf")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))
        self.assertNotIn(b"half", reply.body)


class FailureRunTests(TrioTestCase):
    """In runs with random failures every "not-run" is correct."""

    async def test_random_failures(self) -> None:
        """No call that was reported as not run is in an upstream's log."""
        replies: list[Reply] = []
        rng = random.Random(SEED)
        async with open_scene(engine_count=3) as scene:
            for _ in range(ROUNDS_COUNT):
                self._inject_faults(scene, rng)
                calls = [self._random_call(rng) for _ in range(CALLS_COUNT)]
                async with trio.open_nursery() as nursery:
                    for call in calls:
                        nursery.start_soon(self._call, scene, call, replies)
            ids = scene.dispatched_ids()
        self.assertEqual([], false_not_run_reports(replies, ids))
        self.assertEqual([], duplicate_dispatches(ids))
        outcomes = {reply.outcome for reply in replies}
        self.assertEqual({"complete", "not-run", "unknown"}, outcomes)

    def _inject_faults(self, scene: Scene, rng: random.Random) -> None:
        scene.world.store.set_down(rng.random() < 0.3)
        for engine in scene.engines.values():
            engine.faults.update(
                is_leaving=rng.random() < 0.2,
                silent=rng.random() < 0.1,
                break_after=rng.choice([None, None, 0, 2]),
                exit_on_crash=False,
                resume=rng.random() < 0.5,
            )
        scene.ledger.faults["break_after_effect"] = rng.randrange(3)
        # The list is set again, at times without the engines.
        is_without = rng.random() < 0.2
        records = scene.upstreams[-1:] if is_without else scene.upstreams
        scene.world.set_listing(Listing(scene.world.records, records))

    def _random_call(self, rng: random.Random) -> Call:
        names = {
            "authorization": bearer(rng.choice(["nurse", "wiper", "pupil"])),
            "x_request_deadline_ms": rng.choice(["1", "60", "5000"]),
        }
        vm = rng.choice(["v1", "v2"])
        if rng.random() < 0.3:
            names["idempotency_key"] = f"k{rng.randrange(10)}"
            return Call(vm, LEDGER, b"{}", names)
        text = rng.choice(["plain", "plain", "CRASH-UPSTREAM"])
        body = chat_body(text, stream=rng.random() < 0.5)
        return Call(vm, CHAT, body, names)

    async def _call(self, scene: Scene, call: Call, replies: list[Reply]) -> None:
        caller = scene.connect(call.vm)
        replies.append(
            await caller.call("POST", call.target, call.body, **call.headers)
        )
