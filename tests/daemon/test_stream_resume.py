"""Tests of recognising the end of a stream and the ids of its events."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import httpcore
import trio
from testtools import TestCase

from hemlocktrestle.adapters import HttpUpstreamClient
from hemlocktrestle.daemon._relay import STREAM_END, ends_with_mark, is_self_delimited
from hemlocktrestle.daemon._stream_resume import ResumableStream, _split_id
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import EVENT_BYTES_MAX, PART_BYTES_MAX, EventSplitter
from hemlocktrestle.ports import Headers, UpstreamAnswer
from hemlocktrestle.timers import STEPS_PER_CHECKPOINT
from tests.daemon.test_relay_joining import chunked, upstream_call
from tests.support import FakeUpstreams, TrioTestCase
from tests.support._step_work import StepWork, count_step_work


async def _no_body() -> object:
    yield b""


def answer_with(headers: Headers, status: int = 200) -> UpstreamAnswer:
    """Return an answer with these headers and no body."""
    return UpstreamAnswer(status, headers, _no_body())  # type: ignore[arg-type]


class EndTests(TestCase):
    """A stream is complete by its last line, an answer by its framing."""

    def test_the_last_line_alone_ends_a_stream(self) -> None:
        """Text within an event that looks like the end mark does not count."""
        for tail, is_whole in (
            (b"\ndata: [DONE]\n\n", True),
            (b"\ndata: [DONE]\r\n\r\n", True),
            (b"\ndata: [DONE]", True),
            (b'\ndata: {"content": "data: [DONE]"}\n\n', False),
            (b"\ndata: {}data: [DONE]\n\n", False),
            (b"\ndata: [DONE]\n\ndata: {}\n\n", False),
            (b"\n", False),
        ):
            self.assertEqual(is_whole, ends_with_mark(tail, STREAM_END), str(tail))

    def test_a_body_until_the_close_has_no_stated_end(self) -> None:
        """Only a length, chunks or a status without body make truncation visible."""
        for headers, status, is_stated in (
            (((b"content-length", b"2"),), 200, True),
            (((b"transfer-encoding", b"chunked"),), 200, True),
            (((b"content-type", b"text/plain"),), 200, False),
            ((), 204, True),
            ((), 200, False),
        ):
            answer = answer_with(headers, status)
            self.assertEqual(is_stated, is_self_delimited(answer), str(headers))


class EventIdTests(TestCase):
    """Ids of events are split into a text and a number."""

    def test_a_number_of_many_digits_is_no_number(self) -> None:
        """Guards against an id that is too long to be converted to a number."""
        self.assertEqual((b"a", 12), _split_id(b"a12"))
        self.assertEqual((b"a", None), _split_id(b"a" + b"9" * 5_000))


class FloodTests(TrioTestCase):
    """One engine's answer does not hold up the other requests of a daemon."""

    PIECE_BYTES = 65_536

    async def relay_endless(self, unit: bytes) -> None:
        """Read a stream without end, and count the bytes that it passes on.

        Raises:
            RequestError: why it ended.
        """

        async def body() -> AsyncIterator[bytes]:
            while True:
                await trio.lowlevel.checkpoint()
                yield unit * (self.PIECE_BYTES // len(unit))

        self.relayed_bytes = 0
        async with AsyncExitStack() as stack:
            stream = ResumableStream(
                UpstreamAnswer(200, (), body()),
                call=upstream_call(),
                client=FakeUpstreams(),
                stack=stack,
            )
            async for events in stream:
                self.relayed_bytes += len(events)

    async def test_a_stream_without_events_ends(self) -> None:
        """Guards against comments and empty lines that are relayed without end."""
        for unit in (b"\n", b"\r\n", b":\n\n", b": note\n", b"x", b"id: 1\n\n"):
            work = count_step_work(self, EventSplitter, "feed", amount_of=len)
            with self.subTest(unit=unit):
                try:
                    await self.relay_endless(unit)
                except RequestError as error:
                    self.assertIs(ErrorKind.UPSTREAM_BROKEN, error.kind)
                else:
                    self.fail("the stream ended in order")
                self.assertLess(self.relayed_bytes, EVENT_BYTES_MAX + self.PIECE_BYTES)
                self.assertLessEqual(work.largest, PART_BYTES_MAX)

    async def test_few_chunks_are_read_between_two_checkpoints(self) -> None:
        """Guards against 64 KiB of chunks of one byte that are read in one go."""
        body = bytes(range(256)) * 10
        data = chunked([body[start : start + 1] for start in range(len(body))])
        backend = httpcore.AsyncMockBackend([data])
        received = b""
        work = StepWork()
        trio.lowlevel.add_instrument(work)
        async with (
            HttpUpstreamClient(backend=backend) as client,
            client.call(upstream_call()) as answer,
        ):
            async for piece in answer.body:
                work.add(1)
                received += piece
        self.assertEqual(body, received)
        self.assertLessEqual(work.largest, STEPS_PER_CHECKPOINT + 1)
