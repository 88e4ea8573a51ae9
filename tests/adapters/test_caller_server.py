"""Tests of the callers' connections over real sockets on loopback."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from testtools import TestCase

from hemlocktrestle.adapters import Responder, serve_http
from hemlocktrestle.adapters._http_server import Receive, Scope, Send
from hemlocktrestle.errors import Outcome

LIMIT_S = 30.0
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
PIECES = [b"%06d" % number * 700 for number in range(500)]
"""More than the buffers of a connection take at once."""


class _App:
    """Streams pieces, and waits in the middle until it is told to go on."""

    def __init__(self) -> None:
        self.started = trio.Event()
        self.go_on = trio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        responder = Responder(send, "r1")
        await responder.send_head(200, [], Outcome.UNKNOWN)
        await responder.send_chunk(PIECES[0])
        self.started.set()
        await self.go_on.wait()
        for piece in PIECES[1:]:
            await responder.send_chunk(piece)
        await responder.finish()


async def _get(address: tuple[str, int]) -> trio.SocketStream:
    stream = await trio.open_tcp_stream(*address)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    await stream.send_all(REQUEST)
    return stream


async def _read_all(stream: trio.SocketStream) -> bytes:
    found = bytearray()
    while data := await stream.receive_some(3000):
        found += data
    return bytes(found)


def _body(answer: bytes) -> bytes:
    """Return the body of a chunked answer, which must end with its last chunk."""
    rest = answer.partition(b"\r\n\r\n")[2]
    found = bytearray()
    while True:
        size, _, rest = rest.partition(b"\r\n")
        length = int(size, 16)
        if not length:
            return bytes(found)
        found += rest[:length]
        rest = rest[length + 2 :]


class ConnectionTests(TestCase):
    """Bytes arrive whole and in order, whichever way they are sent."""

    def test_a_reader_that_lags_gets_every_byte_in_order(self) -> None:
        """Sends that the system takes in part go on where they stopped."""

        async def main(app: _App, address: tuple[str, int], stop: trio.Event) -> None:
            stream = await _get(address)
            app.go_on.set()
            await app.started.wait()
            self.assertEqual(b"".join(PIECES), _body(await _read_all(stream)))
            stop.set()

        _serve(main)

    def test_connections_that_wait_when_the_listener_closes_are_served(self) -> None:
        """Callers who connected before the end, unseen by the server, get answers."""

        async def main(app: _App, address: tuple[str, int], stop: trio.Event) -> None:
            app.go_on.set()
            callers = []
            for _ in range(8):
                caller = socket.create_connection(address)
                caller.sendall(REQUEST)
                caller.setblocking(False)
                callers.append(caller)
            stop.set()
            for caller in callers:
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(caller))
                async with stream:
                    self.assertEqual(b"".join(PIECES), _body(await _read_all(stream)))

        _serve(main)

    def test_an_open_stream_is_finished_after_the_listener_closed(self) -> None:
        """A shutdown waits for open requests and takes no new connection."""

        async def main(app: _App, address: tuple[str, int], stop: trio.Event) -> None:
            stream = await _get(address)
            await app.started.wait()
            stop.set()
            await _until_refused(address)
            app.go_on.set()
            self.assertEqual(b"".join(PIECES), _body(await _read_all(stream)))

        _serve(main)


async def _until_refused(address: tuple[str, int]) -> None:
    while True:
        try:
            stream = await trio.open_tcp_stream(*address)
        except OSError:
            return
        await stream.aclose()


def _serve(main: Callable[..., Awaitable[None]]) -> None:
    async def run() -> None:
        app, stop = _App(), trio.Event()
        with socket.socket() as sock, trio.fail_after(LIMIT_S):
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            address = sock.getsockname()
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    partial(
                        serve_http,
                        app,
                        sock=sock,
                        graceful_s=LIMIT_S,
                        shutdown=stop.wait,
                    )
                )
                nursery.start_soon(main, app, address, stop)

    trio.run(run)
