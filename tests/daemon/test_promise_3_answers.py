"""Promise 3: every caller gets the complete answer to its own request."""

import json
import random
import re

import trio

from hemlocktrestle.wire import Message, Permit, Refusal
from tests.standins.engine import answer_words
from tests.support import (
    CHAT,
    Reply,
    Scene,
    TrioTestCase,
    bearer,
    chat_body,
    open_scene,
)
from tests.support._checks import duplicate_dispatches, false_not_run_reports

SEED = 3
CALLERS_COUNT = 200
FRAMED_COUNT = 60
FRAME_DELAY_S = 0.05
COMPLETE = b": hemlocktrestle-outcome complete\n\n"


def words_in(body: bytes) -> list[str]:
    """Return the words of a stream's events, in order."""
    return [
        json.loads(data)["choices"][0]["delta"]["content"]
        for data in re.findall(rb"^data: (\{\"id.*)$", body, re.MULTILINE)
    ]


class OwnAnswerTests(TrioTestCase):
    """No caller gets words of the answer to another request."""

    async def test_many_callers_each_get_their_own_answer(self) -> None:
        """Two hundred concurrent calls, streamed and not, get their own words."""
        results: dict[int, bool] = {}

        async def one(scene: Scene, number: int) -> None:
            is_stream = bool(number % 2)
            body = chat_body(f"question {number}", stream=is_stream)
            caller = scene.connect(f"v{number % 2 + 1}")
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
            if is_stream:
                got = words_in(reply.body)
            else:
                message = json.loads(reply.body)["choices"][0]["message"]
                got = message["content"].split(" ")[:-1]
                got = [f"{word} " for word in got]
            results[number] = got == answer_words(body, 4) and reply.is_ended

        async with open_scene() as scene, trio.open_nursery() as nursery:
            for number in range(CALLERS_COUNT):
                nursery.start_soon(one, scene, number)
        self.assertEqual(CALLERS_COUNT, sum(results.values()))

    async def test_a_caller_gone_leaves_nothing_for_the_next(self) -> None:
        """Callers that disconnect during a stream leave no words for the next ones."""
        async with open_scene(engine_count=1) as scene:
            for number in range(10):
                gone = scene.connect()
                body = chat_body(f"left {number}", stream=True, max_tokens=50)
                await gone.send("POST", CHAT, body, authorization=bearer())
                await gone.stream.receive_some(10)
                await trio.sleep(0.1)
                await gone.stream.aclose()
                next_body = chat_body(f"next {number}", stream=True)
                reply = await scene.connect().call(
                    "POST", CHAT, next_body, authorization=bearer()
                )
                self.assertEqual(answer_words(next_body, 4), words_in(reply.body))
            await trio.sleep(1)
            self.assertEqual(10, scene.engines["e1"].cancelled_count)

    async def test_one_connection_carries_one_answer_after_another(self) -> None:
        """Requests on one connection are answered one after the other."""
        async with open_scene() as scene:
            caller = scene.connect()
            bodies = [chat_body(f"ahead {number}", stream=True) for number in range(3)]
            got = []
            for body in bodies:
                reply = await caller.call("POST", CHAT, body, authorization=bearer())
                got.append(words_in(reply.body))
        self.assertEqual([answer_words(body, 4) for body in bodies], got)


class FrameTests(TrioTestCase):
    """Late, duplicated and reordered frames between VMs cause no wrong answer."""

    async def test_doubled_and_reordered_frames(self) -> None:
        """Frames that arrive once or twice, late and reordered do no harm."""
        rng = random.Random(SEED)

        def link_fault(number: int, message: Message) -> tuple[float, ...]:
            count = rng.choice([1, 1, 2])
            return tuple(rng.uniform(0, FRAME_DELAY_S) for _ in range(count))

        replies: list[tuple[bytes, Reply]] = []

        async def one(scene: Scene, number: int) -> None:
            body = chat_body(f"frames {number}", stream=True)
            caller = scene.connect(f"v{number % 3 + 1}")
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
            replies.append((body, reply))

        async with open_scene(vm_count=3) as scene:
            scene.world.link_fault = link_fault
            async with trio.open_nursery() as nursery:
                for number in range(FRAMED_COUNT):
                    nursery.start_soon(one, scene, number)
            ids = scene.dispatched_ids()
        for body, reply in replies:
            if reply.status == 200:
                self.assertEqual(answer_words(body, 4), words_in(reply.body))
                self.assertTrue(reply.is_ended)
        self.assertGreater(sum(reply.status == 200 for _, reply in replies), 0)
        self.assertEqual([], duplicate_dispatches(ids))
        self.assertEqual(
            [], false_not_run_reports([reply for _, reply in replies], ids)
        )

    async def test_a_frame_with_another_id_is_dropped(self) -> None:
        """A permit or refusal with an unknown ID wakes no request."""
        async with open_scene(vm_count=1, engine_count=1) as scene:
            permit_client = scene.world.vms["v1"].permit_client
            scene.world.link_fault = lambda number, message: ()
            unknown_permit = Permit("other.0", "assistant", "e9", "e9:1", 0, 60_000)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._whole_call, scene)
                for _ in range(50):
                    permit_client.on_message("v1", unknown_permit)
                    permit_client.on_message("v1", Refusal("other.1", "shed"))
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            self.assertEqual([], scene.network.connects)

    async def _whole_call(self, scene: Scene) -> None:
        caller = scene.connect()
        await caller.call("POST", CHAT, chat_body("x"), authorization=bearer())


class TruncatedStreamTests(TrioTestCase):
    """A truncated stream never looks complete."""

    async def _check_truncated(self, **faults: object) -> None:
        async with open_scene(engine_count=1) as scene:
            scene.engines["e1"].faults.update({"resume": False, **faults})
            body = chat_body("cut", stream=True)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
        self.assertEqual((200, "unknown"), (reply.status, reply.outcome))
        self.assertFalse(reply.is_ended)
        self.assertNotIn(b"[DONE]", reply.body)
        self.assertNotIn(COMPLETE, reply.body)
        last = reply.body.strip().rpartition(b"\n\n")[2]
        self.assertTrue(last.startswith(b"event: error\ndata: "), last)
        error = json.loads(last.partition(b"data: ")[2])["error"]
        self.assertEqual("unknown", error["outcome"])
        self.assertEqual(answer_words(body, 4)[:2], words_in(reply.body))

    async def test_a_clean_end_without_the_last_event(self) -> None:
        """An answer that ends well-formed but early is reported as broken."""
        await self._check_truncated(end_after=2)

    async def test_an_end_within_an_event(self) -> None:
        """Guards against a torn event at the end of an answer that looks complete.

        The last chunk or the stated length came, as after a whole stream.
        """
        for has_length in (False, True):
            await self._check_truncated(torn_after=2, has_length=has_length)

    async def test_a_connection_that_breaks(self) -> None:
        """An answer whose connection breaks is reported as broken."""
        await self._check_truncated(break_after=2)

    async def test_a_connection_that_falls_silent(self) -> None:
        """An answer that stops arriving is reported as broken."""
        await self._check_truncated(silent_after=2)

    async def test_a_complete_stream_is_marked_at_its_end(self) -> None:
        """A complete stream closes with the comment and a regular end."""
        async with open_scene() as scene:
            body = chat_body("whole", stream=True)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
        self.assertTrue(reply.is_ended)
        self.assertTrue(reply.body.endswith(b"data: [DONE]\n\n" + COMPLETE))


class ClosingCommentTests(TrioTestCase):
    """Comments after the last event of a stream belong to no event."""

    async def test_a_whole_stream_may_close_with_comments(self) -> None:
        """Guards against whole streams that are reported as broken."""
        comments = (": bye\n\n", ": bye\r\n: bye\r\n\r\n" * 50, ": bye\n", ": bye")
        for closing in comments:
            for has_length in (False, True):
                with self.subTest(closing=closing[:9], has_length=has_length):
                    async with open_scene(engine_count=1) as scene:
                        scene.engines["e1"].faults.update(
                            closing=closing, has_length=has_length, resume=False
                        )
                        body = chat_body("closing", stream=True)
                        caller = scene.connect()
                        reply = await caller.call(
                            "POST", CHAT, body, authorization=bearer()
                        )
                    self.assertTrue(reply.is_ended)
                    self.assertEqual(answer_words(body, 4), words_in(reply.body))
                    self.assertTrue(reply.body.endswith(COMPLETE))
                    self.assertIn(closing.encode().strip(), reply.body)


class ResumedStreamTests(TrioTestCase):
    """A broken stream of an engine that supports resuming is resumed."""

    async def _check_resumed(self, **faults: object) -> None:
        async with open_scene(engine_count=1) as scene:
            scene.engines["e1"].faults.update(faults)
            body = chat_body("resume", stream=True, max_tokens=8)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
            engine = scene.engines["e1"]
            self.assertEqual((1, 1), (len(engine.log), engine.resume_count))
        self.assertTrue(reply.is_ended)
        self.assertTrue(reply.body.endswith(COMPLETE))
        self.assertEqual(answer_words(body, 8), words_in(reply.body))

    async def test_after_a_break(self) -> None:
        """After a break no event is lost or duplicated, and there is one dispatch."""
        await self._check_resumed(break_after=3)

    async def test_after_silence(self) -> None:
        """After silence the stream is resumed over a new connection."""
        await self._check_resumed(silent_after=3)

    async def test_a_pause_of_an_engine_that_cannot_resume(self) -> None:
        """Guards against a stream that is cut though its engine would go on.

        The connection is given up before the engine has agreed to resume.
        """
        async with open_scene(engine_count=1) as scene:
            faults: dict[str, object] = {"pause_after": 3, "pause_s": 7.0}
            scene.engines["e1"].faults.update(resume=False, **faults)
            body = chat_body("pause", stream=True, max_tokens=8)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
        self.assertTrue(reply.is_ended)
        self.assertEqual(answer_words(body, 8), words_in(reply.body))

    async def test_after_a_clean_but_early_end(self) -> None:
        """After an end without the last event the stream is resumed."""
        await self._check_resumed(end_after=3)

    async def test_after_an_end_within_an_event(self) -> None:
        """Guards against a torn event, and a gap or an event twice at the seam."""
        for has_length in (False, True):
            for torn_after in (1, 3, 7):
                await self._check_resumed(torn_after=torn_after, has_length=has_length)

    async def test_events_that_come_again_are_dropped(self) -> None:
        """Events that an engine repeats are passed on once."""
        await self._check_resumed(break_after=3, repeated=2)

    async def test_a_long_stream_that_comes_again_is_dropped(self) -> None:
        """Guards against events twice if an engine starts a long stream anew.

        The first events are then older than all pieces that are still kept.
        """
        async with open_scene(engine_count=1) as scene:
            scene.engines["e1"].faults.update(break_after=60, repeated=60)
            body = chat_body("long", stream=True, max_tokens=70)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
        self.assertTrue(reply.is_ended)
        self.assertEqual(answer_words(body, 70), words_in(reply.body))

    async def test_an_error_in_place_of_the_rest_is_not_passed_on(self) -> None:
        """Guards against an error's text, or its type, within a caller's stream."""
        for faults in (
            {"resumed_text": "event: oops\ndata: boom\n\n"},
            {"resumed_text": "boom\n\ndata: [DONE]\n\n"},
            {"resumed_type": "application/json"},
        ):
            async with open_scene(engine_count=1) as scene:
                scene.engines["e1"].faults.update(break_after=3, **faults)
                body = chat_body("error", stream=True, max_tokens=8)
                caller = scene.connect()
                reply = await caller.call("POST", CHAT, body, authorization=bearer())
            self.assertNotIn(b"boom", reply.body)
            self.assertNotIn(COMPLETE, reply.body)
            self.assertFalse(reply.is_ended)
            self.assertEqual(answer_words(body, 8)[:3], words_in(reply.body))

    async def test_attempts_are_bounded(self) -> None:
        """A stream that breaks each time is abandoned after a few attempts."""
        async with open_scene(engine_count=1) as scene:
            scene.engines["e1"].faults.update(break_after=3, also_resumed=True)
            body = chat_body("again", stream=True, max_tokens=8)
            caller = scene.connect()
            reply = await caller.call("POST", CHAT, body, authorization=bearer())
            self.assertEqual(3, scene.engines["e1"].resume_count)
        self.assertFalse(reply.is_ended)
        self.assertIn(b"event: error", reply.body)
