"""Tests of the phases of a shutdown, in virtual time."""

from collections.abc import Awaitable, Callable
from functools import partial

import trio
import trio.testing

from hemlocktrestle.edge.callers._shutdown import Phase, Shutdown
from hemlocktrestle.gateway import RequestKind, Target
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    Script,
    answer_after,
    answer_ok,
    answer_status,
    never_answer,
    sealed,
)
from tests.gateway.records import configuration, replica, route
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

GRACE_MS = 8_000.0
"""Grace period of the sample settings, in milliseconds."""

MARGIN_MS = 60.0
"""Lateness of a phase's effects that the tests allow, in milliseconds."""

ANSWERING_MS = GRACE_MS * Phase.ANSWERING.value
FINISHING_MS = GRACE_MS * Phase.FINISHING.value

LONG = route(timeout_ms=30_000.0, objective_ms=20_000.0, attempts=3)
ONCE = LONG._replace(kind=RequestKind.NON_IDEMPOTENT)
STREAM = LONG._replace(
    prefix="/advice/",
    kind=RequestKind.STREAM,
    targets=(Target("assistant", 1),),
    gap_ms=5_000.0,
)


class _OpenCallers:
    """Callers' connections that stay open for the whole shutdown."""

    connection_count = 1

    def __init__(self) -> None:
        self.refused_count = 0

    def close_idle(self) -> None:
        """Close nothing."""

    def refuse_unread(self) -> None:
        """Count the calls."""
        self.refused_count += 1


async def _deregister() -> None:
    """Answer at once, as a store without faults."""


class ShutdownCase(TrioTestCase):
    """Sends a request while a shutdown begins."""

    async def send_and_stop(
        self,
        harness: EdgeHarness,
        *,
        stop_after_ms: float = 0.0,
        deregister: Callable[[], Awaitable[None]] = _deregister,
        path: str = "/jobs/1",
    ) -> tuple[Reply, float]:
        """Return the answer, and when it came after the stop, in milliseconds."""
        began_ms = 0.0

        async def stop() -> None:
            nonlocal began_ms
            await trio.sleep(stop_after_ms / 1000)
            began_ms = trio.current_time() * 1000
            harness.state.shutdown.begin()
            await harness.state.shutdown.run(_OpenCallers(), deregister)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            reply = await harness.send(path, method="POST", X_Deadline_Ms="30000")
            answered_ms = trio.current_time() * 1000 - began_ms
            nursery.cancel_scope.cancel()
        return reply, answered_ms


class RunningRequestTests(ShutdownCase):
    """A request at a replica gets an answer before the grace period ends."""

    async def test_it_is_answered_without_a_promise(self) -> None:
        """Guards against a closed connection, and against 503 for what may have run."""
        for kept in (LONG, ONCE):
            harness = EdgeHarness(self, {"r1": never_answer}, found=configuration(kept))
            reply, answered_ms = await self.send_and_stop(harness, stop_after_ms=500)
            self.assertEqual((502, True), (reply.status, reply.is_whole))
            self.assertEqual(b"close", reply.headers[b"connection"])
            self.assertTrue(0 <= answered_ms - ANSWERING_MS < MARGIN_MS, answered_ms)
            self.assertEqual(["r1"], harness.reached_replicas())

    async def test_an_answer_at_the_last_moment_is_whole(self) -> None:
        """Guards against an answer that is cut because it starts as the time ends."""
        for offset_ms in (-1.0, 0.0, 1.0, 20.0, 40.0, 50.0, 60.0):
            script = answer_after(ANSWERING_MS + offset_ms)
            harness = EdgeHarness(self, {"r1": script}, found=configuration(ONCE))
            reply, _ = await self.send_and_stop(harness)
            self.assertTrue(reply.is_whole, offset_ms)
            self.assertIn(reply.status, {200, 502})

    async def test_an_answer_that_is_not_sent_yet_gives_way(self) -> None:
        """Guards against a cut between the arrival of an answer and its first byte.

        The request is ended after the replica's bytes have arrived, and before the
        task that relays them runs again.
        """
        cases = (
            (ONCE, "/jobs/1", 200),
            (ONCE, "/jobs/1", 500),
            (STREAM, "/advice/1", 200),
        )
        for kept, path, status in cases:
            harness = EdgeHarness(
                self,
                {"r1": answer_ok},
                found=configuration(kept),
                records=(replica("r1", service=kept.targets[0].service),),
            )
            shutdown = harness.state.shutdown

            async def script(
                connection: Connection,
                request: Request,
                shutdown: Shutdown = shutdown,
                status: int = status,
            ) -> None:
                lines = sealed(b"id: 1\n\n", request)
                lines["content-type"] = "text/event-stream"
                await connection.send_head(status, lines)
                # The relaying task waits for the body by then.
                await trio.sleep(0.05)
                await connection.send_chunk(b"id: 1\n\n")
                shutdown._end_unanswered(_OpenCallers())

            harness.scripts["r1"] = script
            reply, _ = await self.send_and_stop(harness, path=path)
            self.assertEqual((502, True), (reply.status, reply.is_whole))

    async def test_a_slow_store_delays_nothing(self) -> None:
        """Guards against phases that wait until the VM's entry has been removed."""
        harness = EdgeHarness(self, {"r1": never_answer}, found=configuration(ONCE))
        reply, answered_ms = await self.send_and_stop(
            harness, deregister=trio.sleep_forever
        )
        self.assertEqual(502, reply.status)
        self.assertTrue(answered_ms - ANSWERING_MS < MARGIN_MS, answered_ms)

    async def test_a_late_event_loop_answers(self) -> None:
        """Guards against a process that wakes after the end and cuts its requests."""

        async def be_late() -> None:
            await trio.sleep(ANSWERING_MS / 1000 - 0.1)
            clock = trio.lowlevel.current_clock()
            assert isinstance(clock, trio.testing.MockClock)
            clock.jump(GRACE_MS * 0.06 / 1000)

        harness = EdgeHarness(self, {"r1": never_answer}, found=configuration(ONCE))
        reply, answered_ms = await self.send_and_stop(harness, deregister=be_late)
        self.assertEqual((502, True), (reply.status, reply.is_whole))
        self.assertTrue(answered_ms < GRACE_MS, answered_ms)


class WaitingRequestTests(ShutdownCase):
    """A request that waits for a replica is refused while others can serve it."""

    async def test_it_is_refused_half_way(self) -> None:
        """Guards against a wait that ends with the process, or at a late replica."""
        harness = EdgeHarness(self, {"r1": answer_ok}, found=configuration(LONG))
        self.patch(harness.server._placer, "obtain", _wait_forever)
        reply, answered_ms = await self.send_and_stop(harness, stop_after_ms=500)
        self.assertEqual((503, 50.0), (reply.status, reply.retry_after_ms))
        self.assertTrue(0 <= answered_ms - FINISHING_MS < MARGIN_MS, answered_ms)
        self.assertEqual([], harness.reached_replicas())


async def _wait_forever(job: object, *, excluded: frozenset[str]) -> None:
    await trio.sleep_forever()


class LateRetryTests(ShutdownCase):
    """Late in the grace period, no other replica gets the request."""

    async def answer(self, script: Script) -> tuple[Reply, EdgeHarness]:
        """Return the answer to a request whose first replica is late and fails."""
        late = answer_after(FINISHING_MS + 500, script)
        harness = EdgeHarness(
            self, {"r1": late, "r2": answer_ok}, found=configuration(LONG)
        )
        reply, _ = await self.send_and_stop(harness)
        return reply, harness

    async def test_a_failure_is_relayed(self) -> None:
        """Guards against a second run that the end of the process cuts."""
        with self.assertLogs("hemlocktrestle.edge.attempts._attempt_sequence") as logs:
            reply, harness = await self.answer(answer_status(500))
        reasons = [getattr(record, "reason", "") for record in logs.records]
        self.assertEqual(["shutdown"], [reason for reason in reasons if reason])
        self.assertEqual((500, True), (reply.status, reply.is_whole))
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_refused_request_is_sent_elsewhere_by_its_caller(self) -> None:
        """The caller is told that it was not run, and may come back at once."""
        reply, harness = await self.answer(answer_status(503, is_unrun=True))
        self.assertEqual((503, 50.0), (reply.status, reply.retry_after_ms))
        self.assertEqual(["r1"], harness.reached_replicas())


def stream_for(duration_ms: float, *, is_cut: bool = False) -> Script:
    """Return a script that sends an event at the start and one at the end."""

    async def script(connection: Connection, request: Request) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        lines = {
            "x-attempt-id": "a1",
            "x-response-seal": "s",
            "content-type": "text/event-stream",
        }
        await connection.send_head(200, lines)
        await connection.send_chunk(b"id: %d\ndata: x\n\n" % first)
        await trio.sleep(duration_ms / 1000)
        if is_cut:
            await connection.stream.aclose()
            return
        await connection.send_chunk(b"id: %d\ndata: x\n\n" % (first + 1))
        await connection.finish()

    return script


class BegunStreamTests(ShutdownCase):
    """A stream whose answer has begun goes on for as long as the process runs."""

    def harness(self, scripts: dict[str, Script], *, may_resume: bool) -> EdgeHarness:
        """Return a harness whose replicas stream."""
        return EdgeHarness(
            self,
            scripts,
            found=configuration(STREAM._replace(may_resume=may_resume)),
            records=tuple(replica(name, service="assistant") for name in scripts),
        )

    async def test_it_is_not_ended_with_the_unanswered_requests(self) -> None:
        """Guards against ending a stream that is still being relayed."""
        for may_resume in (False, True):
            harness = self.harness(
                {"r1": stream_for(ANSWERING_MS + 150)}, may_resume=may_resume
            )
            reply, _ = await self.send_and_stop(harness, path="/advice/1")
            self.assertEqual((200, True), (reply.status, reply.is_whole))

    async def test_it_is_resumed_late(self) -> None:
        """Guards against refusing the rest of an answer that the caller has begun."""
        cut = stream_for(FINISHING_MS + 500, is_cut=True)
        harness = self.harness({"r1": cut, "r2": stream_for(100)}, may_resume=True)
        reply, _ = await self.send_and_stop(harness, path="/advice/1")
        self.assertEqual((200, True), (reply.status, reply.is_whole))
        self.assertEqual(3, reply.body.count(b"data:"))


class PhaseTests(TrioTestCase):
    """The phases follow from the grace period and the first signal."""

    async def test_they_follow_the_grace_period(self) -> None:
        """The time for new requests is bounded in a long grace period."""
        for grace_ms, closing_ms in ((2_000.0, 700.0), (60_000.0, 2_800.0)):
            shutdown = Shutdown(partial(float, grace_ms))
            shutdown.begin()
            await trio.sleep(closing_ms / 1000 - 0.01)
            self.assertFalse(shutdown.has_reached(Phase.CLOSING))
            await trio.sleep(0.02)
            self.assertTrue(shutdown.has_reached(Phase.CLOSING))
            self.assertFalse(shutdown.has_reached(Phase.FINISHING))

    async def test_a_second_signal_and_other_settings_change_nothing(self) -> None:
        """Guards against a shutdown that starts anew and outlasts its grace period."""
        grace_ms = [2_000.0]
        shutdown = Shutdown(lambda: grace_ms[0])
        shutdown.begin()
        await trio.sleep(0.9)
        grace_ms[0] = 60_000.0
        shutdown.begin()
        await trio.sleep(0.2)
        self.assertTrue(shutdown.has_reached(Phase.FINISHING))

    async def test_it_ends_before_the_grace_period(self) -> None:
        """Open connections and a silent store do not delay the end."""
        shutdown = Shutdown(lambda: GRACE_MS)
        began_s = trio.current_time()
        shutdown.begin()
        callers = _OpenCallers()
        await shutdown.run(callers, trio.sleep_forever)
        ended_ms = (trio.current_time() - began_s) * 1000
        lateness_ms = ended_ms - GRACE_MS * Phase.ENDED.value
        self.assertTrue(0 <= lateness_ms < MARGIN_MS, lateness_ms)
        self.assertTrue(callers.refused_count)
