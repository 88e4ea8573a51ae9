"""Tests of the listeners of an edge process."""

import os
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from unittest.mock import patch

import trio
from testtools import TestCase

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.callers._listeners import (
    IDLE_CLOSE_S,
    SHORTAGES,
    CallerListener,
    address_of,
    listen,
)
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.relay import (
    BodyMemoryBudget,
    CallerConnection,
    CallerRequest,
    CutReason,
)
from tests.platform.documents import SETTINGS

CONNECTIONS_MAX = 3

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"

POST = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi"


FLOOD = b"/flood"
"""Path whose answer never ends."""


async def _answer(request: CallerRequest, connection: CallerConnection) -> None:
    await connection.send_answer(200, [], b"")


async def _answer_or_flood(
    request: CallerRequest, connection: CallerConnection
) -> None:
    connection.start_answer(200, [])
    while request.target == FLOOD:
        await connection.send_chunk(b"x" * 1_000_000)
    await connection.finish()


def _state() -> EdgeState:
    return EdgeState(
        decode_settings(SETTINGS, source="test"),
        fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
    )


def _listener(state: EdgeState) -> CallerListener:
    return CallerListener(
        state,
        _answer,
        connections_max=CONNECTIONS_MAX,
        body_budget=BodyMemoryBudget(1_000),
    )


class CallerListenerTests(TestCase):
    """The number of callers' connections is bounded."""

    def test_connections_are_bounded(self) -> None:
        """A connection beyond the limit is served once another one has closed."""
        trio.run(self._bounded)

    async def _bounded(self) -> None:
        listener = _listener(_state())
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

    def test_a_caller_that_reads_nothing_makes_room(self) -> None:
        """Guards against callers that wait while others hold all connections."""
        trio.run(self._make_room)

    async def _make_room(self) -> None:
        reasons: list[CutReason] = []
        listener = CallerListener(
            _state(),
            _answer_or_flood,
            connections_max=CONNECTIONS_MAX,
            body_budget=BodyMemoryBudget(1_000),
            on_cut=reasons.append,
        )
        listening = listen("127.0.0.1:0")
        host, _, port = address_of(listening).rpartition(":")
        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(30))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(listener.run, listening)
            for request in [GET.replace(b"/x", FLOOD)] * CONNECTIONS_MAX + [GET]:
                stream = await trio.open_tcp_stream(host, int(port))
                stack.push_async_callback(trio.aclose_forcefully, stream)
                await stream.send_all(request)
            self.assertIn(b"200", bytes(await stream.receive_some()))
            self.assertIn(CutReason.ROOM, reasons)
            nursery.cancel_scope.cancel()

    def test_idle_connections_make_room(self) -> None:
        """Guards against callers that wait for the idle timeout of others."""
        trio.run(self._close_idle)

    async def _close_idle(self) -> None:
        listening = listen("127.0.0.1:0")
        host, _, port = address_of(listening).rpartition(":")
        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(10))
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(_listener(_state()).run, listening)
            streams = []
            for _ in range(2 * CONNECTIONS_MAX):
                streams.append(await trio.open_tcp_stream(host, int(port)))
                stack.push_async_callback(trio.aclose_forcefully, streams[-1])
                await streams[-1].send_all(GET)
                self.assertIn(b"200", bytes(await streams[-1].receive_some()))
            self.assertEqual(b"", bytes(await streams[0].receive_some()))
            nursery.cancel_scope.cancel()

    def test_a_kernel_that_is_short_of_memory(self) -> None:
        """Guards against the end of the process by a crowd that takes buffers."""
        trio.run(self._accept_after_shortage)

    async def _accept_after_shortage(self) -> None:
        listening = listen("127.0.0.1:0")
        host, _, port = address_of(listening).rpartition(":")
        shortages = [OSError(number, "short") for number in sorted(SHORTAGES)]
        accept = listening.accept

        async def accept_after_shortages() -> trio.SocketStream:
            if shortages:
                raise shortages.pop()
            return await accept()

        async with AsyncExitStack() as stack:
            stack.enter_context(trio.fail_after(30))
            stack.enter_context(
                patch.object(listening, "accept", accept_after_shortages)
            )
            nursery = await stack.enter_async_context(trio.open_nursery())
            nursery.start_soon(_listener(_state()).run, listening)
            stream = await trio.open_tcp_stream(host, int(port))
            stack.push_async_callback(trio.aclose_forcefully, stream)
            await stream.send_all(GET)
            self.assertIn(b"200", bytes(await stream.receive_some()))
            nursery.cancel_scope.cancel()


class ClosingTests(TestCase):
    """Connections that are closed in a shutdown cut off no request."""

    def run_with_caller(
        self,
        check: Callable[
            [EdgeState, CallerListener, trio.SocketStream], Awaitable[None]
        ],
    ) -> None:
        """Run a check with a listener and a connection that has served a request."""

        async def run() -> None:
            state = _state()
            listener = _listener(state)
            listening = listen("127.0.0.1:0")
            host, _, port = address_of(listening).rpartition(":")
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(listener.run, listening)
                    async with await trio.open_tcp_stream(host, int(port)) as stream:
                        await stream.send_all(GET)
                        self.assertIn(b"200", bytes(await stream.receive_some()))
                        await check(state, listener, stream)
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_a_request_in_the_socket_is_answered(self) -> None:
        """Guards against closing a connection on a request that has just arrived."""

        async def check(
            state: EdgeState, listener: CallerListener, stream: trio.SocketStream
        ) -> None:
            await trio.sleep(IDLE_CLOSE_S + 0.1)
            state.shutdown.begin()
            # No other task runs between the two calls.
            os.write(stream.socket.fileno(), GET)
            listener.close_idle()
            self.assertIn(b"200", bytes(await stream.receive_some()))

        self.run_with_caller(check)

    def test_an_idle_connection_is_closed(self) -> None:
        """It is closed once it has been idle for a while, not before."""

        async def check(
            state: EdgeState, listener: CallerListener, stream: trio.SocketStream
        ) -> None:
            await trio.sleep(0.1)
            state.shutdown.begin()
            listener.close_idle()
            await trio.sleep(0.1)
            self.assertEqual(1, listener.connection_count)
            await trio.sleep(IDLE_CLOSE_S)
            listener.close_idle()
            self.assertEqual(b"", bytes(await stream.receive_some()))

        self.run_with_caller(check)

    def test_a_request_that_is_being_received_is_refused_at_the_end(self) -> None:
        """Guards against a connection that closes on half a request without answer."""

        async def check(
            state: EdgeState, listener: CallerListener, stream: trio.SocketStream
        ) -> None:
            state.shutdown.begin()
            for part in (GET[:9], POST[:-1]):
                host, port = stream.socket.getpeername()[:2]
                async with await trio.open_tcp_stream(host, port) as caller:
                    await caller.send_all(part)
                    await trio.sleep(0.1)
                    listener.close_idle()
                    listener.refuse_unread()
                    answer = bytes(await caller.receive_some())
                    self.assertEqual(b"HTTP/1.1 503 ", answer[:13])
                    self.assertIn(b"retry-after", answer)

        self.run_with_caller(check)
