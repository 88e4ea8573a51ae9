"""Tests of replicas that send bytes without end which never become an answer."""

import gc
import tracemalloc
from typing import Any

import trio

from hemlocktrestle.edge.placing._placement import AttemptEnd
from tests.edge.attempts.test_replica_answers import raw
from tests.edge.callers.test_server import ONCE, STREAM, WHOLE, stream_of
from tests.edge.harness import EdgeHarness, Script, sealed
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

REQUESTS = 5
"""Requests whose memory is looked at together."""

GROWTH_BYTES_MAX = 100_000
"""Memory that a request may leave behind, in bytes; its body alone is larger."""

FLOOD_CHUNKS = 3_000
"""Chunks of a flood after which a replica waits; 64 KiB each, far beyond any limit."""


def endless(prefix: bytes, chunk: bytes, *, pause_s: float = 0.0) -> Script:
    """Return a script that sends bytes which never become an answer.

    Args:
        prefix: what it sends first.
        chunk: what it sends again and again, as it is, outside any framing.
        pause_s: pause between two chunks.
    """

    async def script(connection: Connection, request: Request) -> None:
        await connection.stream.send_all(prefix)
        for _ in range(FLOOD_CHUNKS):
            await connection.stream.send_all(chunk)
            await trio.sleep(pause_s)
        await connection.wait_closed()

    return script


SEALED_HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-seal: s\r\n\r\n"

GARBAGE = b"x" * 65_536

NO_ANSWERS = {
    "head": endless(b"", GARBAGE),
    "head, a byte a second": endless(b"", b"x", pause_s=1.0),
    "header lines": endless(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1_000),
    "informational heads": endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "body": endless(SEALED_HEAD, GARBAGE),
    "body, a byte a second": endless(SEALED_HEAD, b"x", pause_s=1.0),
}
"""Replicas that send bytes without end which are no answer."""


class EndlessBytesTests(TrioTestCase):
    """Bytes that never become an answer cost bounded memory and time."""

    def _stream_harness(self, script: Script, **changes: Any) -> EdgeHarness:
        scripts = {"r1": script, "r2": stream_of(range(1, 9))}
        records = tuple(replica(name, service="assistant") for name in scripts)
        found = configuration(STREAM._replace(**changes))
        return EdgeHarness(self, scripts, found=found, records=records)

    async def test_a_stream_goes_on_at_another_replica(self) -> None:
        """Guards against a stall limit that any bytes extend, and endless buffers."""
        for name, script in NO_ANSWERS.items():
            with self.subTest(name):
                harness = self._stream_harness(script)
                started_s = trio.current_time()
                reply = await harness.send("/advice/1", method="POST", body=b"q")
                self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
                self.assertTrue(trio.current_time() - started_s < 3.0)
                self.assertIn(
                    harness.released[0][1], {AttemptEnd.BROKEN, AttemptEnd.SILENT}
                )

    async def test_a_request_that_may_run_once_is_told_that_it_may_have(self) -> None:
        """Its answer is 502 or 504, by the route's timeout, and never "not run"."""
        for name, script in NO_ANSWERS.items():
            with self.subTest(name):
                harness = EdgeHarness(self, {"r1": script}, found=ONCE)
                started_s = trio.current_time()
                reply = await harness.send(method="POST", body=b"wipe")
                self.assertIn(reply.status, {502, 504})
                self.assertTrue(trio.current_time() - started_s < 6.1)
                self.assertEqual(["r1"], harness.reached_replicas())
                self.assertIn(
                    harness.released[0][1], {AttemptEnd.BROKEN, AttemptEnd.SILENT}
                )

    async def test_buffered_answers_share_a_memory_budget(self) -> None:
        """Guards against processes that are killed for their memory."""
        harness = EdgeHarness(self, {"r1": endless(SEALED_HEAD, GARBAGE)}, found=ONCE)
        budget = harness.state.answer_budget
        assert budget.reserve(budget.available_bytes - 1_000_000)
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(502, reply.status)
        self.assertEqual(1_000_000, budget.available_bytes)

    async def test_a_refusal_without_end_is_not_believed(self) -> None:
        """It is read only as far as a refusal may be long."""
        head = b"HTTP/1.1 503 X\r\nx-attempt-id: a1\r\nx-not-executed: 1\r\n\r\n"
        harness = EdgeHarness(self, {"r1": endless(head, GARBAGE)}, found=ONCE)
        budget = harness.state.answer_budget
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(502, reply.status)
        self.assertEqual(budget.bytes_max, budget.available_bytes)


class FreedMemoryTests(TrioTestCase):
    """What broken answers held is free when their requests have ended.

    Guards against a process that is killed for its memory while its books say that
    most of it is free: buffers of failed attempts lived until the garbage collector
    ran, as errors referred to frames and these to the errors.
    """

    def setUp(self) -> None:
        """Keep the garbage collector from running."""
        super().setUp()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    async def _grown_bytes(self, harness: EdgeHarness, **request: Any) -> int:
        """Return by how much the memory in use grows over some requests."""
        await harness.send(**request)
        harness.forget()
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(REQUESTS):
            await harness.send(**request)
        harness.forget()
        return tracemalloc.get_traced_memory()[0] - before

    async def test_buffered_answers(self) -> None:
        """Also what each request itself held: its body, and a connection's buffer."""
        for name, script in NO_ANSWERS.items():
            with self.subTest(name):
                harness = EdgeHarness(self, {"r1": script}, found=ONCE)
                body = b"w" * 500_000
                grown = await self._grown_bytes(harness, method="POST", body=body)
                self.assertLess(grown, REQUESTS * GROWTH_BYTES_MAX)
                budget = harness.state.answer_budget
                self.assertEqual(budget.bytes_max, budget.available_bytes)

    async def test_errors_of_replicas(self) -> None:
        """A 500 without end is no answer; a whole one is kept until it is sent."""
        head = SEALED_HEAD.replace(b"200 OK", b"500 X")
        whole = head.replace(b"\r\n\r\n", b"\r\ncontent-length: 1000000\r\n\r\n")
        for script in (endless(head, GARBAGE), raw(whole + b"x" * 1_000_000)):
            harness = EdgeHarness(self, {"r1": script, "r2": script})
            grown = await self._grown_bytes(harness)
            self.assertLess(grown, REQUESTS * GROWTH_BYTES_MAX)
            budget = harness.state.answer_budget
            self.assertEqual(budget.bytes_max, budget.available_bytes)

    async def test_streams(self) -> None:
        """An event without end is not relayed, and leaves nothing behind."""
        head = SEALED_HEAD.replace(b"\r\n\r\n", b"\r\ncontent-type: text/event-stream")
        script = endless(head + b"\r\n\r\n", GARBAGE)
        records = tuple(replica(name, service="assistant") for name in ("r1", "r2"))
        found = configuration(STREAM)
        scripts = dict.fromkeys(("r1", "r2"), script)
        harness = EdgeHarness(self, scripts, found=found, records=records)
        grown = await self._grown_bytes(harness, path="/advice/1")
        self.assertLess(grown, REQUESTS * GROWTH_BYTES_MAX)
        budget = harness.state.answer_budget
        self.assertEqual(budget.bytes_max, budget.available_bytes)


class SharedBudgetTests(TrioTestCase):
    """Answers without end do not take the memory of all others."""

    async def test_small_answers_are_relayed_beside_them(self) -> None:
        """Guards against sound answers dropped because the budget was used up."""
        body = b"x" * 200_000

        async def answer(connection: Connection, request: Request) -> None:
            await connection.send_head(200, sealed(body, request))
            for start in range(0, len(body), 1_000):
                await connection.send_chunk(body[start : start + 1_000])
                await trio.sleep(0.02)
            await connection.finish()

        scripts = {"r1": endless(SEALED_HEAD, GARBAGE, pause_s=0.01), "r2": answer}
        harness = EdgeHarness(self, scripts, found=ONCE)
        statuses = await harness.send_together(60)
        self.assertGreater(harness.reached_replicas().count("r1"), 9)
        self.assertEqual(harness.reached_replicas().count("r2"), statuses.count(200))

    async def test_a_large_answer_is_relayed_whole(self) -> None:
        """Bounds on broken answers do not cut sound ones."""
        body = bytes(range(256)) * 20_000

        async def answer(connection: Connection, request: Request) -> None:
            await connection.send_head(200, sealed(body, request))
            await connection.send_chunk(body)
            await connection.finish()

        harness = EdgeHarness(self, {"r1": answer})
        reply = await harness.send()
        self.assertEqual((200, True), (reply.status, reply.is_whole))
        self.assertTrue(reply.body == body)
