"""Relays an upstream's answer to a caller, so that a truncated one is recognisable."""

import re
from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.adapters import Responder
from hemlocktrestle.errors import ErrorKind, Outcome, RequestError
from hemlocktrestle.ports import UpstreamAnswer

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, which are not passed on."""

SYSTEM_HEADERS = frozenset({b"x-request-id", b"x-hemlocktrestle-outcome"})
"""Response headers that only this system may set."""

STREAM_END = b"data: [DONE]"
"""Last line of a complete stream of a model engine."""

LINE_BYTES_MAX = 64
"""Bytes kept of an incomplete line; no end mark is as long."""

_EVENT_END = b"\n\n"
_LINE_ENDS = re.compile(rb"[\r\n]+")

_BODYLESS_STATUSES = frozenset({204, 304})

OUTCOME_COMMENT = b": hemlocktrestle-outcome complete\n\n"
"""Server-sent comment that closes a complete stream."""

ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Largest answer that is buffered until it is complete, in bytes."""


JOINED_BYTES_MAX = 64 * 1024
"""Largest piece into which smaller ones are joined, in bytes."""


class RelayedAnswer(NamedTuple):
    """A relayed answer: its head, its sizes and times, and its body if buffered."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None
    first_ms: float
    bytes_count: int
    piece_count: int


def forwarded_headers(
    headers: tuple[tuple[bytes, bytes], ...],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that are passed on to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in SYSTEM_HEADERS
    ]


def ends_with_mark(tail: bytes, end_mark: bytes) -> bool:
    """Return whether the last line of a stream is the end mark.

    Args:
        tail: the last bytes of the stream, with the line break before them.
        end_mark: the line; the same text within an event does not count.
    """
    return tail.rstrip(b"\r\n").endswith(b"\n" + end_mark)


class LastLine:
    """The last line of a stream that is neither empty nor a comment."""

    def __init__(self) -> None:
        self._whole = b""
        self._open = b""

    @property
    def text(self) -> bytes:
        """The line, or its beginning; empty if there is none."""
        return self._open if _has_text(self._open) else self._whole

    def add(self, data: bytes) -> None:
        """Add the next bytes of the stream."""
        if data.endswith(_EVENT_END) and b"\r" not in data:
            # Most pieces end with an event, whose last line is in the piece, too.
            start = data.rfind(b"\n", 0, -len(_EVENT_END)) + 1
            line = data[start : -len(_EVENT_END)]
            if start and _has_text(line):
                self._open, self._whole = b"", line
                return
        *lines, last = _LINE_ENDS.split(self._open + data)
        self._open = last[:LINE_BYTES_MAX]
        self._whole = next(filter(_has_text, reversed(lines)), self._whole)


def _has_text(line: bytes) -> bool:
    return bool(line) and not line.startswith(b":")


def is_self_delimited(answer: UpstreamAnswer, *, is_head: bool = False) -> bool:
    """Return whether a truncated body of the answer could be recognised.

    A body that is delimited by the close of the connection looks the same truncated
    and complete.
    """
    if is_head or answer.status in _BODYLESS_STATUSES:
        return True
    return any(
        name == b"content-length"
        or (name == b"transfer-encoding" and value.lower().endswith(b"chunked"))
        for name, value in answer.headers
    )


async def relay_buffered(
    answer: UpstreamAnswer, now_ms: Callable[[], float], *, is_head: bool = False
) -> RelayedAnswer:
    """Buffer a complete answer before any of it is passed on.

    Args:
        answer: the upstream's answer.
        now_ms: returns the time of the process in milliseconds.
        is_head: whether the request's method was ``HEAD``.

    Raises:
        RequestError: ``UPSTREAM_BROKEN`` or ``UPSTREAM_SILENT``.
    """
    if not is_self_delimited(answer, is_head=is_head):
        raise RequestError(ErrorKind.UPSTREAM_BROKEN, "answer states no length")
    first_ms = now_ms()
    pieces = bytearray()
    piece_count = 0
    async for piece in answer.body:
        if not pieces:
            first_ms = now_ms()
        pieces += piece
        piece_count += 1
        if len(pieces) > ANSWER_BYTES_MAX:
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "answer is too large")
    return RelayedAnswer(
        answer.status,
        answer.headers,
        bytes(pieces),
        first_ms,
        len(pieces),
        piece_count,
    )


async def relay_stream(
    answer: UpstreamAnswer,
    responder: Responder,
    now_ms: Callable[[], float],
    *,
    end_mark: bytes,
) -> RelayedAnswer:
    """Pass a stream on to the caller as it arrives.

    Args:
        answer: the upstream's answer.
        responder: sends to the caller.
        now_ms: returns the time of the process in milliseconds.
        end_mark: last line of a complete stream, or empty if any regular end of the
            body makes it complete.

    Returns:
        The relayed answer; its body is ``None``.

    Raises:
        RequestError: ``UPSTREAM_BROKEN`` or ``UPSTREAM_SILENT``.
    """
    if not end_mark and not is_self_delimited(answer):
        raise RequestError(ErrorKind.UPSTREAM_BROKEN, "answer states no length")
    # More than the upstream's body may be sent.
    headers = [
        line
        for line in forwarded_headers(answer.headers)
        if line[0] != b"content-length"
    ]
    await responder.send_head(answer.status, headers, Outcome.UNKNOWN)
    first_ms = 0.0
    bytes_count = piece_count = 0
    last_line = LastLine()
    joined = bytearray()

    async def pass_on() -> None:
        if joined:
            data = bytes(joined)
            joined.clear()
            last_line.add(data)
            await responder.send_chunk(data)

    # Pieces that arrived together are sent together, before the body waits for more.
    if answer.before_wait is not None:
        answer.before_wait(pass_on)
    try:
        async for piece in answer.body:
            if not piece_count:
                first_ms = now_ms()
            joined += piece
            bytes_count += len(piece)
            piece_count += 1
            if answer.before_wait is None or len(joined) >= JOINED_BYTES_MAX:
                await pass_on()
    except RequestError:
        await pass_on()
        raise
    await pass_on()
    if end_mark and not ends_with_mark(b"\n" + last_line.text, end_mark):
        raise RequestError(ErrorKind.UPSTREAM_BROKEN, "stream ended before its end")
    if end_mark:
        await responder.send_chunk(OUTCOME_COMMENT)
    await responder.finish()
    return RelayedAnswer(
        answer.status, answer.headers, None, first_ms, bytes_count, piece_count
    )
