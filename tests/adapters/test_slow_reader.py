"""Tests of callers that stop reading, over real sockets."""

import socket

import trio
from testtools import TestCase

from hemlocktrestle.adapters import serve_http
from hemlocktrestle.adapters._http_server import Receive, Scope, Send, serve_lifespan
from hemlocktrestle.adapters._sockets import limit_socket_inactivity

PIECE = b"x" * 65_536
LIMIT_S = 20.0
TIMEOUT_S = 0.5
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class EndlessApp:
    """Sends chunks until its caller disconnects, then sets ``ended``."""

    def __init__(self) -> None:
        self.ended = trio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        if scope["path"] == "/short":
            await send({"type": "http.response.body", "body": b"ok"})
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_all, send)
            while (await receive())["type"] != "http.disconnect":
                pass
            nursery.cancel_scope.cancel()
        self.ended.set()

    async def _send_all(self, send: Send) -> None:
        while True:
            await send({"type": "http.response.body", "body": PIECE, "more_body": True})


class SlowReaderTests(TestCase):
    """The server cannot cancel a send, so the socket's timeout must end it."""

    def test_a_reader_that_stops_is_ended(self) -> None:
        """A caller that reads nothing is disconnected, while another is served."""
        trio.run(self._run)

    async def _run(self) -> None:
        app = EndlessApp()
        with socket.create_server(("127.0.0.1", 0)) as sock, trio.fail_after(LIMIT_S):
            sock.setblocking(False)
            host, port = sock.getsockname()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_serve, app, sock)
                async with (
                    await trio.open_tcp_stream(host, port) as stuck,
                    await trio.open_tcp_stream(host, port) as other,
                ):
                    await stuck.send_all(REQUEST)
                    await other.send_all(REQUEST.replace(b"/ ", b"/short "))
                    self.assertIn(b"200", await other.receive_some(100))
                    await app.ended.wait()
                nursery.cancel_scope.cancel()

    def test_connections_inherit_the_limits(self) -> None:
        """An accepted connection inherits the options of its listener."""
        with socket.create_server(("127.0.0.1", 0)) as sock:
            limit_socket_inactivity(sock, silence_s=TIMEOUT_S)
            with socket.create_connection(sock.getsockname()):
                accepted, _ = sock.accept()
                with accepted:
                    limit_ms = accepted.getsockopt(
                        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
                    )
                    probes = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        self.assertEqual((TIMEOUT_S * 1000, 1), (limit_ms, probes))


async def _serve(app: EndlessApp, sock: socket.socket) -> None:
    await serve_http(
        app,
        sock=sock,
        graceful_s=1.0,
        shutdown=trio.sleep_forever,
        send_timeout_s=TIMEOUT_S,
    )
