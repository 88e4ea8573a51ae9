"""Tests of connections that rest between two requests, over real sockets."""

import errno
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import trio
import trio.testing

from hemlocktrestle.errors import RequestError
from hemlocktrestle.relay import (
    AnswerReader,
    ReplicaRequest,
    exchange,
    is_quiet,
    limit_unacknowledged,
)
from tests.support import TrioTestCase

REQUEST = ReplicaRequest(b"GET", b"/", [(b"host", b"h")], b"")
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone"


@asynccontextmanager
async def connected() -> AsyncIterator[tuple[trio.SocketStream, socket.socket]]:
    """Yield both ends of a connection."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        ours = trio.socket.socket()
        await ours.connect(listener.getsockname())
        theirs, _ = listener.accept()
    with ours, theirs:
        yield trio.SocketStream(ours), theirs


class QuietTests(TrioTestCase):
    """Only an open connection with nothing to read is quiet."""

    async def test_bytes_and_ends_show(self) -> None:
        """An idle connection is; one with bytes, an end, or closed by us is not."""
        async with connected() as (ours, theirs):
            self.assertTrue(is_quiet(ours))
            theirs.sendall(b"x")
            self.assertFalse(is_quiet(ours))
        async with connected() as (ours, theirs):
            theirs.shutdown(socket.SHUT_WR)
            self.assertFalse(is_quiet(ours))
            await ours.aclose()
            self.assertFalse(is_quiet(ours))

    async def test_other_streams_are_never_quiet(self) -> None:
        """What cannot be looked at is not kept."""
        ours, _ = trio.testing.memory_stream_pair()
        self.assertFalse(is_quiet(ours))

    async def test_unacknowledged_bytes_have_a_limit(self) -> None:
        """The system is told to break such a connection."""
        async with connected() as (ours, _):
            limit_unacknowledged(ours)
            limit_ms = ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            self.assertTrue(0 < int(limit_ms) <= 1_000)


class ReusableTests(TrioTestCase):
    """A connection is offered only after a whole answer and nothing else."""

    async def offered(self, data: bytes, *, reads: bool = True) -> bool:
        """Return whether the connection is offered after an answer of these bytes."""
        found: list[AnswerReader] = []

        def keep(reader: AnswerReader) -> bool:
            found.append(reader)
            return False

        async with connected() as (ours, theirs):
            theirs.sendall(data)
            theirs.shutdown(socket.SHUT_WR)
            try:
                async with exchange(ours, REQUEST, keep=keep) as reader:
                    await trio.testing.wait_all_tasks_blocked()
                    answer = await reader.read_head()
                    if reads:
                        async for _ in answer.body_chunks():
                            pass
            except* RequestError:
                pass
        return bool(found)

    async def test_a_whole_answer_is_needed(self) -> None:
        """Framed, read to its end, without anything before or after it."""
        self.assertTrue(await self.offered(ANSWER))
        self.assertFalse(await self.offered(ANSWER, reads=False))
        for data in (
            ANSWER + b"x",
            ANSWER[:-1],
            b"HTTP/1.1 103 Early Hints\r\n\r\n" + ANSWER,
            ANSWER.replace(b"content-length: 4", b"connection: close"),
            ANSWER.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"),
            ANSWER.replace(b"1.1", b"1.0"),
        ):
            with self.subTest(data):
                self.assertFalse(await self.offered(data))

    async def test_a_connection_that_went_silent_is_told_apart(self) -> None:
        """The system's report of unacknowledged bytes is kept."""
        for code, expected in ((errno.ETIMEDOUT, True), (errno.ECONNRESET, False)):
            reader = AnswerReader(_Failing(code))
            with suppress(RequestError):
                await reader.read_head()
            self.assertEqual(expected, reader.is_unacknowledged)


class _Failing(trio.abc.Stream):
    """A connection whose reading fails with a code of the system."""

    def __init__(self, code: int) -> None:
        self._code = code

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Fail."""
        raise trio.BrokenResourceError from OSError(self._code, "broken")

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Do nothing."""

    async def wait_send_all_might_not_block(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""
