"""Promise 4: a request that a caller is told was not run truly did not run."""

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
    """An upstream that ends a call at each step, seen through the whole path."""

    async def _told(self, answer: bytes | None, *, is_read: bool = True) -> Reply:
        """Make a call whose upstream sends some bytes and closes."""
        got = bytearray()

        async def serve(stream: trio.abc.Stream) -> None:
            if is_read:
                got.extend(await stream.receive_some(65536))
            # A connection that only asks whether the upstream is there is closed.
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
        """Without a connection the request was not run, and that is said."""
        reply = await self._told(None)
        self.assertEqual((503, "not-run"), (reply.status, reply.outcome))

    async def test_closed_before_the_request_is_read(self) -> None:
        """From the accepted connection on the outcome is unknown."""
        reply = await self._told(b"", is_read=False)
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))

    async def test_closed_after_the_request(self) -> None:
        """A request without an answer may have run."""
        reply = await self._told(b"")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))

    async def test_closed_within_the_answer(self) -> None:
        """A truncated answer is not passed on."""
        reply = await self._told(HEAD + b"content-length: 9\r\n\r\nhalf")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))
        self.assertNotIn(b"half", reply.body)

    async def test_answer_without_a_stated_end(self) -> None:
        """An answer that only lasts until the close could be cut; it is refused."""
        reply = await self._told(HEAD + b"\r\nhalf")
        self.assertEqual((502, "unknown"), (reply.status, reply.outcome))
        self.assertNotIn(b"half", reply.body)


class FailureRunTests(TrioTestCase):
    """In runs with random failures every "not-run" is true."""

    async def test_random_failures(self) -> None:
        """No call that was told not to have run is in an upstream's log."""
        replies: list[Reply] = []
        dice = random.Random(SEED)
        async with open_scene(engine_count=3) as scene:
            for _ in range(ROUNDS_COUNT):
                self._hurt(scene, dice)
                calls = [self._drawn(dice) for _ in range(CALLS_COUNT)]
                async with trio.open_nursery() as nursery:
                    for call in calls:
                        nursery.start_soon(self._call, scene, call, replies)
            ids = scene.dispatched_ids()
        self.assertEqual([], false_not_run_reports(replies, ids))
        self.assertEqual([], duplicate_dispatches(ids))
        outcomes = {reply.outcome for reply in replies}
        self.assertEqual({"complete", "not-run", "unknown"}, outcomes)

    def _hurt(self, scene: Scene, dice: random.Random) -> None:
        scene.world.store.set_down(dice.random() < 0.3)
        for engine in scene.engines.values():
            engine.faults.update(
                is_leaving=dice.random() < 0.2,
                silent=dice.random() < 0.1,
                break_after=dice.choice([None, None, 0, 2]),
                exit_on_crash=False,
                resume=dice.random() < 0.5,
            )
        scene.ledger.faults["break_after_effect"] = dice.randrange(3)
        # The list comes anew, at times without the engines.
        is_without = dice.random() < 0.2
        records = scene.upstreams[-1:] if is_without else scene.upstreams
        scene.world.set_listing(Listing(scene.world.records, records))

    def _drawn(self, dice: random.Random) -> Call:
        names = {
            "authorization": bearer(dice.choice(["nurse", "wiper", "pupil"])),
            "x_request_deadline_ms": dice.choice(["1", "60", "5000"]),
        }
        vm = dice.choice(["v1", "v2"])
        if dice.random() < 0.3:
            names["idempotency_key"] = f"k{dice.randrange(10)}"
            return Call(vm, LEDGER, b"{}", names)
        text = dice.choice(["plain", "plain", "CRASH-UPSTREAM"])
        body = chat_body(text, stream=dice.random() < 0.5)
        return Call(vm, CHAT, body, names)

    async def _call(self, scene: Scene, call: Call, replies: list[Reply]) -> None:
        caller = scene.connect(call.vm)
        replies.append(
            await caller.call("POST", call.target, call.body, **call.headers)
        )
