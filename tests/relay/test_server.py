"""Tests of callers' connections: limits, shutdown, and invalid requests."""

import h11
import trio
import trio.testing

from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay import BodyMemoryBudget, CallerConnection, CallerRequest
from hemlocktrestle.relay._answer_sender import SEND_TIMEOUT_S
from hemlocktrestle.relay._request_reader import BODY_READ_TIMEOUT_S
from hemlocktrestle.timers import STEPS_PER_CHECKPOINT
from tests.support import TrioTestCase
from tests.support._step_work import count_step_work

LIMITS = CallerLimits(
    header_bytes_max=400,
    body_bytes_max=1_000,
    header_timeout_ms=3_000,
    idle_timeout_ms=15_000,
)

GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


class CallerConnectionTests(TrioTestCase):
    """Limits on what a caller sends, and how its connection is closed."""

    def setUp(self) -> None:
        """Set up the memory budget that the connections share."""
        super().setUp()
        self.is_closing = False
        self.limits = LIMITS
        self.body_budget = BodyMemoryBudget(2_500)
        self.handled: list[CallerRequest] = []
        self.bodies: list[bytes] = []

    async def handle(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Answer with the request's body."""
        self.handled.append(request)
        self.bodies.append(request.body)
        await connection.send_answer(200, [], request.body)

    async def exchange(self, *pieces: bytes, pause_s: float = 0.0) -> bytes:
        """Send chunks and return all data until the connection is closed."""
        ours, theirs = trio.testing.memory_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=lambda: self.limits,
            is_closing=lambda: self.is_closing,
            body_budget=self.body_budget,
        )
        received = bytearray()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.serve, self.handle)
            try:
                for piece in pieces:
                    await ours.send_all(piece)
                    await trio.sleep(pause_s)
            except trio.BrokenResourceError:
                pass  # The request was refused before it was complete.
            try:
                while data := await ours.receive_some():
                    received += data
            except trio.BrokenResourceError:
                pass
        return bytes(received)

    async def test_one_connection_carries_many_requests(self) -> None:
        """Pipelined requests on one connection are all served."""
        received = await self.exchange(GET + GET + GET)
        self.assertEqual(3, received.count(b"HTTP/1.1 200"))

    async def test_bodies_come_with_a_length_or_in_chunks(self) -> None:
        """The handler gets a complete body with either transfer coding."""
        post = b"POST /x HTTP/1.1\r\nhost: a\r\n"
        await self.exchange(post + b"content-length: 3\r\n\r\na", b"bc")
        await self.exchange(
            post + b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n",
            b"2\r\nbc\r\n0\r\n\r\n",
        )
        self.assertEqual([b"abc", b"abc"], self.bodies)

    async def test_few_chunks_are_read_between_two_checkpoints(self) -> None:
        """Guards against a caller's body that holds up the other requests."""
        self.limits = LIMITS._replace(body_bytes_max=5_000)
        self.body_budget = BodyMemoryBudget(10_000)
        work = count_step_work(self, h11.Connection, "next_event")
        body = bytes(range(256)) * 10
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
        await self.exchange(head + b"connection: close\r\n\r\n" + chunks + b"0\r\n\r\n")
        self.assertEqual([body], self.bodies)
        self.assertGreater(work.total, len(body))
        # The head is read in the same step as the first chunks.
        self.assertLessEqual(work.largest, STEPS_PER_CHECKPOINT + 2)

    async def test_a_body_is_free_once_its_request_has_ended(self) -> None:
        """Guards against bodies that frames of failed requests keep in memory."""
        post = b"POST /x HTTP/1.1\r\nhost: a\r\n"
        await self.exchange(post + b"content-length: 3\r\n\r\nabc")
        self.assertEqual([b""], [request.body for request in self.handled])
        self.assertEqual(2_500, self.body_budget.available_bytes)

    async def test_exceeded_limits_are_answered(self) -> None:
        """Exceeded limits give 431, 413, 400 and 408, and no request is handled."""
        post = b"POST /x HTTP/1.1\r\nhost: a\r\n"
        cases = {
            b"431": GET[:-2] + b"x: " + b"y" * 500,
            b"413": post + b"content-length: 2000\r\n\r\n" + b"z" * 2000,
            b"400": b"what is this\r\n\r\n",
            b"408": GET[:-2],
        }
        for status, data in cases.items():
            received = await self.exchange(data)
            self.assertTrue(
                received.startswith(b"HTTP/1.1 " + status), (status, received)
            )
        self.assertEqual([], self.handled)

    async def test_an_idle_connection_is_closed_at_its_timeout(self) -> None:
        """An idle connection is closed at the idle timeout, and not before."""
        started_s = trio.current_time()
        await self.exchange(GET)
        self.assertTrue(15 <= trio.current_time() - started_s < 15.1)

    async def test_a_raised_idle_timeout_holds_for_idle_connections(self) -> None:
        """Guards against a close that a caller of the new limit does not expect."""
        started_s = trio.current_time()

        async def raise_limit() -> None:
            await trio.sleep(5)
            self.limits = LIMITS._replace(idle_timeout_ms=30_000)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(raise_limit)
            await self.exchange(GET)
        self.assertTrue(30 <= trio.current_time() - started_s < 30.1)

    async def test_a_shutdown_ends_a_connection_after_its_answer(self) -> None:
        """The answer has ``connection: close``, and the next request is not served."""
        self.is_closing = True
        received = await self.exchange(GET + GET)
        self.assertEqual(1, received.count(b"HTTP/1.1 200"))
        self.assertIn(b"connection: close", received.lower())

    async def test_an_unexpected_error_ends_only_its_own_request(self) -> None:
        """Guards against one request that ends the process with all the others."""

        async def fail(request: CallerRequest, connection: CallerConnection) -> None:
            raise ValueError(request.target)

        async def fail_late(
            request: CallerRequest, connection: CallerConnection
        ) -> None:
            connection.start_answer(200, [])
            await connection.send_chunk(b"part")
            raise ValueError(request.target)

        self.patch(self, "handle", fail)
        received = await self.exchange(GET)
        self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)
        self.patch(self, "handle", fail_late)
        received = await self.exchange(GET)
        self.assertTrue(received.endswith(b"part\r\n"), received)

    async def test_an_answer_that_is_not_valid_is_replaced(self) -> None:
        """Guards against a connection that closes on a request without an answer."""

        async def handle(request: CallerRequest, connection: CallerConnection) -> None:
            await connection.send_answer(200, [(b"odd", b"a\nb")], b"")

        self.patch(self, "handle", handle)
        received = await self.exchange(GET)
        self.assertTrue(received.startswith(b"HTTP/1.1 500"), received)

    async def test_a_request_behind_an_unannounced_close_is_answered(self) -> None:
        """Guards against closing on a request that came behind a running answer.

        The answer began before the shutdown, so the caller could not expect the close.
        """

        async def handle(request: CallerRequest, connection: CallerConnection) -> None:
            connection.start_answer(200, [(b"content-length", b"0")])
            self.is_closing = True
            await connection.finish()

        self.patch(self, "handle", handle)
        started_s = trio.current_time()
        received = await self.exchange(GET + GET)
        self.assertEqual(2, received.count(b"HTTP/1.1 200"))
        self.assertEqual(1, received.lower().count(b"connection: close"))
        received = await self.exchange(GET)
        self.assertTrue(trio.current_time() - started_s < 1.0)

    async def test_a_smuggled_request_is_not_handled(self) -> None:
        """A request with both a length and chunks does not smuggle a second one."""
        smuggled = (
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n"
        )
        await self.exchange(smuggled)
        self.assertNotIn(b"/hidden", [request.target for request in self.handled[:1]])
        self.assertTrue(len(self.handled) <= 1)

    async def test_bodies_share_one_memory_budget(self) -> None:
        """Bodies over the shared budget are refused with 503; the budget is freed."""
        post = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n"
        statuses = []

        async def slowly(request: bytes) -> None:
            received = await self.exchange(request, b"z" * 450, pause_s=1.0)
            statuses.append(received[9:12])

        async with trio.open_nursery() as nursery:
            for _ in range(6):
                nursery.start_soon(slowly, post + b"z" * 450)
        self.assertEqual([b"200", b"503"], sorted(set(statuses)))
        self.assertTrue(2 <= statuses.count(b"200") <= 5, statuses)
        self.assertEqual(statuses.count(b"200"), len(self.handled))
        self.assertEqual(2_500, self.body_budget.available_bytes)
        self.assertIn(b"200", await self.exchange(post + b"z" * 900))

    async def test_a_body_that_stalls_is_refused(self) -> None:
        """A body that stops arriving gets 408 in bounded time; its memory is freed."""
        post = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n"
        started_s = trio.current_time()
        received = await self.exchange(post + b"z" * 450)
        self.assertTrue(received.startswith(b"HTTP/1.1 408"), received)
        self.assertTrue(trio.current_time() - started_s <= BODY_READ_TIMEOUT_S + 0.1)
        self.assertEqual(2_500, self.body_budget.available_bytes)

    async def test_a_caller_that_does_not_read_is_disconnected(self) -> None:
        """A send to a caller that does not read fails after the send timeout."""
        _, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=lambda: LIMITS,
            is_closing=lambda: False,
            body_budget=self.body_budget,
        )
        with self.assertRaises(trio.BrokenResourceError):
            await connection.send_answer(200, [], b"x")
        self.assertEqual(SEND_TIMEOUT_S, round(trio.current_time(), 1))

    async def test_a_handler_ends_if_its_caller_does_not_read(self) -> None:
        """Guards against requests that hold their slot for a caller that is stuck."""
        ended_s: list[float] = []

        async def stream_for_ever(
            request: CallerRequest, connection: CallerConnection
        ) -> None:
            try:
                connection.start_answer(200, [])
                while True:
                    await connection.send_chunk(b"x")
            finally:
                ended_s.append(round(trio.current_time(), 1))

        ours, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=CallerLimits,
            is_closing=lambda: False,
            body_budget=self.body_budget,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.serve, stream_for_ever)
            await ours.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.sleep(2 * SEND_TIMEOUT_S)
            nursery.cancel_scope.cancel()
        self.assertEqual([SEND_TIMEOUT_S], ended_s)
