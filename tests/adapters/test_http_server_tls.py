"""Tests of the callers' listener under TLS."""

import socket
import ssl
import tempfile
from functools import partial
from pathlib import Path

import httpcore
import trio
import trustme
from testtools import TestCase

from hemlocktrestle.adapters import CallersApp, Responder, serve_http
from hemlocktrestle.adapters._tls import TlsContexts
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.errors import Outcome
from tests.adapters.test_tls import issue


class _Greeter:
    """Answers every request alike."""

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer the request."""
        await responder.send_answer(200, [], b"hello", Outcome.COMPLETE)


class CallersListenerTlsTests(TestCase):
    """Callers reach the listener by TLS alone when it is on."""

    def _run(self, scheme: str, context: ssl.SSLContext) -> int:
        """Serve over TLS, make one call, and return its status."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        contexts = TlsContexts(issue(self.authority, Path(folder.name), "localhost"))
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            port = sock.getsockname()[1]

            async def main() -> int:
                stop = trio.Event()
                app = CallersApp(_Greeter(), now_ms=lambda: 0.0)
                async with trio.open_nursery() as nursery:
                    serve = partial(
                        serve_http,
                        app,
                        sock=sock,
                        tls=contexts.public_server,
                        graceful_s=1.0,
                        shutdown=stop.wait,
                    )
                    await nursery.start(serve)
                    pool = httpcore.AsyncConnectionPool(ssl_context=context)
                    try:
                        async with pool:
                            url = f"{scheme}://localhost:{port}/"
                            response = await pool.request("GET", url)
                    finally:
                        stop.set()
                return response.status

            return trio.run(main)

    def setUp(self) -> None:
        super().setUp()
        self.authority = trustme.CA()
        self.context = ssl.create_default_context()
        self.authority.configure_trust(self.context)

    def test_a_caller_that_trusts_the_authority_is_served(self) -> None:
        """The answer comes over TLS."""
        self.assertEqual(200, self._run("https", self.context))

    def test_a_plain_caller_gets_nothing(self) -> None:
        """A caller without TLS gets no answer."""
        with self.assertRaises(BaseExceptionGroup):
            self._run("http", self.context)
