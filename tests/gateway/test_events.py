"""Tests of splitting event streams."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid:3\ndata: c\n\n"


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

    def test_an_event_that_is_cut_stays_behind(self) -> None:
        """An event is returned only once its closing blank line has arrived."""
        cutter = EventSplitter()
        events = cutter.feed(STREAM[:-1])
        self.assertEqual(2, len(events))
        self.assertEqual(b"version: 3\nid:3\ndata: c\n", cutter.remainder)
