"""Tests of splitting streams into events and of recognising their end."""

from testtools import TestCase

from hemlocktrestle.daemon._relay import STREAM_END, ends_with_mark, is_self_delimited
from hemlocktrestle.daemon._stream_resume import (
    EVENT_BYTES_MAX,
    EventSplitter,
    _split_id,
)
from hemlocktrestle.errors import RequestError
from hemlocktrestle.ports import Headers, UpstreamAnswer

EVENTS = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


async def _no_body() -> object:
    yield b""


def answer_with(headers: Headers, status: int = 200) -> UpstreamAnswer:
    """Return an answer with these headers and no body."""
    return UpstreamAnswer(status, headers, _no_body())  # type: ignore[arg-type]


class EventSplitterTests(TestCase):
    """Only complete events are passed on, however the pieces are cut."""

    def test_every_cut_gives_whole_events(self) -> None:
        """A stream cut in three at any two places gives only complete events."""
        ends = {0, 15, 33, len(EVENTS)}
        for first in range(len(EVENTS)):
            for second in range(first, len(EVENTS)):
                splitter = EventSplitter()
                sent = b""
                for piece in (EVENTS[:first], EVENTS[first:second], EVENTS[second:]):
                    sent += splitter.feed(piece)
                    self.assertIn(len(sent), ends)
                self.assertEqual(EVENTS, sent)

    def test_an_event_without_end_is_bounded(self) -> None:
        """An event that never ends raises an error at the size limit."""
        splitter = EventSplitter()
        self.assertRaises(RequestError, splitter.feed, b"x" * (EVENT_BYTES_MAX + 1))


class EndTests(TestCase):
    """A stream is complete by its last line, an answer by its framing."""

    def test_the_last_line_alone_ends_a_stream(self) -> None:
        """Text within an event that looks like the end mark does not count."""
        for tail, is_whole in (
            (b"\ndata: [DONE]\n\n", True),
            (b"\ndata: [DONE]\r\n\r\n", True),
            (b"\ndata: [DONE]", True),
            (b'\ndata: {"content": "data: [DONE]"}\n\n', False),
            (b"\ndata: {}data: [DONE]\n\n", False),
            (b"\ndata: [DONE]\n\ndata: {}\n\n", False),
            (b"\n", False),
        ):
            self.assertEqual(is_whole, ends_with_mark(tail, STREAM_END), str(tail))

    def test_a_body_until_the_close_has_no_stated_end(self) -> None:
        """Only a length, chunks or a status without body make truncation visible."""
        for headers, status, is_stated in (
            (((b"content-length", b"2"),), 200, True),
            (((b"transfer-encoding", b"chunked"),), 200, True),
            (((b"content-type", b"text/plain"),), 200, False),
            ((), 204, True),
            ((), 200, False),
        ):
            answer = answer_with(headers, status)
            self.assertEqual(is_stated, is_self_delimited(answer), str(headers))


class EventIdTests(TestCase):
    """Ids of events are split into a text and a number."""

    def test_a_number_of_many_digits_is_no_number(self) -> None:
        """Guards against an id that is too long to be converted to a number."""
        self.assertEqual((b"a", 12), _split_id(b"a12"))
        self.assertEqual((b"a", None), _split_id(b"a" + b"9" * 5_000))
