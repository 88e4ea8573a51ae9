"""Tests of connections to replicas, over real sockets."""

import socket

from testtools import ExpectedException

from hemlocktrestle.errors import RequestError
from hemlocktrestle.relay import ConnectTimeoutError, open_connection
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

    async def test_an_invalid_address_is_unreachable(self) -> None:
        """Guards against a registration with such an address that ends the process."""
        for address in ("127.0.0.1:99999", "127.0.0.1:"):
            with ExpectedException(RequestError):
                await open_connection(address)
