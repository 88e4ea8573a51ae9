"""Tests of the listener for health checks and metrics."""

from contextlib import AsyncExitStack

import trio
from testtools import TestCase

from hemlocktrestle.edge.callers._answer_listener import (
    CONNECTIONS_MAX,
    AnswerListener,
)
from hemlocktrestle.edge.callers._listeners import address_of, listen
from hemlocktrestle.relay import CutReason

GET = b"GET /ready HTTP/1.1\r\nhost: a\r\n\r\n"


class AnswerListenerTests(TestCase):
    """Its connections are bounded, and a new one gets through."""

    def test_a_new_connection_closes_the_oldest(self) -> None:
        """Guards against checks that wait behind connections that stay open."""
        trio.run(self._close_oldest)

    async def _close_oldest(self) -> None:
        reasons: list[CutReason] = []
        listener = AnswerListener(
            {b"/ready": lambda: (200, b"text/plain", b"")}, on_cut=reasons.append
        )
        listening = listen("127.0.0.1:0")
        host, _, port = address_of(listening).rpartition(":")
        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(30))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(listener.run, listening)
            streams = []
            for _ in range(CONNECTIONS_MAX + 3):
                stream = await trio.open_tcp_stream(host, int(port))
                stack.push_async_callback(trio.aclose_forcefully, stream)
                await stream.send_all(GET)
                self.assertIn(b"200", bytes(await stream.receive_some()))
                streams.append(stream)
            self.assertEqual(b"", bytes(await streams[0].receive_some()))
            self.assertIn(CutReason.OLDEST_CHECK, reasons)
            nursery.cancel_scope.cancel()
