"""Tests of callers that send requests ahead of their answers."""

import trio
import trio.testing

from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay import (
    AHEAD_BYTES_MAX,
    BodyMemoryBudget,
    CallerConnection,
    CallerRequest,
    CutReason,
)
from tests.support import TrioTestCase

GET = b"GET /" + b"x" * 600 + b" HTTP/1.1\r\nhost: a\r\n\r\n"

INPUT_BYTES = 100_000
"""Memory for what all connections send ahead, in bytes."""


class SentAheadTests(TrioTestCase):
    """What is sent ahead is bounded for a connection and for all together."""

    def setUp(self) -> None:
        """Set up the memory that the connections share."""
        super().setUp()
        self.input_budget = BodyMemoryBudget(INPUT_BYTES)
        self.reasons: list[CutReason] = []

    async def never_answer(
        self, request: CallerRequest, connection: CallerConnection
    ) -> None:
        """Hold a request for ever."""
        await trio.sleep_forever()

    async def send(self, nursery: trio.Nursery, data: bytes) -> trio.abc.Stream:
        """Send bytes on a new connection whose requests get no answer."""
        ours, theirs = trio.testing.memory_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=CallerLimits,
            is_closing=lambda: False,
            body_budget=BodyMemoryBudget(1_000),
            input_budget=self.input_budget,
            on_cut=self.reasons.append,
        )
        nursery.start_soon(connection.serve, self.never_answer)
        await ours.send_all(data)
        await trio.sleep(1)
        return ours

    async def test_a_connection_that_sends_too_much_ahead_is_cut(self) -> None:
        """Its memory is free again, and what it may hold is kept until then."""
        count = AHEAD_BYTES_MAX // len(GET)
        async with trio.open_nursery() as nursery:
            ours = await self.send(nursery, GET * count)
            self.assertEqual([], self.reasons)
            await ours.send_all(GET * 2)
            await trio.sleep(1)
            self.assertEqual([CutReason.SENT_AHEAD], self.reasons)
            self.assertEqual(INPUT_BYTES, self.input_budget.available_bytes)
            nursery.cancel_scope.cancel()

    async def test_all_connections_share_the_memory(self) -> None:
        """One that finds none left is cut; a single request needs none."""
        ahead = GET * (AHEAD_BYTES_MAX // len(GET))
        async with trio.open_nursery() as nursery:
            await self.send(nursery, ahead)
            await self.send(nursery, ahead)
            self.assertEqual([CutReason.INPUT_MEMORY], self.reasons)
            await self.send(nursery, GET)
            self.assertEqual([CutReason.INPUT_MEMORY], self.reasons)
            nursery.cancel_scope.cancel()

    async def test_a_head_that_finds_no_memory_is_refused(self) -> None:
        """Half a head gets 503, which states that nothing ran."""
        self.input_budget.reserve(INPUT_BYTES)
        async with trio.open_nursery() as nursery:
            ours = await self.send(nursery, GET[:100])
            answer = bytes(await ours.receive_some())
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
            nursery.cancel_scope.cancel()

    async def test_a_caller_that_does_not_read_is_counted(self) -> None:
        """The reason of the close is told."""

        async def answer(request: CallerRequest, connection: CallerConnection) -> None:
            await connection.send_answer(200, [], b"x")

        ours, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=CallerLimits,
            is_closing=lambda: False,
            body_budget=BodyMemoryBudget(1_000),
            on_cut=self.reasons.append,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.serve, answer)
            await ours.send_all(GET)
            await trio.sleep(30)
            nursery.cancel_scope.cancel()
        self.assertEqual([CutReason.UNREAD], self.reasons)


class SlowReaderTests(TrioTestCase):
    """Who reads slowly is not taken for one who reads nothing."""

    async def test_a_caller_that_reads_slowly_is_not_stuck(self) -> None:
        """Guards against a slow link that loses its answers while memory is short."""
        block = b"x" * 65_000

        async def answer(request: CallerRequest, connection: CallerConnection) -> None:
            await connection.send_blocks(200, [], [block])

        ours, theirs = trio.testing.lockstep_stream_pair()
        connection = CallerConnection(
            theirs,
            limits=CallerLimits,
            is_closing=lambda: False,
            body_budget=BodyMemoryBudget(1_000),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.serve, answer)
            await ours.send_all(GET)
            received = 0
            while received < len(block):
                await trio.sleep(0.6)
                stuck_s = trio.current_time() - connection.stuck_since_s
                self.assertTrue(stuck_s < 1.0, f"{stuck_s} s after {received} bytes")
                received += len(await ours.receive_some(20_000))
            nursery.cancel_scope.cancel()
