"""Splits a byte stream into server-sent events."""

import re
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind, RequestError

EVENT_BYTES_MAX = 1024 * 1024
"""Largest event that is buffered, in bytes; engines send some tokens in each."""

_MARKS = (b"\n\n", b"\r\n\r\n")
"""What ends an event: an empty line."""

_FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
"""The start of a line that is neither empty nor a comment."""


class StreamEvent(NamedTuple):
    """One complete event with its closing blank line; ``event_id`` may be empty."""

    data: bytes
    event_id: str


class EventSplitter:
    """Splits a byte stream that arrives in chunks of any size into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if an event is too large.
        """
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer, self._searched_bytes)) >= 0:
            whole = bytes(self._buffer[:end])
            del self._buffer[:end]
            self._searched_bytes = 0
            events.append(StreamEvent(whole, _event_id(whole)))
        # An empty line may begin within the bytes that were searched.
        self._searched_bytes = max(0, len(self._buffer) - len(_MARKS[-1]) + 1)
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "event is too large")
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
        return not self._buffer.endswith((b"\r", b"\n")) and bool(self._buffer)

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)


def is_comment(data: bytes | bytearray) -> bool:
    """Return whether lines of a stream are all empty or comments."""
    return _FIELD_LINE.search(data) is None


def _end_of_event(buffer: bytearray, start: int) -> int:
    ends = [at + len(mark) for mark in _MARKS if (at := buffer.find(mark, start)) >= 0]
    return min(ends, default=-1)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
