"""What the HTTP client does with a pooled connection that has gone stale.

Real sockets on loopback: the library, not a fake, decides here.
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
    """A server that counts arrivals, and ends connections as a test says.

    ``close_after_answer`` closes once an answer is sent; ``drop_from`` is the
    number of the arrival from which requests get no answer; ``is_silent`` then
    leaves the connection open, otherwise it is closed.
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


class Dialler:
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
        """Make a call and read its answer; return how it failed."""
        try:
            async with self.client.call(call) as answer:
                async for _ in answer.body:
                    pass
        except RequestError as error:
            return error.kind
        return None


def with_upstream(
    upstream: Upstream, scenario: Callable[[Dialler], Awaitable[None]]
) -> None:
    """Run a scenario against a listening upstream."""

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            async with trio.open_nursery() as nursery, HttpUpstreamClient() as client:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                host, port = listeners[0].socket.getsockname()[:2]
                nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
                await scenario(Dialler(client, f"{host}:{port}"))
                nursery.cancel_scope.cancel()

    trio.run(main)


class StaleConnectionTests(TestCase):
    """Nothing is sent twice, whatever became of the connection."""

    def test_a_connection_closed_while_idle_is_replaced(self) -> None:
        """The library sees the end before it sends, and dials a new connection."""
        upstream = Upstream()
        upstream.close_after_answer = True

        async def scenario(dialler: Dialler) -> None:
            self.assertIsNone(await dialler.send(dialler.call("one")))
            await upstream.closed.wait()
            self.assertIsNone(await dialler.send(dialler.call("two")))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))
        self.assertEqual(2, upstream.connection_count)

    def test_a_connection_that_ends_under_a_request_fails_it(self) -> None:
        """The upstream took the request on a pooled connection and closed it."""
        upstream = Upstream()
        upstream.drop_from = 2

        async def scenario(dialler: Dialler) -> None:
            self.assertIsNone(await dialler.send(dialler.call("one")))
            call = dialler.call("two")
            kind = await dialler.send(call)
            self.assertIs(ErrorKind.UPSTREAM_BROKEN, kind)
            self.assertTrue(call.may_have_sent)

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))
        self.assertEqual(1, upstream.connection_count)

    def test_a_pooled_connection_that_goes_silent_fails_the_request(self) -> None:
        """The limit on silence ends the call; it is not sent on a new one."""
        upstream = Upstream()
        upstream.drop_from = 2
        upstream.is_silent = True

        async def scenario(dialler: Dialler) -> None:
            self.assertIsNone(await dialler.send(dialler.call("one")))
            kind = await dialler.send(dialler.call("two"))
            self.assertIs(ErrorKind.UPSTREAM_SILENT, kind)

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "two": 1}, dict(upstream.arrivals))

    def test_many_calls_at_once_over_a_warm_pool_arrive_once_each(self) -> None:
        """Calls that find their connection taken are sent once, on another one."""
        upstream = Upstream()

        async def scenario(dialler: Dialler) -> None:
            for _ in range(3):
                async with trio.open_nursery() as nursery:
                    for index in range(PARALLEL_COUNT):
                        name = f"{len(upstream.arrivals)}-{index}"
                        nursery.start_soon(dialler.send, dialler.call(name))

        with_upstream(upstream, scenario)
        self.assertEqual({1}, set(upstream.arrivals.values()))
        self.assertEqual(3 * PARALLEL_COUNT, len(upstream.arrivals))

    def test_a_call_that_must_not_be_repeated_gets_a_fresh_connection(self) -> None:
        """It does not go over the connection that an earlier call left open."""
        upstream = Upstream()

        async def scenario(dialler: Dialler) -> None:
            self.assertIsNone(await dialler.send(dialler.call("one")))
            self.assertIsNone(await dialler.send(dialler.call("two", is_fresh=True)))

        with_upstream(upstream, scenario)
        self.assertEqual(2, upstream.connection_count)


class SendingTests(TestCase):
    """A request turns into a dispatch at one place, and only once."""

    def test_a_call_that_must_not_leave_sends_no_byte(self) -> None:
        """The check comes after the connection and before the first byte."""
        upstream = Upstream()

        def refuse() -> None:
            raise RequestError(ErrorKind.PERMIT_STALE, "lapsed")

        async def scenario(dialler: Dialler) -> None:
            self.assertIsNone(await dialler.send(dialler.call("one")))
            for is_fresh in (False, True):
                call = dialler.call("two", is_fresh=is_fresh)
                call.check_send = refuse
                self.assertIs(ErrorKind.PERMIT_STALE, await dialler.send(call))
                self.assertFalse(call.may_have_sent)
            self.assertIsNone(await dialler.send(dialler.call("three")))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1, "three": 1}, dict(upstream.arrivals))

    def test_a_call_cannot_be_sent_a_second_time(self) -> None:
        """The second dispatch of the same call is refused before a byte leaves."""
        upstream = Upstream()

        async def scenario(dialler: Dialler) -> None:
            call = dialler.call("one")
            self.assertIsNone(await dialler.send(call))
            self.assertIs(ErrorKind.UPSTREAM_BROKEN, await dialler.send(call))

        with_upstream(upstream, scenario)
        self.assertEqual({"one": 1}, dict(upstream.arrivals))

    def test_an_upstream_out_of_reach_leaves_no_byte(self) -> None:
        """A refused connection is told apart from a broken one."""

        async def scenario(dialler: Dialler) -> None:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            await listeners[0].aclose()
            dialler.address = f"127.0.0.1:{port}"
            call = dialler.call("one")
            kind = await dialler.send(call)
            self.assertIs(ErrorKind.UPSTREAM_UNREACHABLE, kind)
            self.assertFalse(call.may_have_sent)

        with_upstream(Upstream(), scenario)
