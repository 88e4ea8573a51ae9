"""Tests of splitting event streams."""

import re
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import (
    EVENT_BYTES_MAX,
    PART_BYTES_MAX,
    EventSplitter,
    StreamEvent,
    _events,
    is_comment,
    parts_of,
)

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid:3\ndata: c\n\n"

LINES = st.sampled_from(
    (b"data: a", b"data", b"id: 7", b"id", b": note", b":", b"event: x", b"a:b")
)
LINE_ENDS = st.sampled_from((b"\n", b"\r\n", b"\r"))

STREAMS = st.one_of(
    # Each stream has one kind of line end, as those of engines do.
    LINE_ENDS.flatmap(
        lambda end: st.lists(st.one_of(LINES, st.just(b"")), max_size=12).map(
            lambda lines: b"".join(line + end for line in lines)
        )
    ),
    st.lists(
        st.sampled_from((b"\n", b"\r", b"a", b":", b"data:", b"id:1")), max_size=16
    ).map(b"".join),
)


def split(data: bytes, cuts: list[int]) -> tuple[list[StreamEvent], EventSplitter]:
    """Split bytes that come in pieces."""
    splitter = EventSplitter()
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    events = []
    for start, end in pairwise(bounds):
        events += splitter.feed(data[start:end])
    return events, splitter


def blocks_of(data: bytes) -> list[list[bytes]]:
    """Return the lines of each block that an empty line ends, by the format."""
    blocks: list[list[bytes]] = [[]]
    *lines, _ = re.split(rb"\r\n|\n|\r", data)
    for line in lines:
        if line:
            blocks[-1].append(line)
        elif blocks[-1]:
            blocks.append([])
    return blocks[:-1]


def lines_of(event: StreamEvent) -> list[bytes]:
    """Return the lines of an event that are not empty."""
    return [line for line in event.data.splitlines() if line]


class EventSplitterTests(TestCase):
    """Events are complete, whatever the size of the chunks."""

    @given(size=st.integers(1, len(STREAM)))
    def test_pieces_of_any_size_give_the_same_events(self, size: int) -> None:
        """The events' bytes, order and ids are those of the stream."""
        cutter = EventSplitter()
        events = []
        for start in range(0, len(STREAM), size):
            events += cutter.feed(STREAM[start : start + size])
        self.assertEqual(STREAM, b"".join(event.data for event in events))
        self.assertEqual(["1", "2", "3"], [event.event_id for event in events])
        self.assertEqual(b"", cutter.remainder)

    def test_every_cut_gives_whole_events(self) -> None:
        """A stream cut in three at any two places gives only complete events."""
        ends = {0, 15, 33, len(STREAM)}
        for first in range(len(STREAM)):
            for second in range(first, len(STREAM)):
                splitter = EventSplitter()
                sent = b""
                for piece in (STREAM[:first], STREAM[first:second], STREAM[second:]):
                    sent += b"".join(event.data for event in splitter.feed(piece))
                    self.assertIn(len(sent), ends)
                self.assertEqual(STREAM, sent)

    def test_an_event_that_is_cut_stays_behind(self) -> None:
        """An event is returned only once its closing blank line has arrived."""
        cutter = EventSplitter()
        events = cutter.feed(STREAM[:-1])
        self.assertEqual(2, len(events))
        self.assertEqual(b"version: 3\nid:3\ndata: c\n", cutter.remainder)

    @given(data=STREAMS, cuts=st.lists(st.integers(0, 200), max_size=5))
    def test_any_split_gives_the_events_of_the_format(
        self, data: bytes, cuts: list[int]
    ) -> None:
        """Guards against events that depend on how the bytes arrive.

        Lines may end with a line feed, a carriage return or both.
        """
        # A byte after the stream tells whether a last carriage return is a line end.
        data += b"x"
        events, splitter = split(data, cuts)
        self.assertEqual((events, splitter.remainder), _whole(data))
        self.assertEqual(blocks_of(data), [lines_of(event) for event in events])
        joined = b"".join(event.data for event in events) + splitter.remainder
        self.assertEqual(data, joined)

    def test_each_kind_of_line_end_ends_an_event_at_once(self) -> None:
        """No event waits for the byte after it."""
        for end in (b"\n", b"\r\n", b"\r"):
            event = b"id: 1" + end + b"data: a" + end + end
            self.assertEqual([StreamEvent(event, "1")], EventSplitter().feed(event))

    def test_what_a_block_brings(self) -> None:
        """Comments have no field, and only a data field brings something."""
        for block, is_note, has_data in (
            (b": note\n\n", True, False),
            (b"\n\r\n:\n\n", True, False),
            (b"id: 1\n\n", False, False),
            (b": note\nid: 1\ndata: a\n\n", False, True),
            (b"data\n\n", False, True),
            (b"datum: a\n\n", False, False),
            (b": a\rdata:\r\r", False, True),
        ):
            (event,) = EventSplitter().feed(block)
            self.assertEqual(
                (is_note, has_data), (event.is_comment, event.has_data), str(block)
            )


class TornEventTests(TestCase):
    """What came after the last event is told from the beginning of another one."""

    def test_empty_lines_and_comments_are_part_of_no_event(self) -> None:
        """Guards against whole streams that count as broken, and broken as whole."""
        for rest, is_inside_event, is_inside_line in (
            (b"", False, False),
            (b"\n", False, False),
            (b"\r\n\r", False, False),
            (b": note", False, True),
            (b": note\r\n", False, False),
            (b"i", True, True),
            (b"data: a\n", True, False),
            (b": note\ndata: a", True, True),
            (b": note\rd", True, True),
        ):
            splitter = EventSplitter()
            self.assertEqual(3, len(splitter.feed(STREAM + rest)), str(rest))
            self.assertEqual(
                (is_inside_event, is_inside_line),
                (splitter.is_inside_event, splitter.is_inside_line),
                str(rest),
            )
            self.assertEqual(is_inside_event, not is_comment(rest))


class IdleBytesTests(TestCase):
    """The bytes that may come without an event with data are bounded."""

    IDLE = (
        b"\n",
        b"\r\n",
        b"\r",
        b":\n",
        b":\n\n",
        b":\r\r",
        b"x",
        b"data\n",
        b"id: 1\n\n",
        b"event: ping\r\n\r\n",
        b"data",
    )

    def test_bytes_without_an_event_are_bounded(self) -> None:
        """Guards against answers without end that bring their caller nothing.

        Comments and empty lines passed for events.
        """
        for unit in self.IDLE:
            data = unit * (PART_BYTES_MAX // len(unit))
            splitter = EventSplitter()
            with self.subTest(unit=unit):
                for _ in range(EVENT_BYTES_MAX // len(data)):
                    splitter.feed(data)
                with self.assertRaises(RequestError):
                    for _ in range(2):
                        splitter.feed(data)

    def test_an_event_without_end_is_bounded(self) -> None:
        """An event that never ends raises an error right at the size limit."""
        EventSplitter().feed(b"x" * EVENT_BYTES_MAX)
        self.assertRaises(
            RequestError, EventSplitter().feed, b"x" * (EVENT_BYTES_MAX + 1)
        )

    def test_each_event_with_data_starts_the_count_anew(self) -> None:
        """A stream of events may have any length, and comments between them."""
        splitter = EventSplitter()
        note = b": " + b"x" * 100_000 + b"\n\n"
        for _ in range(3 * EVENT_BYTES_MAX // len(note)):
            self.assertEqual(2, len(splitter.feed(note + b"data: a\n\n")))

    def test_an_event_may_be_as_large_as_the_bound(self) -> None:
        """A large event comes whole, in pieces of any size."""
        event = b"data: " + b"x" * (EVENT_BYTES_MAX - 8) + b"\n\n"
        splitter = EventSplitter()
        events = [found for part in parts_of(event) for found in splitter.feed(part)]
        self.assertEqual([StreamEvent(event, "")], events)


class _CountingPattern:
    """Counts the bytes that a pattern searches."""

    def __init__(self, pattern: re.Pattern[bytes]) -> None:
        self._pattern = pattern
        self.searched_bytes = 0

    def search(self, data: bytes, start: int = 0) -> re.Match[bytes] | None:
        """Search as the pattern does."""
        found = self._pattern.search(data, start)
        self.searched_bytes += (found.end() if found else len(data)) - start
        return found


class WorkTests(TestCase):
    """The work for each byte does not depend on what the stream holds."""

    SEARCHES_PER_BYTE = 5
    """Searches of each byte: for text, for the end, for the id and for data."""

    UNITS = (*IdleBytesTests.IDLE, b"data: a\n\n", b"id: 1\r\ndata: a\r\n\r\n", b"\n\r")

    def _searched_bytes(self, data: bytes, size: int) -> int:
        names = ("_TEXT", "_EVENT_END", "_DATA_LINE", "_ID_LINE", "_FIELD_LINE")
        patterns = [_CountingPattern(getattr(_events, name)) for name in names]
        for name, pattern in zip(names, patterns, strict=True):
            self.patch(_events, name, pattern)
        splitter = EventSplitter()
        for start in range(0, len(data), size):
            splitter.feed(data[start : start + size])
        return sum(pattern.searched_bytes for pattern in patterns)

    def test_no_byte_is_searched_again_and_again(self) -> None:
        """Guards against a process that one answer of a replica holds up.

        A piece of empty events was searched to its end once for each of them.
        """
        for unit in self.UNITS:
            for size in (7, PART_BYTES_MAX, 65_536):
                data = unit * (65_536 // len(unit))
                with self.subTest(unit=unit, size=size):
                    self.assertLess(
                        self._searched_bytes(data, size),
                        self.SEARCHES_PER_BYTE * len(data),
                    )


def _whole(data: bytes) -> tuple[list[StreamEvent], bytes]:
    events, splitter = split(data, [])
    return events, splitter.remainder
