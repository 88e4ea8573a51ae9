"""Tests of replicas that ask this VM for a pause when they refuse a request."""

import trio

from hemlocktrestle.edge.placing._placement import AttemptEnd
from hemlocktrestle.gateway import RequestKind
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    Script,
    answer_after,
    answer_ok,
    close_without_answer,
)
from tests.edge.replicas.test_replica_notices import answer, listed
from tests.gateway.records import configuration, replica_update, route
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase


def refuse(retry_after: str, status: int = 503) -> Script:
    """Return a script that refuses a request and asks for a pause in seconds."""
    return answer(status, is_unrun=True, lines={"retry-after": retry_after})


class PauseTests(TrioTestCase):
    """A replica that asks for a pause gets no request from this VM until its end.

    Guards against requests that load a replica which has said that it is
    overloaded, because the scheduler that chooses it does not know.
    """

    def harness(self, script: Script, other: Script = answer_ok) -> EdgeHarness:
        """Return a harness whose scheduler goes on choosing the replica r1."""
        return EdgeHarness(
            self,
            {"r1": script, "r2": other},
            records=listed("r1", "r2"),
            preferred="r1",
        )

    async def reached_after(self, harness: EdgeHarness, pause_s: float) -> str:
        """Wait, send one request, and return the replica that it reached first."""
        await trio.sleep(pause_s)
        harness.requests.clear()
        await harness.send()
        return harness.reached_replicas()[0]

    async def test_nothing_is_sent_until_the_end(self) -> None:
        """Whole seconds and fractions count, and also a sealed 503."""
        for script, last_s in (
            (refuse("2"), 1.9),
            (refuse("0.75"), 0.7),
            (answer(503, lines={"retry-after": "2"}), 1.9),
        ):
            harness = self.harness(script)
            await harness.send()
            harness.scripts["r1"] = answer_ok
            self.assertEqual("r2", await self.reached_after(harness, last_s / 2))
            self.assertEqual("r2", await self.reached_after(harness, last_s / 2 - 0.1))
            self.assertEqual("r1", await self.reached_after(harness, 0.3))

    async def test_another_status_or_no_time_asks_for_nothing(self) -> None:
        """Only 503 with a time does; what is no time is none."""
        for script in (
            refuse("2", status=429),
            answer(503, is_unrun=True, lines={}),
            *map(refuse, ("-3", "soon", "nan", "inf", "")),
        ):
            harness = self.harness(script)
            await harness.send()
            self.assertEqual("r1", await self.reached_after(harness, 0.6))

    async def test_a_shorter_pause_does_not_end_a_longer_one(self) -> None:
        """Of answers that come beside each other, the latest end counts."""
        answers = iter((answer_after(50, refuse("3")), answer_after(99, refuse("0.2"))))

        async def in_turn(connection: Connection, request: Request) -> None:
            await next(answers, answer_ok)(connection, request)

        harness = self.harness(in_turn)
        await harness.send_together(2)
        self.assertEqual(2, harness.reached_replicas().count("r1"))
        self.assertEqual("r2", await self.reached_after(harness, 2))

    async def test_another_incarnation_takes_work(self) -> None:
        """The pause is that of one start of the replica."""
        harness = self.harness(refuse("30"))
        await harness.send()
        harness.scripts["r1"] = answer_ok
        harness.state.replicas.apply_update(replica_update("r1", 9, born_ms=8))
        self.assertEqual("r1", await self.reached_after(harness, 0.6))

    async def test_a_request_that_goes_elsewhere_counts_nothing(self) -> None:
        """It is released as unsent, and neither attempts nor the budget are spent."""
        harness = self.harness(refuse("60"))
        once = configuration(route(kind=RequestKind.NON_IDEMPOTENT, attempts=1))
        harness.state.configuration = once
        await harness.send()
        before = harness.state.retries_remaining()["ledger"]
        for _ in range(20):
            self.assertEqual(200, (await harness.send(method="POST")).status)
        self.assertTrue(harness.state.retries_remaining()["ledger"] >= before)
        self.assertEqual(1, harness.served[-1].progress.send_count)
        self.assertIn(("r1", AttemptEnd.HELD_BACK), harness.released)
        self.assertEqual(1, harness.reached_replicas().count("r1"))

    async def test_if_all_pause_the_refusal_states_the_earliest_end(self) -> None:
        """It says that the request did not run, and nothing is sent."""
        harness = self.harness(refuse("30"), refuse("4"))
        first: Reply = await harness.send()
        await trio.sleep(1)
        harness.requests.clear()
        reply = await harness.send()
        self.assertEqual((503, 503, []), (first.status, reply.status, harness.requests))
        self.assertIn(b"not-run", reply.body)
        self.assertTrue(3_900 < first.retry_after_ms <= 4_000, first.retry_after_ms)
        self.assertTrue(2_800 < reply.retry_after_ms < 3_100, reply.retry_after_ms)

    async def test_a_pause_does_not_hide_a_replica_that_takes_work(self) -> None:
        """A refusal for another reason keeps its own time to come back."""
        harness = self.harness(refuse("30"), answer(421, is_unrun=True, lines={}))
        reply = await harness.send()
        self.assertEqual((503, 2_000), (reply.status, reply.retry_after_ms))


class ReturnTests(TrioTestCase):
    """After a pause the work returns by degrees, not all at once."""

    def harness(self) -> EdgeHarness:
        """Return a harness whose scheduler goes on choosing the replica r1."""
        return EdgeHarness(
            self,
            {"r1": refuse("1"), "r2": answer_after(150)},
            records=listed("r1", "r2"),
            preferred="r1",
        )

    async def burst(self, harness: EdgeHarness, count: int) -> int:
        """Send requests at once; return how many reached the replica r1."""
        harness.requests.clear()
        await harness.send_together(count)
        return harness.reached_replicas().count("r1")

    async def test_the_number_grows_with_success(self) -> None:
        """One request is sent first; each that succeeds allows twice as many."""
        harness = self.harness()
        await harness.send()
        harness.scripts["r1"] = answer_after(100)
        await trio.sleep(1)
        found = [await self.burst(harness, 12) for _ in range(4)]
        self.assertEqual([1, 2, 8], found[:3])
        self.assertEqual(12, found[3])

    async def test_what_does_not_succeed_allows_no_more(self) -> None:
        """A replica that breaks off its first answer gets one again."""
        harness = self.harness()
        await harness.send()
        harness.scripts["r1"] = close_without_answer
        await trio.sleep(1)
        found = [await self.burst(harness, 6) for _ in range(2)]
        self.assertEqual([1, 1], found)

    async def test_another_pause_begins_anew(self) -> None:
        """A replica that asks again as work returns gets nothing once more."""
        harness = self.harness()
        await harness.send()
        await trio.sleep(1)
        found = [await self.burst(harness, 6) for _ in range(2)]
        self.assertEqual([1, 0], found)

    async def test_time_alone_ends_it(self) -> None:
        """Guards against a replica that stays limited since nothing is sent there."""
        harness = self.harness()
        await harness.send()
        harness.scripts["r1"] = answer_ok
        await trio.sleep(7)
        self.assertEqual(6, await self.burst(harness, 6))

    async def test_it_delays_no_request_that_has_no_other_replica(self) -> None:
        """A single replica, or the last one of a retry, takes all once it may."""
        harness = EdgeHarness(self, {"r1": refuse("1")}, records=listed("r1"))
        await harness.send()
        harness.scripts["r1"] = answer_after(100)
        await trio.sleep(1)
        self.assertEqual(6, await self.burst(harness, 6))
        harness = self.harness()
        await harness.send()
        harness.scripts |= {"r1": answer_after(100), "r2": close_without_answer}
        await trio.sleep(1)
        self.assertEqual(6, await self.burst(harness, 6))
