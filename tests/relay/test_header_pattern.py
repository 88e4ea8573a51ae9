"""Tests of the pattern with which h11 parses header lines."""

import re

import h11
import h11._abnf
import h11._readers
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

import hemlocktrestle.adapters  # noqa: F401
from hemlocktrestle.relay._header_pattern import HEADER_LINE

ORIGINAL = re.compile(h11._abnf.header_field.encode("ascii"))

PARTS = st.sampled_from((b" ", b"\t", b"a", b":", b"-", b"\x00", b"\xe9", b"\r", b"("))

BLANKS = b" " * 60_000

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n"


class HeaderPatternTests(TestCase):
    """Header lines are parsed as by h11 itself, in one pass."""

    @given(line=st.lists(PARTS, max_size=12).map(b"".join))
    def test_the_same_lines_are_headers(self, line: bytes) -> None:
        """Names and values are those of the library's own pattern."""
        for candidate in (line, b"a:" + line):
            ours = HEADER_LINE.fullmatch(candidate)
            original = ORIGINAL.fullmatch(candidate)
            self.assertEqual(original is None, ours is None)
            if original is not None and ours is not None:
                self.assertEqual(original.groupdict(), ours.groupdict())

    def test_h11_uses_the_pattern(self) -> None:
        """Guards against a release of h11 that keeps it elsewhere."""
        self.assertIs(HEADER_LINE, h11._readers.header_field_re)

    def test_blanks_are_not_divided_in_each_way(self) -> None:
        """Guards against a line of blanks that held up a process for ten seconds.

        The blanks before a value are possessive, which the pattern shows.
        """
        self.assertIn(rb":[ \t]*+", HEADER_LINE.pattern)
        for head in (HEAD, CHUNKED):
            machine = h11.Connection(h11.CLIENT, max_incomplete_event_size=65_536)
            machine.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
            machine.send(h11.EndOfMessage())
            machine.receive_data(head + b"a:" + BLANKS + b"\x00\r\n\r\n")
            with self.assertRaises(h11.RemoteProtocolError):
                while machine.next_event() is not h11.NEED_DATA:
                    pass
