"""Tests of the HTTP client with stale pooled connections.

They use real sockets on loopback, as the behaviour of the HTTP library is under test.
"""

from collections import Counter
from collections.abc import Awaitable, Callable

import trio
from testtools import TestCase

from hemlocktrestle.adapters import HttpUpstreamClient
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamCall
from tests.standins.http import Connection, GoneError, Request

LIMIT_S = 30.0
PARALLEL_COUNT = 20


class Upstream:
    """A server that counts requests, and closes connections as a test says.

    ``close_after_answer`` closes the connection after each answer; ``drop_from`` is
    the number of the first request that gets no answer; its connection is closed,
    or left open if ``is_silent``.
    """

    def __init__(self) -> None:
        self.arrivals: Counter[str] = Counter()
        self.connection_count = 0
        self.close_after_answer = False
        self.drop_from = 1_000
        self.is_silent = False
        self.closed = trio.Event()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        self.connection_count += 1
        async with stream:
            connection = Connection(stream)
            try:
                while (request := await connection.next_request()) is not None:
                    if not await self._answer(connection, request):
                        break
                    connection.machine.start_next_cycle()
            except (GoneError, trio.BrokenResourceError):
                return
        self.closed.set()

    async def _answer(self, connection: Connection, request: Request) -> bool:
        self.arrivals[request.headers["x-request-id"]] += 1
        if self.arrivals.total() >= self.drop_from:
            if self.is_silent:
                await connection.wait_closed()
            return False
        await connection.send_json({})
        return not self.close_after_answer


class ClientUnderTest:
    """A client and the address that it calls."""

    def __init__(self, client: HttpUpstreamClient, address: str) -> None:
        self.client = client
        self.address = address

    def call(self, name: str, *, is_fresh: bool = False) -> UpstreamCall:
        """Return a call with a request id."""
        return UpstreamCall(
            address=self.address,
            method="POST",
            target="/w",
            headers=(
                (b"host", b"l"),
                (b"content-length", b"2"),
                (b"x-request-id", name.encode()),
            ),
            body=b"{}",
            is_fresh_connection=is_fresh,
            inactivity_timeout_ms=300,
        )

    async def send(self, call: UpstreamCall) -> ErrorKind | None:
        """Make a call and read its answer; return the kind of a failure."""
        try:
            async with self.client.call(call) as answer:
                async for _ in answer.body:
                    pass
        except RequestError as error:
            return error.kind
        return None


def with_upstream(
    upstream: Upstream, scenario: Callable[[ClientUnderTest], Awaitable[None]]
) -> None:
    """Run a scenario against a listening upstream."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery, HttpUpstreamClient() as client:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                host, port = listeners[0].socket.getsockname()[:2]
                nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
                await scenario(ClientUnderTest(client, f"{host}:{port}"))
                nursery.cancel_scope.cancel()

    trio.run(main)


class StaleConnectionTests(TestCase):
    """No request is sent twice, whatever happens to its connection."""

    def test_a_connection_closed_while_idle_is_replaced(self) -> None:
        """The library notices the close before it sends, and connects anew."""
        upstream = Upstream()
        upstream.close_after_answer = True

        async def scenario(client: ClientUnderTest) -> None:
            self.assertIsNone(await client.send(client.call("one")))
            await upstream.closed.wait()
            self.assertIsNone(await client.send(client.call("two")))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))
        self.assertEqual(2, upstream.connection_count)

    def test_a_connection_that_ends_under_a_request_fails_it(self) -> None:
        """A request fails if its pooled connection is closed after it was sent."""
        upstream = Upstream()
        upstream.drop_from = 2

        async def scenario(client: ClientUnderTest) -> None:
            self.assertIsNone(await client.send(client.call("one")))
            call = client.call("two")
            kind = await client.send(call)
            self.assertIs(ErrorKind.UPSTREAM_BROKEN, kind)
            self.assertTrue(call.may_have_sent)

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))
        self.assertEqual(1, upstream.connection_count)

    def test_a_pooled_connection_that_goes_silent_fails_the_request(self) -> None:
        """The inactivity timeout ends the call; it is not sent on a new connection."""
        upstream = Upstream()
        upstream.drop_from = 2
        upstream.is_silent = True

        async def scenario(client: ClientUnderTest) -> None:
            self.assertIsNone(await client.send(client.call("one")))
            kind = await client.send(client.call("two"))
            self.assertIs(ErrorKind.UPSTREAM_SILENT, kind)

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))

    def test_many_calls_at_once_over_a_warm_pool_arrive_once_each(self) -> None:
        """Calls whose pooled connection is in use are sent once, on another one."""
        upstream = Upstream()

        async def scenario(client: ClientUnderTest) -> None:
            for _ in range(3):
                async with trio.open_nursery() as nursery:
                    for index in range(PARALLEL_COUNT):
                        name = f"{len(upstream.arrivals)}-{index}"
                        nursery.start_soon(client.send, client.call(name))

        with_upstream(upstream, scenario)
        self.assertEqual({1}, set(upstream.arrivals.values()))
        self.assertEqual(3 * PARALLEL_COUNT, len(upstream.arrivals))

    def test_a_call_that_must_not_be_repeated_gets_a_fresh_connection(self) -> None:
        """A fresh connection is opened though a pooled one is idle."""
        upstream = Upstream()

        async def scenario(client: ClientUnderTest) -> None:
            self.assertIsNone(await client.send(client.call("one")))
            self.assertIsNone(await client.send(client.call("two", is_fresh=True)))

        with_upstream(upstream, scenario)
        self.assertEqual(2, upstream.connection_count)


class SendingTests(TestCase):
    """A request is dispatched at one place in the code, and only once."""

    def test_a_call_that_fails_its_check_sends_no_byte(self) -> None:
        """The check runs after the connect and before the first byte is sent."""
        upstream = Upstream()

        def refuse() -> None:
            raise RequestError(ErrorKind.PERMIT_STALE, "lapsed")

        async def scenario(client: ClientUnderTest) -> None:
            self.assertIsNone(await client.send(client.call("one")))
            for is_fresh in (False, True):
                call = client.call("two", is_fresh=is_fresh)
                call.check_send = refuse
                self.assertIs(ErrorKind.PERMIT_STALE, await client.send(call))
                self.assertFalse(call.may_have_sent)
            self.assertIsNone(await client.send(client.call("three")))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "three": 1}, dict(upstream.arrivals))

    def test_a_call_cannot_be_sent_a_second_time(self) -> None:
        """A second dispatch of the same call is refused before a byte is sent."""
        upstream = Upstream()

        async def scenario(client: ClientUnderTest) -> None:
            call = client.call("one")
            self.assertIsNone(await client.send(call))
            self.assertIs(ErrorKind.UPSTREAM_BROKEN, await client.send(call))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1}, dict(upstream.arrivals))

    def test_an_unreachable_upstream_gets_no_byte(self) -> None:
        """A refused connection is reported as unreachable, with no byte sent."""

        async def scenario(client: ClientUnderTest) -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            client.address = f"127.0.0.1:{port}"
            call = client.call("one")
            kind = await client.send(call)
            self.assertIs(ErrorKind.UPSTREAM_UNREACHABLE, kind)
            self.assertFalse(call.may_have_sent)

        with_upstream(Upstream(), scenario)
