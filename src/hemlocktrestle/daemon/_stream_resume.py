"""A stream of events that is carried on over a new connection when it breaks."""

import math
import re
from collections import deque
from contextlib import AsyncExitStack
from typing import Self

import trio

from hemlocktrestle.daemon._relay import STREAM_END, ends_with_mark
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    STREAM_ID_HEADER,
    BeforeWait,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)

RESUME_ATTEMPTS_MAX = 3
"""How often one stream may be carried on."""

RESUME_PAUSE_S = 0.1
"""Pause before the second attempt in a row, in seconds; it doubles."""

GAP_S = 5.0
"""Longest silence between the events of a stream that can be resumed, in seconds."""

EVENT_BYTES_MAX = 1024 * 1024
"""Largest event that is held until it is whole, in bytes."""

RECENT_PIECES = 32
"""Pieces in which the ids of the last events are looked for."""

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
_KEPT_HEADERS = frozenset({b"host", b"x-request-id", b"traceparent", b"tracestate"})


class EventSplitter:
    """Cuts a stream of bytes after whole events, without reading them."""

    def __init__(self) -> None:
        self._held = b""

    def feed(self, piece: bytes) -> bytes:
        """Take in a piece and return the whole events that are there.

        Raises:
            RequestError: ``UPSTREAM_BROKEN`` if an event exceeds the limit.
        """
        if self._held:
            piece = self._held + piece
            self._held = b""
        if piece.endswith(_EVENT_ENDS[0]):
            return piece
        cut = max(_end_of_last(piece, end) for end in _EVENT_ENDS)
        self._held = piece[cut:]
        if len(self._held) > EVENT_BYTES_MAX:
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "event is too large")
        return piece[:cut]

    def rest(self) -> bytes:
        """Return what follows the last whole event, and forget it."""
        rest, self._held = self._held, b""
        return rest


def _end_of_last(piece: bytes, end: bytes) -> int:
    found = piece.rfind(end)
    return 0 if found < 0 else found + len(end)


async def _wait_for_nothing() -> None:
    """Stand for nothing that is to be done before a wait."""


class ResumableStream:
    """The events of one answer, each whole and once, over several connections.

    An engine that names its stream and the ids of its events is asked for what
    follows the last one that came whole.  That asks for the rest of an answer, and
    so is no second dispatch.

    Args:
        answer: the engine's answer.
        call: the call that it answers.
        client: dials upstreams.
        stack: owns the connections.
    """

    def __init__(
        self,
        answer: UpstreamAnswer,
        *,
        call: UpstreamCall,
        client: UpstreamClient,
        stack: AsyncExitStack,
    ) -> None:
        self._stream_id = dict(answer.headers).get(STREAM_ID_HEADER)
        self._answer = answer
        self._call = call
        self._client = client
        self._stack = stack
        self._splitter = EventSplitter()
        self._recent: deque[bytes] = deque(maxlen=RECENT_PIECES)
        self._seen_ids: frozenset[bytes] = frozenset()
        self._before_wait: BeforeWait = _wait_for_nothing
        self._gap = trio.CancelScope()
        self.resumed_count = 0

    def before_wait(self, action: BeforeWait) -> None:
        """Set what is awaited each time before the stream waits for more bytes.

        The time that it takes is the caller's and counts as no silence.
        """

        async def uncounted() -> None:
            self._gap.deadline = math.inf
            await action()
            self._gap.deadline = trio.current_time() + GAP_S

        self._before_wait = uncounted
        self._follow(self._answer)

    def _follow(self, answer: UpstreamAnswer) -> None:
        self._answer = answer
        if answer.before_wait is not None:
            answer.before_wait(self._before_wait)

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        """Return the next whole events.

        Raises:
            RequestError: why the stream broke and could not be carried on.
            StopAsyncIteration: at the end of the stream.
        """
        while True:
            try:
                events = self._splitter.feed(await self._next_piece())
            except StopAsyncIteration:
                return await self._ended()
            except RequestError as error:
                await self._resume(error)
                continue
            if self._seen_ids:
                events = self._drop_seen(events)
            if events:
                self._recent.append(events)
                return events

    async def _next_piece(self) -> bytes:
        if self._answer.before_wait is None:
            await self._before_wait()
        if self._stream_id is None or not self._recent:
            return await anext(self._answer.body)
        with trio.move_on_after(GAP_S) as self._gap:
            return await anext(self._answer.body)
        raise RequestError(ErrorKind.UPSTREAM_SILENT, "stream fell silent")

    async def _ended(self) -> bytes:
        rest = self._splitter.rest()
        last = self._recent[-1] if self._recent else b""
        if rest and ends_with_mark(b"\n" + rest, STREAM_END):
            self._recent.append(b"\n" + rest)
            return rest.rstrip(b"\r\n") + b"\n\n"
        if ends_with_mark(b"\n" + last, STREAM_END):
            raise StopAsyncIteration
        await self._resume(
            RequestError(ErrorKind.UPSTREAM_BROKEN, "stream ended before its end")
        )
        return await anext(self)

    async def _resume(self, error: RequestError) -> None:
        """Ask for the rest of the stream, or raise why it broke."""
        if error.kind is ErrorKind.SLOW_READER:
            raise error
        await self._before_wait()
        self._splitter.rest()
        ids = self._recent_ids()
        pause_s = 0.0
        while self.resumed_count < RESUME_ATTEMPTS_MAX:
            if self._stream_id is None or not ids:
                break
            self.resumed_count += 1
            await trio.sleep(pause_s)
            pause_s = 2 * pause_s or RESUME_PAUSE_S
            answer = await self._ask_for_rest(ids[-1])
            if answer is not None:
                self._follow(answer)
                self._seen_ids = frozenset(ids)
                return
        raise error

    def _recent_ids(self) -> list[bytes]:
        return _ID_LINE.findall(b"".join(self._recent))

    async def _ask_for_rest(self, last_id: bytes) -> UpstreamAnswer | None:
        kept = [line for line in self._call.headers if line[0] in _KEPT_HEADERS]
        call = UpstreamCall(
            address=self._call.address,
            method="GET",
            target=self._call.target,
            headers=(*kept, (b"last-event-id", last_id)),
            body=b"",
            is_fresh_connection=True,
            inactivity_timeout_ms=int(GAP_S * 1000),
        )
        try:
            answer = await self._stack.enter_async_context(self._client.call(call))
        except RequestError:
            return None
        is_same = dict(answer.headers).get(STREAM_ID_HEADER) == self._stream_id
        return answer if answer.status == 200 and is_same else None

    def _drop_seen(self, events: bytes) -> bytes:
        """Drop events at the start of a resumed stream that came before."""
        while events:
            ends = [
                at + len(end) for end in _EVENT_ENDS if (at := events.find(end)) + 1
            ]
            event = events[: min(ends)]
            found = _ID_LINE.search(event)
            if found is None or found[1] not in self._seen_ids:
                self._seen_ids = frozenset()
                return events
            events = events[len(event) :]
        return b""
