"""Tests of serving requests: what runs, how often, and what the caller is told."""

from typing import Any

import trio
import trio.testing

from hemlocktrestle.gateway import RequestKind, Target
from tests.edge.bed import (
    Bed,
    Reply,
    answer_after,
    answer_status,
    answer_well,
    break_off,
    never_answer,
    sealed,
)
from tests.gateway.records import configuration, customer, replica, route
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

ONCE = configuration(route(kind=RequestKind.NON_IDEMPOTENT, attempts=1))


class AnswerTests(TrioTestCase):
    """A caller gets the replica's own answer, whole, or none that looks like it."""

    async def test_the_replicas_answer_reaches_the_caller_unchanged(self) -> None:
        """Status, body and seal; lines of one connection stay behind."""
        bed = Bed(self, {"r1": answer_well})
        reply = await bed.ask(Api_Key="secret", X_Deadline_Ms="5000")
        self.assertEqual(
            (200, b"done", True), (reply.status, reply.body, reply.is_whole)
        )
        self.assertEqual(b"seal", reply.headers[b"x-response-seal"])
        (_, request), *_ = bed.requests
        self.assertEqual("r1", request.headers["x-expect-instance"])
        self.assertNotIn("api-key", request.headers)
        self.assertTrue(4_900 < int(request.headers["x-deadline-ms"]) <= 5_000)

    async def test_a_failure_with_a_seal_keeps_its_status(self) -> None:
        """Of a request that may not be repeated."""
        bed = Bed(self, {"r1": answer_status(500)}, found=ONCE)
        reply = await bed.ask(method="POST", body=b"wipe")
        self.assertEqual((500, b"no"), (reply.status, reply.body))
        self.assertIn(b"x-response-seal", reply.headers)

    async def test_answers_that_are_not_the_requests_never_pass(self) -> None:
        """No seal, another request's, encoded, cut short, or no HTTP at all."""

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
            bed = Bed(self, {"r1": script}, found=ONCE)
            reply = await bed.ask(method="POST", body=b"wipe")
            self.assertEqual((502, 1), (reply.status, len(bed.ran())))

    async def test_bytes_after_an_answer_belong_to_nobody(self) -> None:
        """The next request goes out on another connection."""

        async def extra(connection: Connection, request: Request) -> None:
            await answer_well(connection, request)
            await connection.stream.send_all(b"HTTP/1.1 200 OK\r\n\r\nstranger")

        bed = Bed(self, {"r1": extra})
        for _ in range(2):
            self.assertEqual(b"done", (await bed.ask()).body)

    async def test_an_answer_may_come_before_the_body_is_read(self) -> None:
        """It is the replica's answer all the same."""

        async def early(connection: Connection, request: Request) -> None:
            await answer_status(413)(connection, request)

        bed = Bed(self, {"r1": early}, found=ONCE)
        reply = await bed.ask(method="POST", body=b"x" * 300_000)
        self.assertEqual(413, reply.status)


class RepeatTests(TrioTestCase):
    """What may be repeated is; what may not runs at most once."""

    async def test_a_failed_idempotent_request_goes_elsewhere(self) -> None:
        """Broken off, failed, or silent for too long."""
        for script in (break_off, answer_status(500), never_answer):
            bed = Bed(self, {"r1": script, "r2": answer_well})
            reply = await bed.ask()
            self.assertEqual((200, ["r1", "r2"]), (reply.status, bed.ran()))

    async def test_it_never_goes_to_more_replicas_than_the_route_allows(self) -> None:
        """The last answer counts."""
        scripts = {name: answer_status(500) for name in ("r1", "r2", "r3")}
        bed = Bed(self, scripts)
        reply = await bed.ask()
        self.assertEqual((500, 2), (reply.status, len(bed.ran())))

    async def test_what_may_not_be_repeated_runs_once(self) -> None:
        """The caller is told that it is not known whether it has run."""
        bed = Bed(self, {"r1": break_off, "r2": answer_well}, found=ONCE)
        reply = await bed.ask(method="POST", body=b"wipe")
        self.assertEqual((502, ["r1"]), (reply.status, bed.ran()))

    async def test_a_replica_that_did_not_run_it_is_no_run(self) -> None:
        """Not even for a request that may run once."""
        turned_away = answer_status(503, is_unrun=True)
        bed = Bed(self, {"r1": turned_away, "r2": answer_well}, found=ONCE)
        reply = await bed.ask(method="POST", body=b"wipe")
        self.assertEqual((200, ["r1", "r2"]), (reply.status, bed.ran()))

    async def test_not_run_anywhere_is_a_promise_with_a_time(self) -> None:
        """The caller may come again."""
        bed = Bed(self, {"r1": answer_status(421, is_unrun=True)}, found=ONCE)
        reply = await bed.ask(method="POST", body=b"wipe")
        self.assertEqual(503, reply.status)
        self.assertTrue(reply.retry_after_ms > 0)

    async def test_what_may_have_run_is_never_promised_not_to_have(self) -> None:
        """The first replica broke off, and the second did not take it."""
        turned_away = answer_status(503, is_unrun=True)
        bed = Bed(self, {"r1": break_off, "r2": turned_away})
        reply = await bed.ask()
        self.assertEqual((502, ["r1", "r2"]), (reply.status, bed.ran()))

    async def test_replicas_out_of_reach_are_no_run(self) -> None:
        """The next one is tried; if there is none, nothing has run."""
        records = (replica("r0"), replica("r1"))
        bed = Bed(self, {"r1": answer_well}, found=ONCE, records=records)
        reply = await bed.ask(method="POST", body=b"wipe")
        self.assertEqual((200, ["r1"]), (reply.status, bed.ran()))
        bed = Bed(self, {}, found=ONCE, records=records)
        self.assertEqual(503, (await bed.ask(method="POST", body=b"wipe")).status)

    async def test_an_answer_that_comes_as_patience_ends_is_whole(self) -> None:
        """The time runs out between the answer's arrival and its way to the caller."""

        async def just_in_time(connection: Connection, request: Request) -> None:
            await connection.send_head(200, sealed(b"done", request))
            await trio.testing.wait_all_tasks_blocked()
            await connection.send_chunk(b"done")
            clock: Any = trio.lowlevel.current_clock()
            clock.jump(0.01)
            await connection.finish()

        for late_ms in (229, 235, 239, 241):
            slow = answer_after(late_ms, just_in_time)
            bed = Bed(self, {"r1": slow, "r2": answer_well})
            reply = await bed.ask()
            self.assertEqual((200, True), (reply.status, reply.is_whole), str(late_ms))

    async def test_a_request_that_crashes_replicas_is_stopped(self) -> None:
        """It comes again and again, and is told that it has not run."""
        scripts = dict.fromkeys(("r1", "r2", "r3", "r4"), break_off)
        bed = Bed(self, scripts, found=ONCE)
        statuses = [
            (await bed.ask(method="POST", body=b"poison")).status for _ in range(5)
        ]
        self.assertEqual([502, 502, 503, 503, 503], statuses)
        self.assertEqual(2, len(bed.ran()))


class RefusalTests(TrioTestCase):
    """What is refused has not run, and the caller is told what is wrong."""

    async def test_nothing_is_known_yet(self) -> None:
        """A new process promises that the request has not run."""
        bed = Bed(self, {"r1": answer_well})
        bed.state.configuration = None
        self.assertEqual((503, []), ((await bed.ask()).status, bed.ran()))

    async def test_no_route_and_no_key(self) -> None:
        """404 and 401; a key that is gone is not known any more."""
        closed = configuration(route(is_public=False), customers=(customer(),))
        bed = Bed(self, {"r1": answer_well}, found=closed)
        self.assertEqual(404, (await bed.ask("/other/1")).status)
        self.assertEqual(401, (await bed.ask()).status)
        self.assertEqual(401, (await bed.ask(Api_Key="other")).status)
        self.assertEqual(200, (await bed.ask(Api_Key="clinics-key")).status)
        (_, request), *_ = bed.requests
        self.assertEqual("clinics", request.headers["x-tenant"])

    async def test_over_the_quota(self) -> None:
        """429, with a time after which it may pass."""
        poor = customer(rate_per_s=1.0, burst=0.0, counts_tokens=False)
        closed = configuration(route(is_public=False), customers=(poor,))
        bed = Bed(self, {"r1": answer_well}, found=closed)
        bounds = bed.state.settings.bounds._replace(quota_slack=0)
        bed.state.settings = bed.state.settings._replace(bounds=bounds)
        await trio.sleep(60)
        replies: list[Reply] = [await bed.ask(Api_Key="clinics-key") for _ in range(12)]
        refused = [reply for reply in replies if reply.status == 429]
        self.assertTrue(3 <= len(refused) <= 4, len(refused))
        self.assertTrue(all(reply.retry_after_ms > 0 for reply in refused))

    async def test_late_in_a_shutdown(self) -> None:
        """First requests are still served, later ones sent elsewhere at once."""
        bed = Bed(self, {"r1": answer_well})
        bed.state.draining_since_ms = trio.current_time() * 1000
        early = await bed.ask()
        self.assertEqual((200, b"close"), (early.status, early.headers[b"connection"]))
        await trio.sleep(3)
        self.assertEqual((503, 1), ((await bed.ask()).status, len(bed.ran())))


class TimeTests(TrioTestCase):
    """Nobody waits longer than the operator or the caller wants."""

    async def test_the_routes_time_ends_a_request(self) -> None:
        """The caller is told that it may have run."""
        bed = Bed(self, {"r1": never_answer}, found=ONCE)
        started_s = trio.current_time()
        reply = await bed.ask(method="POST", body=b"wipe", X_Deadline_Ms="60000")
        self.assertEqual(504, reply.status)
        self.assertTrue(abs(trio.current_time() - started_s - 6.0) < 0.1)

    async def test_a_caller_that_leaves_is_followed(self) -> None:
        """The replica's connection closes at once."""
        gone_at: list[float] = []

        async def work(connection: Connection, request: Request) -> None:
            await connection.wait_closed()
            gone_at.append(trio.current_time())

        bed = Bed(self, {"r1": work}, found=ONCE)
        started_s = trio.current_time()
        await bed.ask(method="POST", body=b"wipe", leave_after_ms=200)
        self.assertTrue(abs(gone_at[0] - started_s - 0.2) < 0.05, gone_at)
        self.assertEqual("caller_gone", bed.served[0].outcome)


STREAM = route(
    "/advice/",
    kind=RequestKind.STREAM,
    targets=(Target("assistant", 1),),
    may_resume=True,
    gap_ms=300.0,
    timeout_ms=15_000.0,
)


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: part {number}\n\n".encode()


def stream_of(numbers: range, *, end: str = "whole") -> Any:
    """Return a script that streams events and then ends, breaks off or falls silent."""

    async def script(connection: Connection, request: Request) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        await connection.send_head(
            200, {"x-attempt-id": "a1", "x-response-seal": "s", "content-type": "x"}
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
    """Pieces come in order, once, and a stream that is cut never looks whole."""

    def bed(self, **changes: Any) -> Bed:
        """Return a bed whose first replica breaks off after three events."""
        found = configuration(STREAM._replace(**changes))
        scripts = {
            "r1": stream_of(range(1, 4), end="cut"),
            "r2": stream_of(range(1, 9)),
        }
        records = tuple(replica(name, service="assistant") for name in scripts)
        return Bed(self, scripts, found=found, records=records)

    async def test_a_broken_stream_goes_on_where_it_broke(self) -> None:
        """In the same answer, from the event after the last whole one."""
        bed = self.bed()
        reply = await bed.ask("/advice/1", method="POST", body=b"q")
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))
        self.assertEqual("3", bed.requests[1][1].headers["last-event-id"])

    async def test_a_stream_that_may_not_resume_is_visibly_cut(self) -> None:
        """It runs once, and its last event is whole."""
        bed = self.bed(may_resume=False)
        reply = await bed.ask("/advice/1", method="POST", body=b"q")
        self.assertEqual(
            (WHOLE[: len(reply.body)], False), (reply.body, reply.is_whole)
        )
        self.assertTrue(reply.body.endswith(b"part 3\n\n"))
        self.assertEqual(["r1"], bed.ran())

    async def test_a_stream_that_falls_silent_goes_on_elsewhere(self) -> None:
        """Before its caller gives it up; the first replica is left first."""
        bed = self.bed()
        bed.scripts["r1"] = stream_of(range(1, 4), end="silent")
        reply = await bed.ask("/advice/1", method="POST", body=b"q")
        self.assertEqual((WHOLE, True), (reply.body, reply.is_whole))

    async def test_an_unframed_stream_that_ends_in_an_event_is_cut(self) -> None:
        """Its end is no end."""

        async def unframed(connection: Connection, request: Request) -> None:
            head = b"HTTP/1.1 200 OK\r\nx-response-seal: s\r\n\r\n"
            await connection.stream.send_all(head + event(1) + event(2)[:7])
            await connection.stream.aclose()

        bed = self.bed(may_resume=False)
        bed.scripts["r1"] = unframed
        reply = await bed.ask("/advice/1", method="POST", body=b"q")
        self.assertEqual((event(1), False), (reply.body, reply.is_whole))

    async def test_the_callers_connection_carries_the_next_request(self) -> None:
        """A whole stream leaves the connection usable."""
        bed = self.bed()
        bed.scripts["r1"] = stream_of(range(1, 9))
        reply = await bed.ask("/advice/1", method="POST", body=b"q")
        self.assertNotIn(b"connection", reply.headers)
        self.assertEqual(b"chunked", reply.headers[b"transfer-encoding"])
