"""Tests of connections to replicas, over real sockets."""

import socket

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


def _leaves(errors: BaseExceptionGroup[RequestError]) -> list[RequestError]:
    return [
        leaf
        for one in errors.exceptions
        for leaf in (_leaves(one) if isinstance(one, BaseExceptionGroup) else [one])
    ]
