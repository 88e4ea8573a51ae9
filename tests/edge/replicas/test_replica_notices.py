"""Tests of replicas that say in their answers that they leave."""

from collections.abc import Mapping

import trio

from hemlocktrestle.edge.placing._placement import AttemptEnd
from hemlocktrestle.gateway import ReplicaRecord, RequestKind
from tests.edge.callers.test_server import STREAM, WHOLE, event
from tests.edge.harness import (
    EdgeHarness,
    Script,
    answer_ok,
    close_without_answer,
    sealed,
)
from tests.gateway.records import (
    at,
    configuration,
    customer,
    replica,
    replica_update,
    route,
)
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

LEAVING = {"server-leaving": "1"}

DRAIN_S = 2.5
"""Time after which the platform lets no request reach a leaving replica, in s."""


def answer(
    status: int = 200, *, is_unrun: bool = False, lines: Mapping[str, str] = LEAVING
) -> Script:
    """Return a script that answers whole, with more header lines."""

    async def script(connection: Connection, request: Request) -> None:
        head = {**sealed(b"done", request), **lines}
        if is_unrun:
            head["x-not-executed"] = "1"
            del head["x-response-seal"]
        await connection.send_head(status, head)
        await connection.send_chunk(b"done")
        await connection.finish()

    return script


def stream(
    numbers: range, *, is_cut: bool = False, lines: Mapping[str, str] = LEAVING
) -> Script:
    """Return a script that streams events after the caller's last one."""

    async def script(connection: Connection, request: Request) -> None:
        head = {**sealed(b"", request), "content-type": "text/event-stream", **lines}
        del head["content-length"]
        await connection.send_head(200, head)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in numbers:
            if number >= first:
                await connection.send_chunk(event(number))
        await (connection.stream.aclose() if is_cut else connection.finish())

    return script


def listed(
    *names: str, service: str = "ledger", born_ms: int = 7
) -> tuple[ReplicaRecord, ...]:
    """Return registrations that state their start."""
    return tuple(replica(name, service=service, born_ms=born_ms) for name in names)


class LeavingTests(TrioTestCase):
    """No request is sent to an incarnation after it has said that it leaves.

    Guards against requests that run into a replica's end while its registration
    still says ready, or while the scheduler that chooses does not know.
    """

    def harness(self, script: Script) -> EdgeHarness:
        """Return a harness whose scheduler goes on choosing the replica r1."""
        return EdgeHarness(
            self,
            {"r1": script, "r2": answer_ok},
            records=listed("r1", "r2"),
            preferred="r1",
        )

    async def test_each_kind_of_answer_tells(self) -> None:
        """Buffered, failed, refused and invalid answers tell it all the same."""
        scripts = (
            answer(),
            answer(404),
            answer(500),
            answer(503, is_unrun=True),
            answer(421, is_unrun=True),
            answer(429, is_unrun=True),
            answer(lines={**LEAVING, "x-response-seal": "", "x-attempt-id": "a0"}),
        )
        for script in scripts:
            harness = self.harness(script)
            await harness.send()
            await trio.sleep(DRAIN_S)
            harness.requests.clear()
            reply = await harness.send()
            self.assertEqual((200, ["r2"]), (reply.status, harness.reached_replicas()))

    async def test_the_head_of_a_stream_tells(self) -> None:
        """The head counts at once, also that of a stream that is resumed."""
        for scripts in (
            {"r1": stream(range(1, 9)), "r2": stream(range(1, 9), lines={})},
            {
                "r0": stream(range(1, 4), is_cut=True, lines={}),
                "r1": stream(range(1, 9)),
                "r2": stream(range(1, 9), lines={}),
            },
        ):
            harness = EdgeHarness(
                self,
                scripts,
                found=configuration(STREAM),
                records=listed(*scripts, service="assistant"),
            )
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
            harness.requests.clear()
            harness.scripts["r0"] = close_without_answer
            for _ in range(3):
                await harness.send("/advice/1", method="POST", body=b"q")
            self.assertNotIn("r1", harness.reached_replicas())

    async def test_a_stream_is_not_resumed_there(self) -> None:
        """The replica that said it and then broke gets no second part."""
        harness = EdgeHarness(
            self,
            {
                "r1": stream(range(1, 4), is_cut=True),
                "r2": stream(range(1, 9), lines={}),
            },
            found=configuration(STREAM),
            records=listed("r1", "r2", service="assistant"),
            preferred="r1",
        )
        for _ in range(2):
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
        self.assertEqual(["r1", "r2", "r2"], harness.reached_replicas())

    async def test_only_the_stated_value_counts(self) -> None:
        """Another value of the header says nothing."""
        harness = self.harness(answer(lines={"server-leaving": "0"}))
        for _ in range(2):
            await harness.send()
        self.assertEqual(["r1", "r1"], harness.reached_replicas())

    async def test_a_lagging_registration_changes_nothing(self) -> None:
        """A later entry that says ready, of the same start, gives it no work."""
        harness = self.harness(answer())
        await harness.send()
        harness.state.replicas.apply_update(
            replica_update("r1", 9, born_ms=7, slots=12)
        )
        await harness.send()
        self.assertEqual(["r1", "r2"], harness.reached_replicas())

    async def test_it_holds_for_as_long_as_the_replica_is_registered(self) -> None:
        """Nor does time give it work again, nor a removal that the choice ignores."""
        harness = self.harness(answer())
        await harness.send()
        await trio.sleep(300)
        await harness.send()
        harness.state.replicas.apply_removal("r1", at(9), 0)
        await harness.send()
        self.assertEqual(["r1", "r2", "r2"], harness.reached_replicas())

    async def test_another_incarnation_takes_work(self) -> None:
        """Guards against capacity that is lost when a replica starts again."""
        harness = self.harness(answer())
        await harness.send()
        harness.scripts["r1"] = answer_ok
        harness.state.replicas.apply_update(replica_update("r1", 9, born_ms=8))
        await harness.send()
        self.assertEqual(["r1", "r1"], harness.reached_replicas())

    async def test_another_id_at_the_address_takes_work(self) -> None:
        """What one replica said does not bind the next one at its address."""
        harness = EdgeHarness(self, {"r1": answer()}, records=listed("r1"))
        await harness.send()
        harness.scripts["r1"] = answer_ok
        harness.state.replicas.apply_update(
            replica_update("r9", 9, address="r1", born_ms=7)
        )
        reply = await harness.send()
        self.assertEqual(200, reply.status)
        self.assertEqual("r9", harness.requests[-1][1].headers["x-expect-instance"])

    async def test_a_request_that_goes_elsewhere_counts_nothing(self) -> None:
        """It is released as unsent, and neither attempts nor the budget are spent."""
        once = configuration(route(kind=RequestKind.NON_IDEMPOTENT, attempts=1))
        harness = self.harness(answer())
        harness.state.configuration = once
        await harness.send()
        before = harness.state.retries_remaining()["ledger"]
        for _ in range(20):
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual(200, reply.status)
        self.assertEqual(1, harness.served[-1].progress.send_count)
        self.assertEqual(1, harness.served[-1].progress.connect_count)
        self.assertTrue(harness.state.retries_remaining()["ledger"] >= before)
        self.assertEqual(("r1", AttemptEnd.HELD_BACK), harness.released[-2])

    async def test_a_retry_is_charged_once_though_it_is_held_back(self) -> None:
        """Guards against a budget that each placement held back spends again."""
        harness = EdgeHarness(
            self,
            {"r1": answer(), "r0": close_without_answer, "r2": answer_ok},
            records=listed("r0", "r1", "r2"),
            preferred="r1",
        )
        await harness.send()
        before = harness.state.retries_remaining()["ledger"]
        reply = await harness.send()
        self.assertEqual(["r1", "r0", "r2"], harness.reached_replicas())
        spent = before - harness.state.retries_remaining()["ledger"]
        self.assertEqual((200, True), (reply.status, 0.5 < spent <= 1))

    async def test_a_refusal_or_a_new_configuration_between_changes_nothing(
        self,
    ) -> None:
        """A customer over its quota and another version leave what is known."""
        small = customer(counts_tokens=False, rate_per_s=1.0)
        found = configuration(route(is_public=False), customers=(small,))
        harness = self.harness(answer())
        bounds = harness.state.settings.bounds._replace(quota_slack=0)
        harness.state.settings = harness.state.settings._replace(bounds=bounds)
        await harness.send()
        await trio.sleep(60)
        harness.state.configuration = found
        statuses = [
            (await harness.send(Api_Key="clinics-key")).status for _ in range(12)
        ]
        self.assertEqual({200, 429}, set(statuses))
        harness.state.configuration = configuration(version=3)
        await harness.send()
        self.assertEqual(["r1"], [n for n in harness.reached_replicas() if n == "r1"])

    async def test_if_all_leave_the_refusal_says_not_run(self) -> None:
        """The caller gets 503 with a pause, and no replica gets the request."""
        harness = EdgeHarness(self, {"r1": answer()}, records=listed("r1"))
        await harness.send()
        reply = await harness.send()
        self.assertEqual((503, 1), (reply.status, len(harness.requests)))
        self.assertIn(b"not-run", reply.body)
        self.assertTrue(reply.retry_after_ms > 0)
