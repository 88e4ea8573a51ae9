"""Splits a byte stream into server-sent events.

The format (HTML, section 9.2.5) ends a line with a line feed, a carriage return or
both, and an event with an empty line.
"""

import re
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind, RequestError

EVENT_BYTES_MAX = 1024 * 1024
"""Most bytes that may come up to the end of the next event with data, in bytes."""

PART_BYTES_MAX = 4_096
"""Most bytes that are split into events before other tasks run, in bytes.

They may hold a thousand events.
"""

_TEXT = re.compile(rb"[^\r\n]")

_EVENT_END = re.compile(
    rb"\n\n|\n\r\n|\n\r(?=[^\n])|\r\r|\r\n\n|\r\n\r\n|\r\n\r(?=[^\n])"
)
"""A line end and an empty line.

After a line feed, a carriage return may be half of a line end, which its successor
tells; an event so ends at the same byte wherever the stream is cut.
"""

_EVENT_END_BYTES_MAX = 4
"""Longest end of an event, in bytes."""

_FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
"""The start of a line that is neither empty nor a comment."""

_DATA_LINE = re.compile(rb"(?:\A|[\r\n])data[:\r\n]")
_ID_LINE = re.compile(rb"(?:\A|[\r\n])id:([^\r\n]*)")


class StreamEvent(NamedTuple):
    """One complete event, or comments alone, with the closing empty line.

    Args:
        data: its bytes, after empty lines that came before it.
        event_id: the id, empty if there is none.
    """

    data: bytes
    event_id: str

    @property
    def is_comment(self) -> bool:
        """Whether it has no field."""
        return is_comment(self.data)

    @property
    def has_data(self) -> bool:
        """Whether it has a data field; one without it tells a reader nothing."""
        return _DATA_LINE.search(self.data) is not None


class EventSplitter:
    """Splits a byte stream that arrives in pieces of any size into events.

    The work for each byte is bounded, whatever the stream holds.  Empty lines alone
    are no event; they go before the next one.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0
        self._has_text = False
        self._idle_bytes = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if too many bytes came without
                the end of an event with data.
        """
        self._buffer += data
        events = []
        start = 0
        while (end := self._search_end()) > 0:
            event = _event(bytes(self._buffer[start:end]))
            events.append(event)
            self._idle_bytes += end - start
            if event.has_data:
                self._idle_bytes = 0
            start = end
        del self._buffer[:start]
        self._searched_bytes -= start
        if self._idle_bytes + len(self._buffer) > EVENT_BYTES_MAX:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, f"no event in {EVENT_BYTES_MAX} bytes"
            )
        return events

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether part of another event came after the last complete one.

        Empty lines and comments belong to no event.
        """
        return not is_comment(self._buffer)

    @property
    def is_inside_line(self) -> bool:
        """Whether the last line, of an event or a comment, is not complete."""
        return bool(self._buffer) and not self._buffer.endswith((b"\r", b"\n"))

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    def _search_end(self) -> int:
        """Return the end of the next event in the buffer, 0 if it has not come.

        The next search goes on from where this one stopped.
        """
        if not self._has_text:
            text = _TEXT.search(self._buffer, self._searched_bytes)
            self._has_text = text is not None
            self._searched_bytes = text.start() if text else len(self._buffer)
        end = _EVENT_END.search(self._buffer, self._searched_bytes)
        if end is None:
            # The end may have begun within the bytes that were searched.
            unsearched = len(self._buffer) - (_EVENT_END_BYTES_MAX - 1)
            self._searched_bytes = max(self._searched_bytes, unsearched)
            return 0
        self._has_text = False
        self._searched_bytes = end.end()
        return end.end()


def parts_of(data: bytes) -> list[bytes]:
    """Cut bytes into parts; other tasks are to run between two of them."""
    if len(data) <= PART_BYTES_MAX:
        return [data]
    starts = range(0, len(data), PART_BYTES_MAX)
    return [data[start : start + PART_BYTES_MAX] for start in starts]


def is_comment(data: bytes | bytearray) -> bool:
    """Return whether lines of a stream are all empty or comments."""
    return _FIELD_LINE.search(data) is None


def _event(data: bytes) -> StreamEvent:
    found = _ID_LINE.search(data)
    return StreamEvent(data, found[1].strip().decode("latin-1") if found else "")
