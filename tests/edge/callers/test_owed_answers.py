"""Tests of answers that are owed: how long and how often they are asked for.

They guard against requests that are held until their deadline, or given up early.
"""

from typing import Any

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts import _attempt
from hemlocktrestle.edge.attempts._attempt_sequence import (
    CONNECTS_MAX,
    OWED_FACTOR,
    SENDS_MAX,
)
from hemlocktrestle.edge.placing._placement import AttemptEnd
from tests.edge.attempts.test_silent_replica import (
    EVENT_LINES,
    JOBS,
    REFUSES,
    SilentReplicaCase,
    paused_stream,
)
from tests.edge.callers.test_server import STREAM, WHOLE, event, stream_of
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    answer_ok,
    answer_status,
    never_answer,
)
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request


class OwedAnswerTests(SilentReplicaCase):
    """How long and how often an answer is asked for once no attempt is left."""

    found = configuration(JOBS._replace(attempts=3))

    async def test_a_replicas_error_is_sent_at_once(self) -> None:
        """Guards against 504 in place of a replica's own answer."""
        harness = self.harness(never_answer)

        async def fail(connection: Connection, request: Request) -> None:
            self.spend_retries(harness)
            await answer_status(500)(connection, request)

        harness.scripts["r2"] = fail
        reply = await harness.send()
        self.assertEqual((500, b"no"), (reply.status, reply.body))
        self.assertLess(reply.first_ms, 500)

    async def test_a_request_that_is_refused_again_is_given_up(self) -> None:
        """Guards against a request that is held until its deadline."""
        harness = self.harness(never_answer)

        async def refuse(connection: Connection, request: Request) -> None:
            self.spend_retries(harness)
            await REFUSES(connection, request)

        harness.scripts["r2"] = refuse
        reply = await harness.send()
        self.assertEqual(502, reply.status)
        self.assertLess(reply.first_ms, 2_000)

    async def test_the_objective_does_not_bound_the_wait(self) -> None:
        """Guards against callers that are given up sooner on one route than another.

        The retries are spent for 50 ms, within which answers usually come.
        """
        for objective_ms in (1.0, 60_000.0):
            self.found = configuration(
                JOBS._replace(attempts=3, objective_ms=objective_ms)
            )
            harness = self.harness(never_answer)

            async def refuse(
                connection: Connection, request: Request, found: Any = harness
            ) -> None:
                self.spend_retries(found)
                found.scripts["r2"] = answer_ok
                await REFUSES(connection, request)

            harness.scripts["r2"] = refuse
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._free_retries, harness)
                reply = await harness.send()
            self.assertEqual(200, reply.status)

    async def _free_retries(self, harness: EdgeHarness) -> None:
        budget = harness.state.retry_budget(self.service)
        while budget.remaining(1, now_ms()) >= 1:
            await trio.sleep(0.01)
        await trio.sleep(0.05)
        for _ in range(100):
            budget.record_request(now_ms())


class OwedStreamTests(SilentReplicaCase):
    """A stream that broke is resumed within bounds."""

    service = "assistant"
    found = configuration(STREAM)

    async def break_once(self, connection: Connection, request: Request) -> None:
        """Break off after one event, and stream the rest when asked again."""
        if "last-event-id" in request.headers:
            await stream_of(range(1, 9))(connection, request)
            return
        await connection.send_head(200, EVENT_LINES)
        await connection.send_chunk(event(1))
        await connection.stream.aclose()

    async def send(self, harness: EdgeHarness) -> Reply:
        """Send the request."""
        return await harness.send("/advice/1", method="POST", body=b"q")

    async def test_a_lone_replica_may_resume_its_own_stream(self) -> None:
        """Guards against a stream that is held, since its replica stays excluded."""
        harness = self.lone_harness(self.break_once)
        reply = await self.send(harness)
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
        self.assertEqual(["r1", "r1"], harness.reached_replicas())

    async def test_refusals_bound_the_sends(self) -> None:
        """Guards against one request that spends all retries of its VM."""
        harness = self.harness(self.break_once, REFUSES)
        harness.scripts["r1"] = self.break_then_refuse
        started_ms = now_ms()
        reply = await self.send(harness)
        self.assertEqual((200, False), (reply.status, reply.is_whole))
        self.assertTrue(len(harness.requests) <= SENDS_MAX * OWED_FACTOR)
        self.assertLess(now_ms() - started_ms, 6_000)

    async def test_a_stream_waits_until_its_caller_leaves(self) -> None:
        """Guards against a cut while the caller still waits for the next event.

        The retries are spent for 3 s, and its caller leaves after 5 s.
        """
        self.found = configuration(STREAM._replace(patience_ms=5_000.0))
        harness = self.harness(self.break_once, self.break_once)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._free_retries_after, harness, 3.0)
            reply = await self.send(harness)
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))

    async def _free_retries_after(self, harness: EdgeHarness, delay_s: float) -> None:
        self.spend_retries(harness)
        await trio.sleep(delay_s)
        budget = harness.state.retry_budget(self.service)
        for _ in range(200):
            budget.record_request(now_ms())

    async def break_then_refuse(self, connection: Connection, request: Request) -> None:
        """Break off after one event, and refuse to resume."""
        if "last-event-id" in request.headers:
            await REFUSES(connection, request)
        else:
            await self.break_once(connection, request)

    async def test_unreachable_replicas_bound_the_connects(self) -> None:
        """Guards against hundreds of connects for one request."""
        names = [f"r{number}" for number in range(1, 6)]
        records = tuple(replica(name, service=self.service) for name in names)
        scripts = {"r1": self.break_then_refuse}
        harness = EdgeHarness(self, scripts, found=self.found, records=records)
        reply = await self.send(harness)
        self.assertFalse(reply.is_whole)
        connect_count = harness.served[0].progress.connect_count
        self.assertTrue(connect_count <= CONNECTS_MAX * OWED_FACTOR, connect_count)

    async def test_a_stream_that_goes_on_ends_the_search(self) -> None:
        """Guards against a search that goes on beside a stream that speaks again."""
        harness = self.harness(paused_stream(1.5))
        harness.scripts["r2"] = never_answer
        module: Any = _attempt
        open_at_once = module.open_connection

        async def open_slowly(address: str) -> Any:
            if address == "r2":
                await trio.sleep(1.4)
            return await open_at_once(address)

        self.patch(_attempt, "open_connection", open_slowly)
        reply = await self.send(harness)
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
        self.assertEqual(["r1"], harness.reached_replicas())
        self.assertEqual(("r2", AttemptEnd.UNUSED), harness.released[0])
