"""Tests of connections to replicas, over real sockets."""

import socket
import struct
from collections.abc import Callable

import trio
import trio.testing
from testtools import ExpectedException

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import (
    ConnectTimeoutError,
    ReplicaRequest,
    exchange,
    open_connection,
)
from tests.odd_values import ODD_ADDRESSES
from tests.support import TrioTestCase


class OpenConnectionTests(TrioTestCase):
    """A refused connect is told from one that gets no reply."""

    async def test_a_connect_without_reply_is_a_timeout(self) -> None:
        """A full backlog drops the opening packet, as a full link does."""
        with socket.socket() as listener, socket.socket() as first:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            first.connect((host, port))
            with ExpectedException(ConnectTimeoutError):
                await open_connection(f"{host}:{port}")

    async def test_a_refused_connect_is_no_timeout(self) -> None:
        """Nothing listens on the port."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            host, port = unused.getsockname()
            try:
                await open_connection(f"{host}:{port}")
            except RequestError as error:
                self.assertNotIsInstance(error, ConnectTimeoutError)
            else:
                self.fail("the connection was opened")

    async def test_an_address_that_cannot_be_used_is_unreachable(self) -> None:
        """Guards against a port out of range, which raised ``OverflowError``."""
        for address in ODD_ADDRESSES:
            if not isinstance(address, str):
                continue
            try:
                await open_connection(address)
            except RequestError as error:
                self.assertIs(ErrorKind.UPSTREAM_UNREACHABLE, error.kind)
            else:
                self.fail(f"the connection was opened: {address!r}")


class ExchangeTests(TrioTestCase):
    """A request and its answer on a new connection."""

    async def test_a_connection_that_is_closed_at_once_is_broken(self) -> None:
        """Guards against an error that is no ``RequestError``: no answer to a caller.

        The order of tasks is random, so the end of the connection may be read before
        the request is sent.
        """
        request = ReplicaRequest(b"GET", b"/", [(b"host", b"h")], b"")
        for _ in range(50):
            ours, theirs = trio.socket.socketpair()
            theirs.close()
            found: list[ErrorKind] = []
            try:
                async with exchange(trio.SocketStream(ours), request) as reader:
                    await reader.read_head()
                    self.fail("there was an answer")
            except* RequestError as errors:
                found += [one.kind for one in _leaves(errors)]
            self.assertEqual([ErrorKind.UPSTREAM_BROKEN], found)

    async def test_a_request_that_is_not_valid_is_an_internal_error(self) -> None:
        """Guards against an error that is no ``RequestError``, as above."""
        request = ReplicaRequest(b"GET", b"/", [(b"host", b"a\nb")], b"")
        ours, _ = trio.testing.memory_stream_pair()
        found: list[ErrorKind] = []
        try:
            async with exchange(ours, request):
                self.fail("there was an answer")
        except* RequestError as errors:
            found += [one.kind for one in _leaves(errors)]
        self.assertEqual([ErrorKind.INTERNAL], found)


UPLOAD = ReplicaRequest(
    b"POST", b"/", [(b"host", b"h"), (b"content-length", b"8000000")], b"u" * 8_000_000
)
"""A request that does not fit the buffers of a connection that nobody reads."""

UNFRAMED_PART = b"HTTP/1.1 200 OK\r\n\r\nten bytes."
LIMIT_S = 20.0
"""Longest time that one exchange may take, in seconds."""

NO_LINGER = struct.pack("ii", 1, 0)


class _OrderedStream(trio.abc.Stream):
    """A connection whose second read waits until the request's writing has ended."""

    def __init__(self, sock: trio.socket.SocketType) -> None:
        self._stream = trio.SocketStream(sock)
        self.is_writing = trio.Event()
        self.has_written = trio.Event()
        self.has_read = trio.Event()
        self.waits_for_writer = True

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        self.is_writing.set()
        try:
            await self._stream.send_all(data)
        finally:
            self.has_written.set()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; the end of the connection only after the writing's end."""
        if self.has_read.is_set() and self.waits_for_writer:
            await self.has_written.wait()
        data = bytes(await self._stream.receive_some(max_bytes))
        self.has_read.set()
        return data

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until bytes can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


class EarlyAnswerTests(TrioTestCase):
    """Answers that come, whole or in part, while the request is being written."""

    def answer(
        self,
        data: bytes,
        end: Callable[[socket.socket], None],
        *,
        waits_for_writer: bool = True,
    ) -> tuple[int, bytes, bool]:
        """Run :meth:`exchange` in real time, as sockets and a thread need it."""

        async def bounded() -> tuple[int, bytes, bool]:
            with trio.fail_after(LIMIT_S):
                return await self.exchange(data, end, waits_for_writer=waits_for_writer)

        return trio.run(bounded)

    async def exchange(
        self,
        data: bytes,
        end: Callable[[socket.socket], None],
        *,
        waits_for_writer: bool = True,
    ) -> tuple[int, bytes, bool]:
        """Return the answer's status and body, and whether the body was whole.

        The replica sends ``data`` and, after the answer's first bytes were read while
        the request was being written, does ``end``.
        """
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            ours = trio.socket.socket()
            await ours.connect(listener.getsockname())
            theirs, _ = listener.accept()
        stream = _OrderedStream(ours)
        stream.waits_for_writer = waits_for_writer
        status, body = 0, b""

        async def replica() -> None:
            await stream.is_writing.wait()
            theirs.sendall(data)
            await stream.has_read.wait()
            await trio.to_thread.run_sync(end, theirs, abandon_on_cancel=True)

        with theirs:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replica)
                async with exchange(stream, UPLOAD) as reader:
                    try:
                        answer = await reader.read_head()
                        status = answer.status
                        async for piece in answer.body_chunks():
                            body += piece
                    except RequestError as error:
                        self.assertIs(ErrorKind.UPSTREAM_BROKEN, error.kind)
                        return status, body, False
                nursery.cancel_scope.cancel()
        return status, body, True

    def test_a_part_before_a_reset_is_not_a_whole_answer(self) -> None:
        """Guards against a reset that only the writer gets: the reader sees an end."""
        self.assertEqual(
            (200, b"ten bytes.", False), self.answer(UNFRAMED_PART, _reset)
        )

    async def test_an_end_before_the_failed_write_is_no_end_of_an_answer(self) -> None:
        """The reader may see the end first, while the write has yet to fail."""
        ours = _ScriptedStream([UNFRAMED_PART, b""])
        async with exchange(ours, UPLOAD) as reader:
            answer = await reader.read_head()
            with ExpectedException(RequestError):
                async for _ in answer.body_chunks():
                    pass

    def test_an_answer_without_length_may_end_in_order(self) -> None:
        """The replica ends its side, reads the rest and has answered."""
        self.assertEqual(
            (200, b"ten bytes.", True),
            self.answer(UNFRAMED_PART, _end_and_read, waits_for_writer=False),
        )

    def test_an_answer_with_a_length_is_whole_before_a_reset(self) -> None:
        """A replica may refuse a long request without reading it."""
        refusal = b"HTTP/1.1 503 Full\r\ncontent-length: 4\r\n\r\nfull"
        self.assertEqual((503, b"full", True), self.answer(refusal, _reset))


class _ScriptedStream(trio.abc.Stream):
    """Has bytes to read, and its write fails only after all of them were read."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = pieces
        self._has_ended = trio.Event()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next piece."""
        data = self._pieces.pop(0)
        if not data:
            self._has_ended.set()
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Fail once the end was read and other tasks have run."""
        await self._has_ended.wait()
        await trio.testing.wait_all_tasks_blocked()
        raise trio.BrokenResourceError

    async def wait_send_all_might_not_block(self) -> None:
        """Do nothing."""

    async def aclose(self) -> None:
        """Do nothing."""


def _reset(theirs: socket.socket) -> None:
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    theirs.close()


def _end_and_read(theirs: socket.socket) -> None:
    theirs.shutdown(socket.SHUT_WR)
    while theirs.recv(1_000_000):
        pass


def _leaves(errors: BaseExceptionGroup[RequestError]) -> list[RequestError]:
    return [
        leaf
        for one in errors.exceptions
        for leaf in (_leaves(one) if isinstance(one, BaseExceptionGroup) else [one])
    ]
