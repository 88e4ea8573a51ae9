"""Tests of streams that stop inside an event while their framing ends in order."""

from collections.abc import Callable, Mapping

import httpcore
import trio
from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException, TestCase

from hemlocktrestle.edge.placing._placement import AttemptEnd
from tests.edge.attempts.test_replica_answers import (
    EVENT_STREAM,
    SEAL,
    chunked,
    framed,
    raw,
)
from tests.edge.callers.test_server import STREAM, WHOLE, event, stream_of
from tests.edge.harness import EdgeHarness, Script
from tests.edge.test_processes import fetch_stream, running_edge
from tests.gateway.records import configuration, replica
from tests.standins.replica import ReplicaStandIn
from tests.support import TrioTestCase
from tests.support._case import run_virtual

EVENT_BYTES = len(event(1))


def in_chunks(body: bytes) -> bytes:
    """Return the bytes of an answer whose last chunk is empty."""
    return chunked(SEAL + EVENT_STREAM, *([body] if body else []))


def with_length(body: bytes) -> bytes:
    """Return the bytes of an answer that states its length."""
    return framed(200, SEAL + EVENT_STREAM, body)


def until_close(body: bytes) -> bytes:
    """Return the bytes of an answer that ends with its connection."""
    return b"HTTP/1.1 200 OK\r\n" + SEAL + EVENT_STREAM + b"\r\n" + body


FRAMINGS: Mapping[str, Callable[[bytes], bytes]] = {
    "chunks": in_chunks,
    "length": with_length,
    "connection": until_close,
}
"""The ways in which a body states its end."""


class _TornStreamCase(TrioTestCase):
    def harness(
        self, first: Script, second: Script, *, may_resume: bool = True
    ) -> EdgeHarness:
        """Return a harness that sends a stream's request to ``first``."""
        scripts = {"r1": first, "r2": second}
        records = tuple(replica(name, service="assistant") for name in scripts)
        found = configuration(STREAM._replace(may_resume=may_resume))
        return EdgeHarness(self, scripts, found=found, records=records)


class TornStreamTests(_TornStreamCase):
    """A stream that stops inside an event is broken off, however its body ends.

    Guards against an answer that looks complete to its caller and lacks its last
    events, because the last chunk or the stated length came.
    """

    async def test_the_rest_comes_from_another_replica(self) -> None:
        """Guards against half of an event, a gap or an event twice at the seam."""
        for framing, answer in FRAMINGS.items():
            for whole_count in (0, 3, 7):
                torn = WHOLE[: EVENT_BYTES * whole_count + EVENT_BYTES // 2]
                rest = stream_of(range(whole_count + 1, 9))
                with self.subTest(framing=framing, whole_events=whole_count):
                    harness = self.harness(raw(answer(torn)), rest)
                    reply = await harness.send("/advice/1", method="POST", body=b"q")
                    self.assertEqual(["r1", "r2"], harness.reached_replicas())
                    self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
                    self.assertEqual(("r1", AttemptEnd.BROKEN), harness.released[0])

    async def test_a_stream_that_may_not_resume_is_visibly_cut(self) -> None:
        """The caller gets the whole events, and no end; or 502 if there are none."""
        for framing, answer in FRAMINGS.items():
            for whole_count in (0, 3, 7):
                torn = WHOLE[: EVENT_BYTES * whole_count + EVENT_BYTES // 2]
                script = raw(answer(torn))
                with self.subTest(framing=framing, whole_events=whole_count):
                    harness = self.harness(script, script, may_resume=False)
                    reply = await harness.send("/advice/1", method="POST", body=b"q")
                    self.assertEqual(["r1"], harness.reached_replicas())
                    if whole_count:
                        self.assertEqual(
                            (WHOLE[: EVENT_BYTES * whole_count], False),
                            (reply.body, reply.is_whole),
                        )
                    else:
                        self.assertEqual(502, reply.status)

    async def test_a_second_replica_may_stop_inside_an_event_too(self) -> None:
        """The attempts are used up, so that the caller's answer is visibly cut."""
        for framing, answer in FRAMINGS.items():
            with self.subTest(framing=framing):
                harness = self.harness(
                    raw(in_chunks(WHOLE[: EVENT_BYTES * 3 + 5])),
                    raw(answer(WHOLE[EVENT_BYTES * 3 : EVENT_BYTES * 5 + 5])),
                )
                reply = await harness.send("/advice/1", method="POST", body=b"q")
                self.assertEqual(["r1", "r2"], harness.reached_replicas())
                self.assertEqual(
                    (WHOLE[: EVENT_BYTES * 5], False), (reply.body, reply.is_whole)
                )

    @given(
        end=st.integers(0, len(WHOLE)), framing=st.sampled_from(list(FRAMINGS.values()))
    )
    def test_an_end_at_any_byte_leaves_no_gap(
        self, end: int, framing: Callable[[bytes], bytes]
    ) -> None:
        """The caller gets all events once, unless the replica ended between two.

        An end between two events can't be told from the end of the stream.
        """
        whole_count, torn_bytes = divmod(end, EVENT_BYTES)

        async def check() -> None:
            harness = self.harness(
                raw(framing(WHOLE[:end])), stream_of(range(whole_count + 1, 9))
            )
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertTrue(reply.is_whole)
            self.assertEqual(WHOLE if torn_bytes else WHOLE[:end], reply.body)

        run_virtual(check)


class WholeStreamTests(_TornStreamCase):
    """What is no event at the end of a body does not make it a broken one."""

    async def test_a_stream_may_close_with_a_comment(self) -> None:
        """Guards against whole streams that are taken for broken ones."""
        ends = {
            "comment": (b": bye", FRAMINGS.keys() - {"connection"}),
            "comment line": (b": bye\n", FRAMINGS.keys()),
            "comment lines": (b": bye\r\n: bye\r\n", FRAMINGS.keys()),
            "comment block": (b": bye\n\n", FRAMINGS.keys()),
            "empty line": (b"\n", FRAMINGS.keys()),
        }
        for name, (end, framings) in ends.items():
            for framing in sorted(framings):
                with self.subTest(end=name, framing=framing):
                    harness = self.harness(
                        raw(FRAMINGS[framing](WHOLE + end)), stream_of(range(1, 9))
                    )
                    reply = await harness.send("/advice/1", method="POST", body=b"q")
                    self.assertEqual(["r1"], harness.reached_replicas())
                    self.assertEqual((WHOLE + end, True), (reply.body, reply.is_whole))

    async def test_a_failure_on_a_streams_route_is_relayed_unchanged(self) -> None:
        """A sealed failure has a body of its own, which is no stream of events."""
        for status in (400, 404, 429):
            data = framed(status, SEAL, b'{"error": "no"}')
            harness = self.harness(raw(data), stream_of(range(1, 9)), may_resume=False)
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual(
                (status, b'{"error": "no"}', True),
                (reply.status, reply.body, reply.is_whole),
            )


class TornProcessTests(TestCase):
    """A real process passes no torn stream on as a whole one."""

    def test_the_callers_answer_is_visibly_cut(self) -> None:
        """Guards against half of an event and the end of a whole answer."""
        trio.run(self._request_a_torn_stream)

    async def _request_a_torn_stream(self) -> None:
        async with running_edge() as (edge, platform):
            torn = ReplicaStandIn("i-3")
            torn.mode = "torn"
            # It takes the place of the only replica of the service.
            platform.store.remove("servers/i-2")
            await platform.add_replica(torn, service="assistant")
            callers = (await edge.logged("started"))["callers"]
            with ExpectedException(httpcore.RemoteProtocolError):
                await fetch_stream(callers)
            cut = await edge.logged("answer_cut")
            self.assertEqual("stream ended within an event", cut["failure"])
