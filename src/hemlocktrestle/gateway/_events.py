"""Server-sent events, cut out of a byte stream."""

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """One whole event with its closing blank line; ``event_id`` may be empty."""

    data: bytes
    event_id: str


class EventSplitter:
    """Cuts a byte stream into whole events, whatever the size of its pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) >= 0:
            whole = bytes(self._buffer[:end])
            del self._buffer[:end]
            events.append(StreamEvent(whole, _event_id(whole)))
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes that no event has been completed with."""
        return bytes(self._buffer)


def _end_of_event(buffer: bytearray) -> int:
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := buffer.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _event_id(event: bytes) -> str:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return ""
