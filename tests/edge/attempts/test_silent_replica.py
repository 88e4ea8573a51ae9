"""Tests of replicas that fall silent for a while and then go on.

They guard against answers that this VM cuts because a replica paused, although no
other replica could take over: the caller then got neither an answer nor a refusal.
"""

from typing import Any

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts import _attempt
from hemlocktrestle.edge.placing._placement import UNSENT_ENDS, AttemptEnd
from hemlocktrestle.gateway import RetryBudget
from hemlocktrestle.latency._estimate import KNOWN_COUNT_MIN
from tests.edge.callers.test_server import STREAM, WHOLE, event, stream_of
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    Script,
    answer_after,
    answer_ok,
    answer_status,
    never_answer,
)
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

EVENT_LINES = {
    "x-attempt-id": "a1",
    "x-response-seal": "s",
    "content-type": "text/event-stream",
}

JOBS = next(route for route in configuration().routes if route.name == "jobs")

USUAL_MS = 100.0
"""What answers of the route, and the pauses between their parts, usually take."""

REFUSES = answer_status(503, is_unrun=True)
"""A replica that is full."""


def paused_stream(pause_s: float) -> Script:
    """Return a script that streams three events, pauses, and streams the rest."""

    async def script(connection: Connection, request: Request) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await connection.send_head(200, EVENT_LINES)
        for number in range(first, 9):
            if number == 4:
                await trio.sleep(pause_s)
            await connection.send_chunk(event(number))
            await trio.sleep(0.02)
        await connection.finish()

    return script


class SilentReplicaCase(TrioTestCase):
    """Sends requests whose first replica pauses; the second one is the obstacle.

    Answers of the route usually take 100 ms, and so do the pauses of a stream.
    """

    service = "ledger"
    found = configuration()

    def harness(self, first: Script, second: Script | None = None) -> EdgeHarness:
        """Return a harness; replicas without a script refuse connections."""
        scripts = {"r1": first} | ({"r2": second} if second is not None else {})
        records = tuple(replica(name, service=self.service) for name in ("r1", "r2"))
        return self.measured(
            EdgeHarness(self, scripts, found=self.found, records=records)
        )

    def lone_harness(self, first: Script) -> EdgeHarness:
        """Return a harness with one replica."""
        records = (replica("r1", service=self.service),)
        return self.measured(
            EdgeHarness(self, {"r1": first}, found=self.found, records=records)
        )

    def measured(self, harness: EdgeHarness) -> EdgeHarness:
        """Let a harness measure ordinary answers; return it."""
        times = harness.state.answer_times
        for _ in range(KNOWN_COUNT_MIN):
            times.learn_first(STREAM.name, USUAL_MS)
            times.learn_gap(STREAM.name, USUAL_MS)
        return harness

    def unspent_retries(self, harness: EdgeHarness) -> float:
        """Return the retries of a new budget that has seen one request."""
        bounds = harness.state.settings.bounds
        budget = RetryBudget(
            ratio=bounds.retry_ratio,
            slack=bounds.retry_slack,
            window_ms=bounds.retry_window_ms,
        )
        budget.record_request(now_ms())
        return budget.remaining(1, now_ms())

    def spend_retries(self, harness: EdgeHarness) -> None:
        """Spend the budget for retries."""
        budget = harness.state.retry_budget(self.service)
        while budget.try_spend(1, now_ms()):
            pass


class PausedStreamTests(SilentReplicaCase):
    """A stream whose replica pauses for 1.5 s reaches its caller whole."""

    service = "assistant"
    found = configuration(STREAM)

    async def send(self, harness: EdgeHarness) -> Reply:
        """Send the request and check that its whole answer came."""
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((200, WHOLE, True), (reply.status, reply.body, reply.is_whole))
        return reply

    async def test_a_stream_goes_on_where_no_other_replica_exists(self) -> None:
        """Guards against a cut when there is no replica to resume at."""
        harness = self.lone_harness(paused_stream(1.5))
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_stream_is_not_lost_where_the_other_replica_refuses(self) -> None:
        """Guards against a cut when the replica that would resume is full."""
        await self.send(self.harness(paused_stream(1.5), REFUSES))

    async def test_a_stream_goes_on_where_the_other_replica_is_unreachable(
        self,
    ) -> None:
        """Guards against a cut when the replica that would resume is gone."""
        harness = self.harness(paused_stream(1.5))
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_stream_goes_on_where_the_retries_are_spent(self) -> None:
        """Guards against a cut when the budget does not allow to resume."""
        harness = self.harness(paused_stream(1.5), stream_of(range(1, 9)))
        self.spend_retries(harness)
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_stream_is_resumed_where_another_replica_is_free(self) -> None:
        """A stream does not wait for its silent replica if it can go on elsewhere."""
        harness = self.harness(stream_of(range(1, 4), end="silent"))
        harness.scripts["r2"] = stream_of(range(1, 9))
        await self.send(harness)
        self.assertEqual(["r1", "r2"], harness.reached_replicas())


class PausedAnswerTests(SilentReplicaCase):
    """A request whose replica is silent for 0.5 s and then answers is answered."""

    async def send(self, harness: EdgeHarness) -> None:
        """Send the request and check that its answer came."""
        reply = await harness.send()
        self.assertEqual(
            (200, b"done", True), (reply.status, reply.body, reply.is_whole)
        )

    async def test_an_answer_comes_where_no_other_replica_exists(self) -> None:
        """Guards against 504 when there is no replica to repeat the request at."""
        harness = self.lone_harness(answer_after(500))
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_an_answer_comes_where_the_other_replica_refuses(self) -> None:
        """Guards against 502 when the replica of the repetition is full."""
        await self.send(self.harness(answer_after(500), REFUSES))

    async def test_an_answer_comes_where_the_other_replica_is_unreachable(
        self,
    ) -> None:
        """Guards against 502 when the replica of the repetition is gone."""
        harness = self.harness(answer_after(500))
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_an_answer_comes_where_the_retries_are_spent(self) -> None:
        """Guards against 504 when the budget allows no repetition."""
        harness = self.harness(answer_after(500), answer_ok)
        self.spend_retries(harness)
        await self.send(harness)
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_silent_replica_is_left_for_one_that_answers(self) -> None:
        """A request does not wait for its silent replica if another one is free."""
        harness = self.harness(never_answer, answer_ok)
        await self.send(harness)
        self.assertEqual(["r1", "r2"], harness.reached_replicas())


class MeasuredSilenceTests(SilentReplicaCase):
    """What counts as silence follows from measured answers, not from the route."""

    async def test_the_objective_does_not_start_a_search(self) -> None:
        """Guards against work that is done twice where the objective is short.

        Answers of the route usually take 500 ms; the objective is 200 ms.
        """
        self.found = configuration(JOBS._replace(objective_ms=200.0))
        harness = self.harness(answer_after(500), answer_ok)
        for _ in range(100):
            harness.state.answer_times.learn_first(JOBS.name, 500.0)
        reply = await harness.send()
        self.assertEqual((200, ["r1"]), (reply.status, harness.reached_replicas()))

    async def test_a_silent_replica_is_left_in_time(self) -> None:
        """Guards against a caller with 3 s that gets no answer: the objective is 10 s.

        A replica that answers in 100 ms is free.
        """
        self.found = configuration(JOBS._replace(objective_ms=10_000.0))
        harness = self.harness(never_answer, answer_after(100))
        reply = await harness.send(X_Deadline_Ms="3000")
        self.assertEqual(
            (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
        )

    async def test_answers_are_measured(self) -> None:
        """Guards against silence that is never told, as nothing is learned."""
        records = (replica("r1", service=self.service),)
        harness = EdgeHarness(
            self, {"r1": answer_after(300)}, found=self.found, records=records
        )
        for _ in range(KNOWN_COUNT_MIN):
            await harness.send()
        usual_ms = harness.state.answer_times.usual_first_ms(JOBS.name, 60_000)
        self.assertTrue(590 < usual_ms < 910, usual_ms)


class SearchTests(SilentReplicaCase):
    """A search that is not needed leaves nothing behind."""

    async def test_a_search_ends_when_the_replica_goes_on(self) -> None:
        """Guards against permits and retries that a cancelled search keeps.

        The replica answers while the connection to its successor is being opened.
        """
        harness = self.harness(answer_after(300), answer_ok)
        module: Any = _attempt
        open_at_once = module.open_connection

        async def open_slowly(address: str) -> Any:
            if address == "r2":
                await trio.sleep(0.4)
            return await open_at_once(address)

        self.patch(_attempt, "open_connection", open_slowly)
        reply = await harness.send()
        self.assertEqual((200, ["r1"]), (reply.status, harness.reached_replicas()))
        self.assertEqual(("r2", AttemptEnd.UNUSED), harness.released[0])
        self.assertEqual(["r2", "r1"], [name for name, _ in harness.released])
        self.assertEqual(1, harness.served[0].progress.send_count)
        budget = harness.state.retry_budget(self.service)
        remaining = budget.remaining(1, now_ms())
        self.assertEqual(remaining, self.unspent_retries(harness))

    async def test_each_placement_is_released_once(self) -> None:
        """Guards against slots that stay taken, or are freed twice, by a search."""
        for second in (REFUSES, None, answer_ok):
            harness = self.harness(answer_after(500), second)
            await harness.send()
            sent = [name for name, end in harness.released if end not in UNSENT_ENDS]
            self.assertEqual(harness.reached_replicas(), sent)

    async def test_a_caller_that_leaves_ends_the_search(self) -> None:
        """Guards against a search that goes on for a caller that has left."""
        harness = self.harness(never_answer)
        await harness.send(leave_after_ms=900)
        opened = len(harness.released)
        await trio.sleep(3)
        self.assertEqual(opened, len(harness.released))
        self.assertEqual(("r1", AttemptEnd.ABANDONED), harness.released[-1])

    async def test_a_replica_of_a_cancelled_search_stays_usable(self) -> None:
        """Guards against 502 after a search excluded the only other replica.

        The silent replica breaks off while its successor is being connected.
        """

        async def break_off(connection: Connection, request: Request) -> None:
            await trio.sleep(0.3)
            await connection.stream.aclose()

        harness = self.harness(break_off, answer_ok)
        module: Any = _attempt
        open_at_once = module.open_connection

        async def open_slowly(address: str) -> Any:
            if address == "r2" and not harness.released:
                await trio.sleep(0.4)
            return await open_at_once(address)

        self.patch(_attempt, "open_connection", open_slowly)
        reply = await harness.send()
        self.assertEqual(
            (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
        )
