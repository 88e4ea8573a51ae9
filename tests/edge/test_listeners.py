"""Tests of the addresses that an edge process listens on."""

from contextlib import AsyncExitStack

import trio
from testtools import TestCase

from hemlocktrestle.edge._listeners import CallerListener, address_of, listen
from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.relay import BodyMemoryBudget, CallerConnection, CallerRequest
from tests.platform.documents import SETTINGS

CONNECTIONS_MAX = 3

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


async def _answer(request: CallerRequest, connection: CallerConnection) -> None:
    await connection.send_answer(200, [], b"")


class CallerListenerTests(TestCase):
    """Connections of callers are bounded, whatever callers do."""

    def test_connections_are_bounded(self) -> None:
        """One more waits unserved, and is served once another has closed."""
        trio.run(self._bounded)

    async def _bounded(self) -> None:
        state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        listener = CallerListener(
            state,
            _answer,
            connections_max=CONNECTIONS_MAX,
            body_budget=BodyMemoryBudget(1_000),
        )
        listening = listen("127.0.0.1:0")
        host, _, port = address_of(listening).rpartition(":")
        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(30))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(listener.run, listening)
            streams = [
                await trio.open_tcp_stream(host, int(port))
                for _ in range(CONNECTIONS_MAX + 1)
            ]
            for stream in streams:
                stack.push_async_callback(trio.aclose_forcefully, stream)
                await stream.send_all(GET)
            for stream in streams[:CONNECTIONS_MAX]:
                self.assertIn(b"200", bytes(await stream.receive_some()))
            self.assertEqual(CONNECTIONS_MAX, listener.connection_count)
            await streams[0].aclose()
            self.assertIn(b"200", bytes(await streams[-1].receive_some()))
            self.assertEqual(CONNECTIONS_MAX, listener.connection_count)
            nursery.cancel_scope.cancel()
