"""Tests of serving requests: where they run, how often, and what the caller gets."""

from typing import Any

import trio
import trio.testing

from hemlocktrestle.gateway import RequestKind, Target
from tests.edge.harness import (
    EdgeHarness,
    Reply,
    answer_after,
    answer_ok,
    answer_status,
    close_without_answer,
    never_answer,
    sealed,
)
from tests.gateway.records import configuration, customer, replica, route
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

ONCE = configuration(route(kind=RequestKind.NON_IDEMPOTENT, attempts=1))


class AnswerTests(TrioTestCase):
    """A caller gets a replica's complete answer, or a recognisable error."""

    async def test_the_replicas_answer_reaches_the_caller_unchanged(self) -> None:
        """Status, body and seal are relayed; hop-by-hop headers are not."""
        harness = EdgeHarness(self, {"r1": answer_ok})
        reply = await harness.send(Api_Key="secret", X_Deadline_Ms="5000")
        self.assertEqual(
            (200, b"done", True), (reply.status, reply.body, reply.is_whole)
        )
        self.assertEqual(b"seal", reply.headers[b"x-response-seal"])
        (_, request), *_ = harness.requests
        self.assertEqual("r1", request.headers["x-expect-instance"])
        self.assertNotIn("api-key", request.headers)
        self.assertTrue(4_900 < int(request.headers["x-deadline-ms"]) <= 5_000)

    async def test_a_sealed_failure_is_relayed(self) -> None:
        """A sealed 500 for a request that may not be retried is relayed as it is."""
        harness = EdgeHarness(self, {"r1": answer_status(500)}, found=ONCE)
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((500, b"no"), (reply.status, reply.body))
        self.assertIn(b"x-response-seal", reply.headers)

    async def test_invalid_answers_are_not_relayed(self) -> None:
        """Unsealed, foreign, encoded, truncated and non-HTTP answers give 502."""

        def with_lines(**changes: str) -> Any:
            async def script(connection: Connection, request: Request) -> None:
                lines = {**sealed(b"done", request), **changes}
                await connection.send_head(200, {k: v for k, v in lines.items() if v})
                await connection.send_chunk(b"done")
                await connection.finish()

            return script

        async def cut_short(connection: Connection, request: Request) -> None:
            lines = {**sealed(b"done", request), "content-length": "9"}
            await connection.send_head(200, lines)
            await connection.send_chunk(b"done")
            await connection.stream.aclose()

        async def garbage(connection: Connection, request: Request) -> None:
            await connection.stream.send_all(b"\x00\x01 what\r\n\r\n")
            await connection.stream.aclose()

        scripts = (
            with_lines(**{"x-response-seal": ""}),
            with_lines(**{"x-attempt-id": "another"}),
            with_lines(**{"content-encoding": "gzip"}),
            cut_short,
            garbage,
        )
        for script in scripts:
            harness = EdgeHarness(self, {"r1": script}, found=ONCE)
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual((502, 1), (reply.status, len(harness.reached_replicas())))

    async def test_bytes_after_an_answer_are_discarded(self) -> None:
        """Bytes after an answer do not reach the next request, on a new connection."""

        async def extra(connection: Connection, request: Request) -> None:
            await answer_ok(connection, request)
            await connection.stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nstranger")

        harness = EdgeHarness(self, {"r1": extra})
        for _ in range(2):
            self.assertEqual(b"done", (await harness.send()).body)

    async def test_an_answer_may_come_before_the_body_is_read(self) -> None:
        """An answer that is sent before the whole body was read is relayed."""

        async def early(connection: Connection, request: Request) -> None:
            await answer_status(413)(connection, request)

        harness = EdgeHarness(self, {"r1": early}, found=ONCE)
        reply = await harness.send(method="POST", body=b"x" * 300_000)
        self.assertEqual(413, reply.status)


class RepeatTests(TrioTestCase):
    """Repeatable requests are retried; all others run at most once."""

    async def test_a_failed_idempotent_request_is_retried(self) -> None:
        """A closed connection, a failed answer and a silent replica lead to a retry."""
        for script in (close_without_answer, answer_status(500), never_answer):
            harness = EdgeHarness(self, {"r1": script, "r2": answer_ok})
            reply = await harness.send()
            self.assertEqual(
                (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
            )

    async def test_attempts_are_limited_by_the_route(self) -> None:
        """Attempts are limited by the route, and the last answer is relayed."""
        scripts = {name: answer_status(500) for name in ("r1", "r2", "r3")}
        harness = EdgeHarness(self, scripts)
        reply = await harness.send()
        self.assertEqual((500, 2), (reply.status, len(harness.reached_replicas())))

    async def test_a_non_idempotent_request_runs_once(self) -> None:
        """The caller gets 502: it is unknown whether the request ran."""
        harness = EdgeHarness(
            self, {"r1": close_without_answer, "r2": answer_ok}, found=ONCE
        )
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((502, ["r1"]), (reply.status, harness.reached_replicas()))

    async def test_a_refusal_does_not_count_as_a_run(self) -> None:
        """A refusal without a run allows another attempt even if only one may run."""
        turned_away = answer_status(503, is_unrun=True)
        harness = EdgeHarness(self, {"r1": turned_away, "r2": answer_ok}, found=ONCE)
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(
            (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
        )

    async def test_not_run_anywhere_gives_503_with_a_pause(self) -> None:
        """If no replica ran the request, the caller gets 503 with a retry pause."""
        harness = EdgeHarness(
            self, {"r1": answer_status(421, is_unrun=True)}, found=ONCE
        )
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(503, reply.status)
        self.assertTrue(reply.retry_after_ms > 0)

    async def test_a_possible_run_is_never_reported_as_not_run(self) -> None:
        """Once a replica may have run it, a refusal by the next gives 502, not 503."""
        turned_away = answer_status(503, is_unrun=True)
        harness = EdgeHarness(self, {"r1": close_without_answer, "r2": turned_away})
        reply = await harness.send()
        self.assertEqual(
            (502, ["r1", "r2"]), (reply.status, harness.reached_replicas())
        )

    async def test_unreachable_replicas_do_not_count_as_runs(self) -> None:
        """An unreachable replica is skipped; if all are, the answer is 503."""
        records = (replica("r0"), replica("r1"))
        harness = EdgeHarness(self, {"r1": answer_ok}, found=ONCE, records=records)
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((200, ["r1"]), (reply.status, harness.reached_replicas()))
        harness = EdgeHarness(self, {}, found=ONCE, records=records)
        self.assertEqual(503, (await harness.send(method="POST", body=b"wipe")).status)

    async def test_an_answer_that_comes_as_patience_ends_is_whole(self) -> None:
        """A limit that expires between receipt and relay of an answer does not cut it.

        The cancellation would otherwise be delivered while the answer is sent.
        """

        async def just_in_time(connection: Connection, request: Request) -> None:
            await connection.send_head(200, sealed(b"done", request))
            await trio.testing.wait_all_tasks_blocked()
            await connection.send_chunk(b"done")
            clock: Any = trio.lowlevel.current_clock()
            clock.jump(0.01)
            await connection.finish()

        for late_ms in (229, 235, 239, 241):
            slow = answer_after(late_ms, just_in_time)
            harness = EdgeHarness(self, {"r1": slow, "r2": answer_ok})
            reply = await harness.send()
            self.assertEqual((200, True), (reply.status, reply.is_whole), str(late_ms))

    async def test_a_request_that_crashes_replicas_is_quarantined(self) -> None:
        """After two crashes the request is quarantined and refused with 503."""
        scripts = dict.fromkeys(("r1", "r2", "r3", "r4"), close_without_answer)
        harness = EdgeHarness(self, scripts, found=ONCE)
        statuses = [
            (await harness.send(method="POST", body=b"poison")).status for _ in range(5)
        ]
        self.assertEqual([502, 502, 503, 503, 503], statuses)
        self.assertEqual(2, len(harness.reached_replicas()))


class RefusalTests(TrioTestCase):
    """Refused requests reach no replica, and the status states the reason."""

    async def test_requests_without_a_configuration_are_refused(self) -> None:
        """Without a configuration a process answers 503, which means not run."""
        harness = EdgeHarness(self, {"r1": answer_ok})
        harness.state.configuration = None
        self.assertEqual(
            (503, []), ((await harness.send()).status, harness.reached_replicas())
        )

    async def test_unknown_route_and_key_are_refused(self) -> None:
        """An unknown route gives 404, a missing or unknown key gives 401."""
        closed = configuration(route(is_public=False), customers=(customer(),))
        harness = EdgeHarness(self, {"r1": answer_ok}, found=closed)
        self.assertEqual(404, (await harness.send("/other/1")).status)
        self.assertEqual(401, (await harness.send()).status)
        self.assertEqual(401, (await harness.send(Api_Key="other")).status)
        self.assertEqual(200, (await harness.send(Api_Key="clinics-key")).status)
        (_, request), *_ = harness.requests
        self.assertEqual("clinics", request.headers["x-tenant"])

    async def test_requests_over_the_quota_are_refused(self) -> None:
        """Requests over the quota get 429 with a retry pause."""
        poor = customer(rate_per_s=1.0, burst=0.0, counts_tokens=False)
        closed = configuration(route(is_public=False), customers=(poor,))
        harness = EdgeHarness(self, {"r1": answer_ok}, found=closed)
        bounds = harness.state.settings.bounds._replace(quota_slack=0)
        harness.state.settings = harness.state.settings._replace(bounds=bounds)
        await trio.sleep(60)
        replies: list[Reply] = [
            await harness.send(Api_Key="clinics-key") for _ in range(12)
        ]
        refused = [reply for reply in replies if reply.status == 429]
        self.assertTrue(3 <= len(refused) <= 4, len(refused))
        self.assertTrue(all(reply.retry_after_ms > 0 for reply in refused))

    async def test_late_in_a_shutdown(self) -> None:
        """Requests are served in the notice period and refused with 503 after it."""
        harness = EdgeHarness(self, {"r1": answer_ok})
        harness.state.shutdown.begin()
        early = await harness.send()
        self.assertEqual((200, b"close"), (early.status, early.headers[b"connection"]))
        await trio.sleep(3)
        self.assertEqual(
            (503, 1), ((await harness.send()).status, len(harness.reached_replicas()))
        )


class TimeTests(TrioTestCase):
    """Requests end by the route's timeout, and when their caller disconnects."""

    async def test_the_routes_timeout_ends_a_request(self) -> None:
        """A request that runs into the route's timeout gets 504."""
        harness = EdgeHarness(self, {"r1": never_answer}, found=ONCE)
        started_s = trio.current_time()
        reply = await harness.send(method="POST", body=b"wipe", X_Deadline_Ms="60000")
        self.assertEqual(504, reply.status)
        self.assertTrue(abs(trio.current_time() - started_s - 6.0) < 0.1)

    async def test_a_disconnected_caller_cancels_its_request(self) -> None:
        """When the caller disconnects, the replica's connection is closed at once."""
        gone_at: list[float] = []

        async def work(connection: Connection, request: Request) -> None:
            await connection.wait_closed()
            gone_at.append(trio.current_time())

        harness = EdgeHarness(self, {"r1": work}, found=ONCE)
        started_s = trio.current_time()
        await harness.send(method="POST", body=b"wipe", leave_after_ms=200)
        self.assertTrue(abs(gone_at[0] - started_s - 0.2) < 0.05, gone_at)
        self.assertEqual("caller_gone", harness.served[0].outcome)

    async def test_an_attempt_that_its_caller_ends_is_logged(self) -> None:
        """Guards against slot time that no log line accounts for."""
        harness = EdgeHarness(self, {"r1": never_answer}, found=ONCE)
        for leave_after_ms in (200, None):
            with self.assertLogs("hemlocktrestle.edge.callers._server") as logs:
                await harness.send(
                    method="POST", body=b"wipe", leave_after_ms=leave_after_ms
                )
            ended = [record for record in logs.records if record.msg == "attempt_ended"]
            self.assertEqual(
                ["r1"], [getattr(record, "replica", "") for record in ended]
            )


STREAM = route(
    "/advice/",
    kind=RequestKind.STREAM,
    targets=(Target("assistant", 1),),
    may_resume=True,
    gap_ms=300.0,
    timeout_ms=15_000.0,
    patience_ms=2_400.0,
)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: part {number}\n\n".encode()


def stream_of(numbers: range, *, end: str = "whole") -> Any:
    """Return a script that streams events and then ends, is cut or stalls."""

    async def script(connection: Connection, request: Request) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await connection.send_head(
            200,
            {
                "x-attempt-id": "a1",
                "x-response-seal": "s",
                "content-type": "text/event-stream",
            },
        )
        for number in numbers:
            if number >= first:
                await connection.send_chunk(event(number))
                await trio.sleep(0.02)
        if end == "whole":
            await connection.finish()
        elif end == "cut":
            await connection.send_chunk(event(99)[:9])
            await connection.stream.aclose()
        else:
            await connection.wait_closed()

    return script


WHOLE = b"".join(event(number) for number in range(1, 9))


class StreamTests(TrioTestCase):
    """Events arrive in order and once, and a cut stream never looks complete."""

    def harness(self, **changes: Any) -> EdgeHarness:
        """Return a harness whose first replica closes after three events."""
        found = configuration(STREAM._replace(**changes))
        scripts = {
            "r1": stream_of(range(1, 4), end="cut"),
            "r2": stream_of(range(1, 9)),
        }
        records = tuple(replica(name, service="assistant") for name in scripts)
        return EdgeHarness(self, scripts, found=found, records=records)

    async def test_a_broken_stream_is_resumed(self) -> None:
        """It is resumed in the same answer, after the last complete event."""
        harness = self.harness()
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
        self.assertEqual("3", harness.requests[1][1].headers["last-event-id"])

    async def test_a_stream_that_may_not_resume_is_visibly_cut(self) -> None:
        """It runs once, ends after a complete event, and has no regular end."""
        harness = self.harness(may_resume=False)
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual(
            (WHOLE[: len(reply.body)], False), (reply.body, reply.is_whole)
        )
        self.assertTrue(reply.body.endswith(b"part 3\n\n"))
        self.assertEqual(["r1"], harness.reached_replicas())

    async def test_a_stalled_stream_is_resumed_elsewhere(self) -> None:
        """A stalled stream is resumed at another replica before the caller gives up."""
        harness = self.harness()
        harness.scripts["r1"] = stream_of(range(1, 4), end="silent")
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))

    async def test_an_unframed_stream_that_ends_in_an_event_is_cut(self) -> None:
        """Without framing, the end of the connection within an event is a cut."""

        async def unframed(connection: Connection, request: Request) -> None:
            head = (
                b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-seal: s\r\n"
                b"content-type: text/event-stream\r\n\r\n"
            )
            await connection.stream.send_all(head + event(1) + event(2)[:7])
            await connection.stream.aclose()

        harness = self.harness(may_resume=False)
        harness.scripts["r1"] = unframed
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertEqual((event(1), False), (reply.body, reply.is_whole))

    async def test_the_callers_connection_is_reused_after_a_stream(self) -> None:
        """After a complete stream the caller's connection is kept open."""
        harness = self.harness()
        harness.scripts["r1"] = stream_of(range(1, 9))
        reply = await harness.send("/advice/1", method="POST", body=b"q")
        self.assertNotIn(b"connection", reply.headers)
        self.assertEqual(b"chunked", reply.headers[b"transfer-encoding"])
