"""Tests of bad input from callers: it gives a clear error, and other calls go on."""

import json

import trio

from hemlocktrestle.adapters._http_server import check_head
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.support import (
    CHAT,
    LEDGER,
    Reply,
    Scene,
    TrioTestCase,
    WireCaller,
    bearer,
    chat_body,
    open_scene,
)

COMPLETE = b": hemlocktrestle-outcome complete\n\n"
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"


class BadInputTestCase(TrioTestCase):
    """Base class of tests that make a bad call during a good one."""

    async def _check_with_good_call(self, scene: Scene, kind: str, bad: Reply) -> None:
        """Check the error of a bad call, and that a good call still completes."""
        self.assertEqual(kind, json.loads(bad.body)["error"]["kind"])
        self.assertEqual("not-run", bad.outcome)
        good = await scene.connect().call(
            "POST", CHAT, chat_body("good", stream=True), authorization=bearer()
        )
        self.assertTrue(good.body.endswith(COMPLETE))

    async def bad_call(self, kind: str, target: str, body: bytes, **names: str) -> None:
        """Make a bad call while a good stream runs, and check both."""
        good: list[Reply] = []

        async def stream(scene: Scene) -> None:
            text = chat_body("beside", stream=True, max_tokens=50)
            caller = scene.connect()
            good.append(await caller.call("POST", CHAT, text, authorization=bearer()))

        names.setdefault("authorization", bearer())
        async with open_scene() as scene:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream, scene)
                await trio.sleep(0.1)
                bad = await scene.connect().call("POST", target, body, **names)
            await self._check_with_good_call(scene, kind, bad)
            self.assertEqual(2, len(scene.dispatched_ids()))
        self.assertTrue(good[0].body.endswith(COMPLETE))


class WrongRequestTests(BadInputTestCase):
    """Invalid requests are refused."""

    async def test_broken_json(self) -> None:
        """A body that is not JSON, or is nested too deeply, is refused."""
        await self.bad_call("bad_json", CHAT, b'{"model": ')
        await self.bad_call("bad_json", CHAT, b"[" * 200_000)

    async def test_wrong_types(self) -> None:
        """A field of the wrong type is refused."""
        await self.bad_call("bad_request", CHAT, chat_body("x", max_tokens="many"))
        await self.bad_call("bad_request", CHAT, b"[]")

    async def test_unknown_model(self) -> None:
        """A model that no engine serves is refused."""
        await self.bad_call("unknown_model", CHAT, chat_body("x", model="none"))

    async def test_unknown_token(self) -> None:
        """An unknown token is refused."""
        wrong = "Bearer stranger"
        await self.bad_call("unknown_token", CHAT, chat_body("x"), authorization=wrong)

    async def test_body_over_the_limit(self) -> None:
        """A body over the size limit is refused."""
        await self.bad_call("body_too_large", CHAT, b"x" * 9_000_000)

    async def test_header_bomb(self) -> None:
        """A head over the size limit is refused."""
        await self.bad_call("headers_too_large", CHAT, b"{}", x_bomb="x" * 40_000)

    async def test_deadline_of_zero(self) -> None:
        """A deadline of zero, a negative one or a word is refused."""
        for text in ("0", "-1", "soon"):
            await self.bad_call(
                "deadline_invalid", CHAT, chat_body("x"), x_request_deadline_ms=text
            )

    async def test_key_reused_with_another_body(self) -> None:
        """A key that was used with another body is refused, and nothing runs."""
        async with open_scene() as scene:
            names = {"authorization": bearer(), "idempotency_key": "k"}
            await scene.connect().call("POST", LEDGER, b'{"a":1}', **names)
            await trio.sleep(1)
            bad = await scene.connect().call("POST", LEDGER, b'{"a":2}', **names)
            self.assertEqual(1, len(scene.ledger.effects))
            await self._check_with_good_call(scene, "key_reused", bad)


class HeadTests(TrioTestCase):
    """Heads that the server itself would accept are refused."""

    async def test_http_2_is_not_served(self) -> None:
        """HTTP/2 is refused, because a truncated answer would not be visible there."""
        scope = {"http_version": "2", "raw_path": b"/", "query_string": b""}
        error = self.assertRaises(RequestError, check_head, {**scope, "headers": []})
        self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)


class StalledCallerTests(BadInputTestCase):
    """Callers that stop during their request are disconnected; others go on."""

    async def test_a_sender_that_stops(self) -> None:
        """A body that stops arriving is refused after the limit on a pause."""
        async with open_scene() as scene:
            caller = scene.connect()
            await caller.stream.send_all(HEAD + b"content-length: 9\r\n\r\n{")
            answer = await _until_end(caller)
            self.assertIn(b"slow_sender", answer)
            self.assertLessEqual(trio.current_time(), 11)
            await self._good(scene)

    async def test_a_sender_that_trickles(self) -> None:
        """A body that arrives byte by byte is refused after the limit on its time."""
        async with open_scene() as scene:
            caller = scene.connect()
            await caller.stream.send_all(HEAD + b"content-length: 99\r\n\r\n")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_trickle, caller)
                answer = await _until_end(caller)
                nursery.cancel_scope.cancel()
            self.assertIn(b"slow_sender", answer)
            self.assertLessEqual(trio.current_time(), 61)
            await self._good(scene)

    async def test_a_head_that_never_ends(self) -> None:
        """A connection whose request head does not end is closed."""
        async with open_scene() as scene:
            caller = scene.connect()
            await caller.stream.send_all(HEAD)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_trickle, caller)
                self.assertEqual(b"", await caller.stream.receive_some(65536))
                nursery.cancel_scope.cancel()
            self.assertLessEqual(trio.current_time(), 31)
            await self._good(scene)

    async def test_a_caller_that_disconnects_in_its_body(self) -> None:
        """A caller that disconnects during its request causes no dispatch."""
        async with open_scene() as scene:
            caller = scene.connect()
            await caller.stream.send_all(HEAD + b"content-length: 99\r\n\r\n")
            await caller.stream.aclose()
            await self._good(scene)
            self.assertEqual(1, len(scene.dispatched_ids()))

    async def _good(self, scene: Scene) -> None:
        good = await scene.connect().call(
            "POST", CHAT, chat_body("good"), authorization=bearer()
        )
        self.assertEqual("complete", good.outcome)


async def _until_end(caller: WireCaller) -> bytes:
    data = b""
    while piece := await caller.stream.receive_some(65536):
        data += piece
    return data


async def _trickle(caller: WireCaller) -> None:
    while True:
        await trio.sleep(5)
        try:
            await caller.stream.send_all(b"x")
        except trio.BrokenResourceError:
            return
