"""Tests of answers of faulty replicas: what callers may be told because of them."""

from typing import ClassVar

from hypothesis import given, settings
from hypothesis import strategies as st

from hemlocktrestle.edge.placing._placement import AttemptEnd
from tests.edge.callers.test_server import ONCE, STREAM, WHOLE, event, stream_of
from tests.edge.harness import (
    EdgeHarness,
    Script,
    answer_ok,
    reset_on_close,
)
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase
from tests.support._case import run_virtual

SEAL = b"x-attempt-id: a1\r\nx-response-seal: s\r\n"
EVENT_STREAM = b"content-type: text/event-stream\r\n"


def raw(data: bytes, *, is_reset: bool = False) -> Script:
    """Return a script that sends bytes as they are and closes the connection."""

    async def script(connection: Connection, request: Request) -> None:
        await connection.stream.send_all(data)
        if is_reset:
            reset_on_close(connection)
        await connection.stream.aclose()

    return script


def framed(status: int, lines: bytes, body: bytes) -> bytes:
    """Return the bytes of an answer with a stated length."""
    length = b"content-length: %d\r\n\r\n" % len(body)
    return b"HTTP/1.1 %d X\r\n" % status + lines + length + body


def chunked(lines: bytes, *pieces: bytes, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return the bytes of a 200 in chunks."""
    head = b"HTTP/1.1 200 OK\r\n" + lines + b"transfer-encoding: chunked\r\n\r\n"
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + chunks + end


REFUSAL = framed(503, b"x-not-executed: 1\r\nx-attempt-id: a1\r\n", b"full")


class RefusalTests(TrioTestCase):
    """A refusal is believed only if it is whole, consistent and names the request."""

    DOUBTFUL: ClassVar = {
        "names another request": framed(
            503, b"x-not-executed: 1\r\nx-attempt-id: a0\r\n", b"full"
        ),
        "names no request": framed(503, b"x-not-executed: 1\r\n", b"full"),
        "names two requests": framed(
            503,
            b"x-not-executed: 1\r\nx-attempt-id: a0\r\nx-attempt-id: a1\r\n",
            b"full",
        ),
        "is cut": REFUSAL[:-1],
        "bears a seal": framed(503, b"x-not-executed: 1\r\n" + SEAL, b"full"),
        "is a success": framed(
            200, b"x-not-executed: 1\r\nx-attempt-id: a1\r\n", b"full"
        ),
        "comes before its head ends": REFUSAL[: REFUSAL.index(b"\r\n\r\n")],
    }

    async def test_a_doubtful_refusal_promises_nothing(self) -> None:
        """Guards against "not run" for a request that a replica may have run.

        A replica that writes the refusal of an earlier request again may be running
        this one.
        """
        for name, data in self.DOUBTFUL.items():
            with self.subTest(name):
                harness = EdgeHarness(
                    self, {"r1": raw(data), "r2": answer_ok}, found=ONCE
                )
                reply = await harness.send(method="POST", body=b"wipe")
                self.assertEqual(
                    (502, ["r1"]), (reply.status, harness.reached_replicas())
                )

    async def test_a_plain_refusal_leads_to_another_replica(self) -> None:
        """A refusal counts as such, also after an informational response."""
        for data in (REFUSAL, b"HTTP/1.1 103 Early Hints\r\n\r\n" + REFUSAL):
            harness = EdgeHarness(self, {"r1": raw(data), "r2": answer_ok}, found=ONCE)
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual(
                (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
            )
            self.assertEqual(AttemptEnd.NOT_RUN, harness.released[0][1])

    async def test_a_refusal_whose_body_stalls_is_not_believed(self) -> None:
        """A request that may run once gets 504 and reaches no second replica."""

        async def stalls(connection: Connection, request: Request) -> None:
            await connection.stream.send_all(REFUSAL[:-1])
            await connection.wait_closed()

        harness = EdgeHarness(self, {"r1": stalls, "r2": answer_ok}, found=ONCE)
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((504, ["r1"]), (reply.status, harness.reached_replicas()))


class ForeignAnswerTests(TrioTestCase):
    """A success is relayed only if it names the request that it answers."""

    async def test_a_success_that_names_no_request_is_not_relayed(self) -> None:
        """Guards against the answer to another request of the same replica."""
        for lines in (b"", b"x-attempt-id: a0\r\nx-attempt-id: a1\r\n"):
            data = framed(200, b"x-response-seal: s\r\n" + lines, b"done")
            harness = EdgeHarness(self, {"r1": raw(data)}, found=ONCE)
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual(502, reply.status)


class StatusTests(TrioTestCase):
    """An answer whose status is none is no answer, whatever its head states."""

    async def test_a_status_out_of_range_is_no_answer(self) -> None:
        """Guards against a status 600 that callers got, sealed or as a refusal."""
        unrun = b"x-attempt-id: a1\r\nx-not-executed: 1\r\n"
        for lines in (SEAL, SEAL + EVENT_STREAM, unrun):
            for status in (b"000", b"099", b"600", b"999"):
                data = framed(200, lines, b"done").replace(b"200", status, 1)
                with self.subTest(lines=lines, status=status):
                    harness = EdgeHarness(
                        self, {"r1": raw(data), "r2": answer_ok}, found=ONCE
                    )
                    reply = await harness.send(method="POST", body=b"wipe")
                    self.assertEqual(
                        (502, ["r1"]), (reply.status, harness.reached_replicas())
                    )

    async def test_a_repeatable_request_goes_to_another_replica(self) -> None:
        """A replica that answers so has failed; its caller gets another's answer."""
        data = framed(200, SEAL, b"done").replace(b"200", b"600", 1)
        harness = EdgeHarness(self, {"r1": raw(data), "r2": answer_ok})
        reply = await harness.send()
        self.assertEqual(
            (200, ["r1", "r2"]), (reply.status, harness.reached_replicas())
        )


class StreamHeadTests(TrioTestCase):
    """On a stream's route, an answer that is no stream is relayed only if whole."""

    def harness(self, data: bytes) -> EdgeHarness:
        """Return a harness with one replica, which sends ``data`` and closes."""
        found = configuration(STREAM._replace(may_resume=False))
        records = (replica("r1", service="assistant"),)
        return EdgeHarness(self, {"r1": raw(data)}, found=found, records=records)

    async def test_a_whole_answer_of_another_type_is_relayed_unchanged(self) -> None:
        """A sealed 200 that is no event stream reaches the caller as it is."""
        reply = await self.harness(framed(200, SEAL, b'{"a":1}')).send("/advice/1")
        self.assertEqual(
            (200, b'{"a":1}', True), (reply.status, reply.body, reply.is_whole)
        )

    async def test_a_cut_answer_of_another_type_is_not_relayed(self) -> None:
        """A cut answer gives 502."""
        data = framed(200, SEAL, b'{"a":1}')[:-2]
        self.assertEqual(502, (await self.harness(data).send("/advice/1")).status)

    async def test_a_head_in_two_copies_is_not_part_of_a_stream(self) -> None:
        """Guards against a head that reaches the caller as an event."""
        head = b"HTTP/1.1 200 OK\r\n" + SEAL + EVENT_STREAM + b"\r\n"
        reply = await self.harness(head + head + event(1)).send("/advice/1")
        self.assertEqual(502, reply.status)


def _cut_anywhere(answer: bytes) -> st.SearchStrategy[tuple[bytes, bool]]:
    """Return a strategy of prefixes of an answer, and whether each is all of it."""
    return st.one_of(
        st.just((answer, True)),
        st.integers(0, len(answer) - 1).map(lambda end: (answer[:end], False)),
    )


OWN_ANSWER = framed(200, SEAL, b"done")
OWN_CHUNKS = chunked(SEAL, b"do", b"ne")
FOREIGN = framed(200, b"x-attempt-id: a0\r\nx-response-seal: s\r\n", b"not yours")
FOREIGN_REFUSAL = framed(503, b"x-not-executed: 1\r\nx-attempt-id: a0\r\n", b"full")
UNSEALED = framed(200, b"x-attempt-id: a1\r\n", b"done")
EARLY = b"HTTP/1.1 103 Early Hints\r\nx-not-executed: 1\r\n\r\n"

FIRST_ANSWERS = st.sampled_from(
    (OWN_ANSWER, OWN_CHUNKS, REFUSAL, FOREIGN, FOREIGN_REFUSAL, UNSEALED)
).flatmap(lambda answer: st.tuples(st.just(answer), _cut_anywhere(answer)))

EXTRA = st.one_of(
    st.binary(max_size=40),
    st.sampled_from((OWN_ANSWER, REFUSAL, FOREIGN, FOREIGN_REFUSAL)),
)


class ArbitraryBytesTests(TrioTestCase):
    """Whatever a replica sends, callers get no foreign, cut or untrue answer."""

    @settings(max_examples=150, deadline=None)
    @given(
        first=FIRST_ANSWERS,
        early_count=st.integers(0, 2),
        extra=EXTRA,
        is_reset=st.booleans(),
    )
    def test_callers_get_their_whole_answer_or_an_honest_error(
        self,
        first: tuple[bytes, tuple[bytes, bool]],
        early_count: int,
        extra: bytes,
        is_reset: bool,
    ) -> None:
        """Only the replica's first final answer counts, and only if it is whole."""
        answer, (sent, is_whole) = first
        data = EARLY * early_count + sent + (extra if is_whole else b"")

        async def check() -> None:
            harness = EdgeHarness(
                self, {"r1": raw(data, is_reset=is_reset)}, found=ONCE
            )
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual(["r1"], harness.reached_replicas())
            expected = 502
            if is_whole and answer in (OWN_ANSWER, OWN_CHUNKS):
                expected = 200
                self.assertEqual((b"done", True), (reply.body, reply.is_whole))
            elif is_whole and answer == REFUSAL:
                expected = 503
            self.assertEqual(expected, reply.status)

        run_virtual(check)

    @settings(max_examples=150, deadline=None)
    @given(data=st.binary(max_size=200), is_reset=st.booleans())
    def test_bytes_that_are_no_answer_give_an_error(
        self, data: bytes, is_reset: bool
    ) -> None:
        """Arbitrary bytes lead to 502, never to a success or "not run"."""

        async def check() -> None:
            harness = EdgeHarness(
                self, {"r1": raw(data, is_reset=is_reset)}, found=ONCE
            )
            reply = await harness.send(method="POST", body=b"wipe")
            self.assertEqual(502, reply.status)

        run_virtual(check)

    @settings(max_examples=150, deadline=None)
    @given(
        event_count=st.integers(0, 5),
        junk=st.one_of(
            st.binary(max_size=60).map(lambda data: b"x" + data),
            st.sampled_from((b"error: boom\n\n", event(1), event(3))).map(
                lambda data: b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data)
            ),
        ),
        cut_bytes=st.integers(0, 80),
        is_reset=st.booleans(),
    )
    def test_a_resumed_stream_is_whole_or_visibly_cut(
        self, event_count: int, junk: bytes, cut_bytes: int, is_reset: bool
    ) -> None:
        """The caller gets a prefix of its events, and an end only after the last."""
        events = [event(number) for number in range(4, 9)]
        proper = chunked(SEAL + EVENT_STREAM, *events[:event_count], end=b"")
        is_whole = event_count == 5 and junk[0] == ord("x")
        data = proper + junk
        data = proper + b"0\r\n\r\n" if is_whole else data[: len(data) - cut_bytes]

        async def check() -> None:
            scripts = {
                "r1": stream_of(range(1, 4), end="cut"),
                "r2": raw(data, is_reset=is_reset),
            }
            records = tuple(replica(name, service="assistant") for name in scripts)
            harness = EdgeHarness(
                self, scripts, found=configuration(STREAM), records=records
            )
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual(WHOLE[: len(reply.body)], reply.body)
            self.assertEqual(is_whole, reply.is_whole)
            if is_whole:
                self.assertEqual(WHOLE, reply.body)

        run_virtual(check)
