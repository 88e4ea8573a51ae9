"""Tests of streams that another replica resumes after a broken answer."""

from typing import Any, ClassVar

from tests.edge.attempts.test_replica_answers import (
    EVENT_STREAM,
    SEAL,
    chunked,
    framed,
    raw,
)
from tests.edge.callers.test_server import STREAM, WHOLE, event, stream_of
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    Script,
)
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase


class ResumedStreamTests(TrioTestCase):
    """A broken stream goes on only with the events that follow, or is visibly cut."""

    def harness(self, second: Script, **changes: Any) -> EdgeHarness:
        """Return a harness whose first replica closes after three events."""
        scripts = {"r1": stream_of(range(1, 4), end="cut"), "r2": second}
        records = tuple(replica(name, service="assistant") for name in scripts)
        found = configuration(STREAM._replace(**changes))
        return EdgeHarness(self, scripts, found=found, records=records)

    async def reply_to(self, second: Script) -> Reply:
        """Return what the caller of a stream gets if ``second`` resumes it."""
        harness = self.harness(second)
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual(["r1", "r2"], harness.reached_replicas())
        return reply

    NO_CONTINUATION: ClassVar = {
        "a sealed success that is no stream": framed(200, SEAL, b'{"error":"boom"}'),
        "a success in chunks that is no stream": chunked(SEAL, b"error: boom\n\n"),
        "an error in a stream's clothing": chunked(
            SEAL + EVENT_STREAM, b'{"error":"boom"}'
        ),
        "an error line as an event": chunked(SEAL + EVENT_STREAM, b"error: boom\n\n"),
        "events from the start": chunked(
            SEAL + EVENT_STREAM, *(event(number) for number in range(1, 9))
        ),
        "the last event again": chunked(
            SEAL + EVENT_STREAM, *(event(number) for number in range(3, 9))
        ),
        "events after a gap": chunked(
            SEAL + EVENT_STREAM, *(event(number) for number in range(6, 9))
        ),
        "another request's stream": chunked(
            b"x-attempt-id: a0\r\nx-response-seal: s\r\n" + EVENT_STREAM,
            *(event(number) for number in range(4, 9)),
        ),
        "a whole second head": b"HTTP/1.1 200 OK\r\n"
        + SEAL
        + EVENT_STREAM
        + b"\r\nHTTP/1.1 500 Oops\r\ncontent-length: 4\r\n\r\nboom",
    }

    async def test_an_answer_that_does_not_continue_is_not_relayed(self) -> None:
        """Guards against errors, heads and repeated events within a stream."""
        sealed_error = {
            f"a sealed {status}": framed(status, SEAL, b"boom")
            for status in (204, 206, 404, 429, 500, 503)
        }
        for name, data in (self.NO_CONTINUATION | sealed_error).items():
            with self.subTest(name):
                reply = await self.reply_to(raw(data))
                self.assertEqual(
                    (WHOLE[: len(event(1)) * 3], False), (reply.body, reply.is_whole)
                )

    async def test_a_continuation_is_relayed_to_its_end(self) -> None:
        """Events after the last relayed one complete the stream, however framed."""
        rest = [event(number) for number in range(4, 9)]
        plain_head = b"HTTP/1.1 200 OK\r\n" + SEAL + EVENT_STREAM + b"\r\n"
        for data in (
            chunked(SEAL + EVENT_STREAM, *rest),
            chunked(SEAL + EVENT_STREAM, b": keep-alive\n\n", *rest),
            framed(200, SEAL + EVENT_STREAM, b"".join(rest)),
            plain_head + b"".join(rest),
        ):
            reply = await self.reply_to(raw(data))
            self.assertEqual(
                (WHOLE, True),
                (reply.body.replace(b": keep-alive\n\n", b""), reply.is_whole),
            )

    async def test_nothing_more_after_the_last_event_is_an_end(self) -> None:
        """A replica that has no events left ends the stream."""
        reply = await self.reply_to(raw(chunked(SEAL + EVENT_STREAM)))
        self.assertTrue(reply.is_whole)

    async def test_a_stream_without_ids_is_not_resumed(self) -> None:
        """Guards against a second run that is appended to the first."""

        async def nameless(connection: Connection, request: Request) -> None:
            await connection.send_head(
                200, {"x-attempt-id": "a1", "x-response-seal": "s"}
            )
            await connection.send_chunk(b"data: part 1\n\n")
            await connection.stream.aclose()

        harness = self.harness(stream_of(range(1, 9)))
        harness.scripts["r1"] = nameless
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertFalse(reply.is_whole and reply.body != WHOLE)
        self.assertIn(reply.body, {b"", WHOLE})

    async def test_a_callers_own_resumption_is_checked_too(self) -> None:
        """Guards against events that the caller already had from an earlier answer."""
        harness = self.harness(stream_of(range(1, 9)))
        harness.scripts["r1"] = raw(
            chunked(SEAL + EVENT_STREAM, *(event(number) for number in range(1, 9)))
        )
        reply = await harness.send(
            "/advice/1", method="POST", body=b"q", Last_Event_Id="2"
        )
        self.assertEqual(["r1", "r2"], harness.reached_replicas())
        self.assertEqual(
            (WHOLE[len(event(1)) * 2 :], True), (reply.body, reply.is_whole)
        )
