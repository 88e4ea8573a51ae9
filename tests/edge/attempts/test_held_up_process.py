"""Tests that no replica's answer holds up the other requests of a process.

Guards against a process that stands still while one answer is taken apart: requests
to sound replicas got no answer by their timeout.
"""

import httpcore
import trio
from testtools import TestCase

from hemlocktrestle.edge.placing._placement import AttemptEnd
from hemlocktrestle.gateway import PART_BYTES_MAX, EventSplitter
from hemlocktrestle.relay import AnswerReader
from hemlocktrestle.timers import STEPS_PER_CHECKPOINT
from tests.edge.attempts.test_replica_answers import (
    EVENT_STREAM,
    SEAL,
    chunked,
    framed,
    raw,
)
from tests.edge.callers.test_endless_bytes import FLOOD_CHUNKS, endless
from tests.edge.callers.test_server import ONCE, STREAM, WHOLE, event, stream_of
from tests.edge.harness import EdgeHarness, Script
from tests.edge.test_processes import fetch, running_edge
from tests.gateway.records import configuration, replica
from tests.platform.documents import CONFIGURATION
from tests.standins.replica import ReplicaStandIn
from tests.support import TrioTestCase
from tests.support._step_work import count_step_work

STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + SEAL + EVENT_STREAM + b"\r\n"

PIECE_BYTES = 65_536

FLOODS = {
    "line feeds": b"\n",
    "both line ends": b"\r\n",
    "carriage returns": b"\r",
    "comment lines": b":\n",
    "comments": b":\n\n",
    "comments of carriage returns": b":\r\r",
    "fields without an end": b"data\n",
    "an event without an end": b"x",
}
"""What replicas send again and again without an event for the caller."""


def stream_harness(case: TrioTestCase, first: Script) -> EdgeHarness:
    """Return a harness whose second replica is sound."""
    scripts = {"r1": first, "r2": stream_of(range(1, 9))}
    records = tuple(replica(name, service="assistant") for name in scripts)
    return EdgeHarness(case, scripts, found=configuration(STREAM), records=records)


class FloodedStreamTests(TrioTestCase):
    """A stream without events is given up, and holds up no other task meanwhile."""

    async def test_the_caller_gets_its_stream_from_another_replica(self) -> None:
        """What an answer may send that brings no event is bounded."""
        for name, unit in FLOODS.items():
            with self.subTest(name):
                flood = endless(STREAM_HEAD, unit * (PIECE_BYTES // len(unit)))
                harness = stream_harness(self, flood)
                reply = await harness.send("/advice/1", method="POST", body=b"q")
                self.assertEqual(["r1", "r2"], harness.reached_replicas())
                self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
                self.assertEqual(("r1", AttemptEnd.BROKEN), harness.released[0])

    async def test_a_flood_of_comments_leaves_the_time_of_the_next_event(self) -> None:
        """Guards against comments that keep a caller waiting for an event.

        They come slowly, so that their bytes reach no bound.
        """
        for prefix in (b"", event(1) + event(2)):
            drip = endless(STREAM_HEAD + prefix, b": wait\n\n", pause_s=0.05)
            harness = stream_harness(self, drip)
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
            self.assertEqual(("r1", AttemptEnd.SILENT), harness.released[0])

    async def test_comments_come_with_the_event_after_them(self) -> None:
        """A sound stream reaches its caller byte for byte."""
        body = b": a\n\n" + event(1) + b": b\n\n: c\r\n\r\n" + event(2) + b":\n\n: d\n"
        pieces = [body[start : start + 9] for start in range(0, len(body), 9)]
        harness = stream_harness(self, raw(chunked(SEAL + EVENT_STREAM, *pieces)))
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((body, True), (reply.body, reply.is_whole))

    async def test_events_before_a_flood_are_kept(self) -> None:
        """The other replica goes on after them."""
        flood = endless(STREAM_HEAD + event(1) + event(2), b"\n" * PIECE_BYTES)
        harness = stream_harness(self, flood)
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))

    async def test_few_bytes_are_split_between_two_checkpoints(self) -> None:
        """Guards against 64 KiB of tiny events that are taken apart in one go."""
        work = count_step_work(self, EventSplitter, "feed", amount_of=len)
        many = b"".join(event(number) for number in range(1, 10_000))
        units = [b"\n", b":\n\n", b"x"]
        for data in (*(unit * (PIECE_BYTES // len(unit)) for unit in units), many):
            harness = stream_harness(self, raw(chunked(SEAL + EVENT_STREAM, data)))
            await harness.send("/advice/1", method="POST", body=b"q")
        self.assertGreater(work.total, 3 * PIECE_BYTES)
        self.assertLessEqual(work.largest, PART_BYTES_MAX)


class FloodedProcessTests(TestCase):
    """A real process answers for sound replicas while another one floods it."""

    SOUND_COUNT = 10

    def test_requests_to_sound_replicas_are_answered(self) -> None:
        """Guards against a process that stands still for the time of one stream.

        Each request has the time of its route, and half a second.
        """
        trio.run(self._request_beside_a_flood)

    async def _request_beside_a_flood(self) -> None:
        timeout_s = CONFIGURATION["routes"][1]["timeoutMs"] / 1000 + 0.5
        async with running_edge() as (edge, platform):
            flooding = ReplicaStandIn("i-3")
            flooding.mode = "flood"
            # It takes the place of the only replica of the service.
            platform.store.remove("servers/i-2")
            await platform.add_replica(flooding, service="assistant")
            callers = (await edge.logged("started"))["callers"]
            await edge.logged("replicas_changed")
            platform.nursery.start_soon(self._stream, callers)
            while not flooding.runs:
                await trio.sleep(0.01)
            for _ in range(self.SOUND_COUNT):
                with trio.fail_after(timeout_s):
                    response = await fetch(callers, "/log/1")
                self.assertEqual(200, response.status)
            await edge.logged("request_ended", route="r-stream")

    async def _stream(self, callers: str) -> None:
        try:
            while (
                await fetch(callers, "/advice/1", **{"Api-Key": "k1"})
            ).status == 503:
                # The replica is not known yet.
                await trio.sleep(0.05)
        except httpcore.RemoteProtocolError:
            # Its answer may have begun before it is broken off.
            return


class TinyChunkTests(TrioTestCase):
    """Chunks that have arrived are taken apart a few at a time."""

    CHUNK_COUNT = FLOOD_CHUNKS

    async def test_few_chunks_are_read_between_two_checkpoints(self) -> None:
        """Guards against 64 KiB of chunks of one byte that are read in one go."""
        pieces = [b"x"] * self.CHUNK_COUNT
        whole = raw(chunked(SEAL, *pieces))
        refusal = chunked(b"x-not-executed: 1\r\nx-attempt-id: a1\r\n", *pieces)
        refusal = refusal.replace(b"200 OK", b"503 X", 1)
        stream = raw(chunked(SEAL + EVENT_STREAM, *(b":" for _ in pieces)))
        for name, path, script, found in (
            ("buffered", "/jobs/1", whole, ONCE),
            ("refusal", "/jobs/1", raw(refusal), ONCE),
            ("stream", "/advice/1", stream, configuration(STREAM)),
        ):
            with self.subTest(name):
                work = count_step_work(self, AnswerReader, "next_event")
                records = (replica("r1", service="assistant"),) * (name == "stream")
                harness = EdgeHarness(
                    self, {"r1": script}, found=found, records=records
                )
                await harness.send(path, method="POST", body=b"q")
                self.assertGreater(work.total, self.CHUNK_COUNT)
                self.assertLessEqual(work.largest, STEPS_PER_CHECKPOINT)

    async def test_a_sound_answer_in_tiny_chunks_is_relayed(self) -> None:
        """Checkpoints leave out and repeat no byte."""
        body = bytes(range(256)) * 8
        pieces = [body[start : start + 1] for start in range(len(body))]
        harness = EdgeHarness(self, {"r1": raw(chunked(SEAL, *pieces))}, found=ONCE)
        reply = await harness.send(method="POST", body=b"q")
        self.assertEqual((body, True), (reply.body, reply.is_whole))

    async def test_a_sound_stream_in_tiny_chunks_is_relayed(self) -> None:
        """A stream is the same in chunks of one byte, in one chunk and in one piece."""
        pieces = [WHOLE[start : start + 1] for start in range(len(WHOLE))]
        for data in (
            chunked(SEAL + EVENT_STREAM, *pieces),
            chunked(SEAL + EVENT_STREAM, WHOLE),
            framed(200, SEAL + EVENT_STREAM, WHOLE),
        ):
            harness = stream_harness(self, raw(data))
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
            self.assertEqual(["r1"], harness.reached_replicas())
