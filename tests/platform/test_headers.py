"""Tests of the platform's header lines."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.platform import HeaderCodec

REQUEST = (
    (b"host", b"callers.example:80"),
    (b"x-attempt-id", b"9c41"),
    (b"x-model", b"m"),
    (b"x-token-usage", b"1460,80"),
    (b"x-length-hint", b"60"),
    (b"x-prompt-prefix", b"5c1e:800,91bd:410, nonsense"),
    (b"x-deadline-ms", b"15000"),
    (b"api-key", b"secret"),
    (b"x-tenant", b"forged"),
    (b"x-hold", b"forged"),
    (b"kv-from", b"forged"),
    (b"connection", b"keep-alive, x-extra"),
    (b"x-extra", b"for this hop"),
    (b"content-length", b"3"),
)

LINES = st.lists(st.tuples(st.sampled_from([name for name, _ in REQUEST]), st.binary()))


def written(**changes: Any) -> dict[bytes, bytes]:
    """Return the lines that go to a replica."""
    values: dict[str, Any] = {
        "customer": "clinics",
        "deadline_ms": 1_234.9,
        "replica_id": "i-7",
        "last_event_id": "",
        "body_bytes": 3,
    }
    return dict(HeaderCodec().request_headers(REQUEST, **{**values, **changes}))


class RequestTests(TestCase):
    """What a caller says, and what a replica is told."""

    def test_facts_are_read(self) -> None:
        """What cannot be read counts as not stated."""
        facts = HeaderCodec().request_facts("/advice/x?y=1", REQUEST)
        self.assertEqual(("9c41", "callers.example", "/advice/x"), facts[:3])
        self.assertEqual((1460, 80, 60), facts[5:8])
        self.assertEqual(1540, facts.tokens)

    @given(lines=LINES)
    def test_no_lines_break_the_reader(self, lines: list[tuple[bytes, bytes]]) -> None:
        """Callers may send anything."""
        HeaderCodec().request_facts("/", tuple(lines))

    def test_what_the_system_sets_is_never_the_callers(self) -> None:
        """Keys stay here; leases, holds and moves are the system's to set."""
        lines = written()
        for name in (b"api-key", b"x-hold", b"kv-from", b"x-extra", b"connection"):
            self.assertNotIn(name, lines)
        self.assertEqual(b"clinics", lines[b"x-tenant"])
        self.assertEqual(b"i-7", lines[b"x-expect-instance"])
        self.assertEqual(b"1234", lines[b"x-deadline-ms"])

    def test_a_public_route_names_no_customer(self) -> None:
        """Whatever the caller sent."""
        self.assertNotIn(b"x-tenant", written(customer=""))

    def test_the_rest_goes_on_unchanged(self) -> None:
        """The replica checks id, model, tokens and prompt."""
        lines = written()
        for name in (b"x-attempt-id", b"x-model", b"x-token-usage", b"x-prompt-prefix"):
            self.assertEqual(dict(REQUEST)[name], lines[name])

    def test_a_resumed_stream_names_its_last_event(self) -> None:
        """Once."""
        lines = HeaderCodec().request_headers(
            (*REQUEST, (b"last-event-id", b"3")),
            customer="",
            deadline_ms=1,
            replica_id="i-7",
            last_event_id="9",
            body_bytes=3,
        )
        found = [value for name, value in lines if name == b"last-event-id"]
        self.assertEqual([b"9"], found)


class AnswerTests(TestCase):
    """What a replica says, and what a caller gets."""

    HEAD = (
        (b"x-attempt-id", b"9c41"),
        (b"x-response-seal", b"3e1b"),
        (b"content-length", b"4"),
        (b"connection", b"close"),
        (b"keep-alive", b"timeout=5"),
    )

    def test_facts_are_read(self) -> None:
        """An answer that says so was not run."""
        facts = HeaderCodec().answer_facts(self.HEAD)
        self.assertEqual((True, False, "9c41"), facts[:3])
        unrun = HeaderCodec().answer_facts(((b"x-not-executed", b"1"),))
        self.assertEqual((False, True), unrun[:2])
        packed = HeaderCodec().answer_facts(((b"content-encoding", b"gzip"),))
        self.assertTrue(packed.is_encoded)

    def test_lines_of_one_connection_stay_there(self) -> None:
        """The rest reaches the caller unchanged."""
        lines = HeaderCodec().answer_headers(self.HEAD)
        self.assertEqual(list(self.HEAD[:3]), lines)
