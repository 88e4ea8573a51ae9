"""Tests of parsing and building the platform's header lines."""

import math
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.platform import HeaderCodec
from hemlocktrestle.platform._headers import PROMPT_PARTS_MAX
from hemlocktrestle.wire import Ask, decode, encode

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

NUMBER_TEXTS = st.one_of(
    st.integers(min_value=-1, max_value=10**12).map(str),
    st.integers().map(str),
    st.floats().map(str),
    st.sampled_from(["4294967295", "2147483648", "1e308", "9" * 5_000, ""]),
)
"""Texts of numbers, of any size."""

LINES = st.lists(st.tuples(st.sampled_from([name for name, _ in REQUEST]), st.binary()))


def request_lines(**changes: Any) -> dict[bytes, bytes]:
    """Return the header lines of a request to a replica."""
    values: dict[str, Any] = {
        "customer": "clinics",
        "deadline_ms": 1_234.9,
        "replica_id": "i-7",
        "last_event_id": "",
        "body_bytes": 3,
    }
    return dict(HeaderCodec().build_request_headers(REQUEST, **{**values, **changes}))


class RequestTests(TestCase):
    """Parsing a caller's request, and building the request to a replica."""

    def test_a_head_is_parsed(self) -> None:
        """All header fields of a request are parsed."""
        metadata = HeaderCodec().parse_request("/advice/x?y=1", REQUEST)
        self.assertEqual(("9c41", "callers.example", "/advice/x"), metadata[:3])
        self.assertEqual((1460, 80, 60), metadata[5:8])
        self.assertEqual(1540, metadata.tokens)
        self.assertEqual(("5c1e", "91bd"), metadata.prompt_parts)

    def test_parts_that_cannot_be_read_count_as_absent(self) -> None:
        """Guards against parts of a malformed list that are taken for its first ones.

        The last part is the request's own and never among them.
        """
        cases: dict[bytes, tuple[str, ...]] = {
            b"": (),
            b"aa:1": (),
            b"AA:1,bb:2,aa:1,cc:3": ("aa", "bb"),
            b"aa:1,zz:2,cc:3": (),
            b"aa:1,,cc:3": (),
            b"aa,bb:2": (),
            b",": (),
            b"\xff:1,aa:2": (),
        }
        for value, parts in cases.items():
            lines = ((b"x-prompt-prefix", value),)
            metadata = HeaderCodec().parse_request("/", lines)
            self.assertEqual(parts, metadata.prompt_parts, value.decode("latin-1"))

    def test_the_number_of_parts_is_bounded(self) -> None:
        """A list of any length is read up to the limit."""
        value = b",".join(b"%x:1" % number for number in range(1_000))
        lines = ((b"x-prompt-prefix", value),)
        parts = HeaderCodec().parse_request("/", lines).prompt_parts
        self.assertEqual(PROMPT_PARTS_MAX, len(parts))

    def test_token_counts_out_of_range_count_as_absent(self) -> None:
        """Guards against a permit request that cannot be encoded and ends the process.

        Its token counts, and the sum of two of them, have 32 bits.
        """
        for value in (b"1e300,1e300", b"4294967296,4294967296"):
            hint = value.partition(b",")[0]
            lines = ((b"x-token-usage", value), (b"x-length-hint", hint))
            metadata = HeaderCodec().parse_request("/", lines)
            self.assertEqual((0, 0, 0), metadata[5:8])
        largest = ((b"x-token-usage", b"2147483647,2147483647"),)
        self.assertTrue(HeaderCodec().parse_request("/", largest).tokens < 2**32)

    def test_numbers_too_large_count_as_absent(self) -> None:
        """Guards against a caller's number that ends the task of a link.

        Each number travels in a permit request, whose fields hold 32 bits.
        """
        for number in (b"1e308", b"4294967296", b"9" * 5_000, b"inf", b"nan", b"-1"):
            lines = dict(REQUEST)
            lines[b"x-token-usage"] = number + b"," + number
            lines[b"x-length-hint"] = lines[b"x-deadline-ms"] = number
            if number == b"4294967296":
                lines[b"x-deadline-ms"] = b"1e13"
            metadata = HeaderCodec().parse_request("/", tuple(lines.items()))
            self.assertEqual((None, 0, 0, 0), metadata[4:8], repr(number[:9]))

    @given(texts=st.lists(NUMBER_TEXTS, min_size=4, max_size=4))
    def test_any_number_fits_the_messages(self, texts: list[str]) -> None:
        """What is parsed fits the fields of a permit request."""
        prompt, output, hint, deadline = (text.encode() for text in texts)
        lines = {
            b"x-token-usage": prompt + b"," + output,
            b"x-length-hint": hint,
            b"x-deadline-ms": deadline,
        }
        metadata = HeaderCodec().parse_request("/", tuple(lines.items()))
        ask = Ask(
            "r",
            "p",
            "c",
            0,
            1.0,
            metadata.prompt_tokens,
            metadata.expected_output_tokens,
            0,
            int(metadata.deadline_ms or 0),
            amount=metadata.tokens,
        )
        self.assertEqual(ask, decode(encode(ask)))

    @given(lines=LINES)
    def test_no_header_values_raise(self, lines: list[tuple[bytes, bytes]]) -> None:
        """No header values of a caller raise an error."""
        HeaderCodec().parse_request("/", tuple(lines))

    def test_headers_set_by_the_system_are_not_forwarded(self) -> None:
        """Headers that the system sets itself are never forwarded from a caller."""
        lines = request_lines()
        for name in (b"api-key", b"x-hold", b"kv-from", b"x-extra", b"connection"):
            self.assertNotIn(name, lines)
        self.assertEqual(b"clinics", lines[b"x-tenant"])
        self.assertEqual(b"i-7", lines[b"x-expect-instance"])
        self.assertEqual(b"1234", lines[b"x-deadline-ms"])

    def test_a_public_route_names_no_customer(self) -> None:
        """A customer header that the caller sent is not forwarded."""
        self.assertNotIn(b"x-tenant", request_lines(customer=""))

    def test_other_headers_are_forwarded_unchanged(self) -> None:
        """Id, model, tokens and prompt are forwarded; the replica validates them."""
        lines = request_lines()
        for name in (b"x-attempt-id", b"x-model", b"x-token-usage", b"x-prompt-prefix"):
            self.assertEqual(dict(REQUEST)[name], lines[name])

    def test_a_resumed_stream_names_its_last_event(self) -> None:
        """The last event's id replaces the one that the caller sent."""
        lines = HeaderCodec().build_request_headers(
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
    """Parsing a replica's answer, and the header lines forwarded to the caller."""

    HEAD = (
        (b"x-attempt-id", b"9c41"),
        (b"x-response-seal", b"3e1b"),
        (b"content-length", b"4"),
        (b"connection", b"close"),
        (b"keep-alive", b"timeout=5"),
    )

    def test_a_head_is_parsed(self) -> None:
        """Seal, request id, the not-run mark and an encoding are recognised."""
        metadata = HeaderCodec().parse_answer(self.HEAD)
        self.assertEqual((True, False, "9c41"), metadata[:3])
        unrun = HeaderCodec().parse_answer(((b"x-not-executed", b"1"),))
        self.assertEqual((False, True), unrun[:2])
        packed = HeaderCodec().parse_answer(((b"content-encoding", b"gzip"),))
        self.assertTrue(packed.is_encoded)

    def test_only_the_stated_value_means_that_a_replica_leaves(self) -> None:
        """Another value, or none, says nothing."""
        for value, is_leaving in ((b"1", True), (b" 1 ", True), (b"0", False)):
            metadata = HeaderCodec().parse_answer(((b"server-leaving", value),))
            self.assertEqual(is_leaving, metadata.is_leaving)
        self.assertFalse(HeaderCodec().parse_answer(self.HEAD).is_leaving)

    def test_a_pause_is_stated_in_seconds(self) -> None:
        """Any number is parsed; what is none is NaN, and no line is no pause."""
        for value, pause_ms in ((b"2", 2_000.0), (b"0.25", 250.0), (b"-1", -1_000.0)):
            metadata = HeaderCodec().parse_answer(((b"retry-after", value),))
            self.assertEqual(pause_ms, metadata.pause_ms)
        for value in (b"", b"soon", b"Sat, 05 Dec 2026 06:50:00 GMT"):
            metadata = HeaderCodec().parse_answer(((b"retry-after", value),))
            self.assertTrue(math.isnan(metadata.pause_ms or 0.0), value)
        self.assertIsNone(HeaderCodec().parse_answer(self.HEAD).pause_ms)

    def test_the_time_of_an_idle_connection_is_stated_in_whole_seconds(self) -> None:
        """What is no such number says nothing."""
        for value, idle_ms in (
            (b"timeout=10", 10_000.0),
            (b"max=5, Timeout = 2", 2_000.0),
            (b"timeout=0", 0.0),
            (b"timeout=1.5", None),
            (b"timeout=-1", None),
            (b"notimeout=3", None),
            (b"timeout", None),
        ):
            metadata = HeaderCodec().parse_answer(((b"keep-alive", value),))
            self.assertEqual(idle_ms, metadata.idle_timeout_ms, str(value))
        self.assertIsNone(HeaderCodec().parse_answer(()).idle_timeout_ms)

    def test_hop_by_hop_headers_are_dropped(self) -> None:
        """Hop-by-hop headers are dropped, and all others are forwarded unchanged."""
        lines = HeaderCodec().forwarded_answer_headers(self.HEAD)
        self.assertEqual(list(self.HEAD[:3]), lines)
