"""Tests of replicas that send bytes without end which never become an answer."""

from typing import Any

import trio

from hemlocktrestle.edge._placement import AttemptEnd
from tests.edge.harness import EdgeHarness, Script
from tests.edge.test_server import ONCE, STREAM, WHOLE, stream_of
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

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
