"""Resumes a stream of server-sent events over a new connection when it breaks."""

from collections import deque
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import NamedTuple, Self

import trio

from hemlocktrestle.daemon._relay import STREAM_END, LastLine, ends_with_mark
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    ID_DIGITS_MAX,
    EventSplitter,
    StreamEvent,
    is_comment,
    parts_of,
)
from hemlocktrestle.ports import (
    STREAM_ID_HEADER,
    BeforeWait,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)

RESUME_ATTEMPTS_MAX = 3
"""Most attempts to resume one stream."""

RESUME_PAUSE_S = 0.1
"""Pause before the second attempt in a row, in seconds; it doubles with each one."""

STREAM_SILENCE_S_MAX = 5.0
"""Silence of a resumable stream after which it is asked for anew, in seconds."""

RECENT_IDS_MAX = 128
"""IDs of the last events that are kept to know them again."""

_RESUME_HEADERS = frozenset({b"host", b"x-request-id", b"traceparent", b"tracestate"})


class _StreamIdentity(NamedTuple):
    """What the answers of one stream have in common."""

    stream_id: bytes | None
    content_type: bytes


def _stream_identity(answer: UpstreamAnswer) -> _StreamIdentity:
    lines = dict(answer.headers)
    return _StreamIdentity(
        lines.get(STREAM_ID_HEADER), lines.get(b"content-type", b"").lower()
    )


async def _no_action() -> None:
    """Default for ``before_wait``: do nothing."""


class ResumableStream:
    """The events of one answer, each complete and once, over several connections.

    If an engine sends a stream ID and event IDs, a broken stream is resumed with
    ``Last-Event-ID`` after the last complete event.
    Resuming asks for the rest of the same answer, so it is not a second dispatch.

    Args:
        answer: the engine's answer.
        call: the call that it answers.
        client: connects to upstreams.
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
        self._identity = _stream_identity(answer)
        self._answer = answer
        self._call = call
        self._client = client
        self._stack = stack
        self._splitter = EventSplitter()
        self._parts: deque[bytes] = deque()
        self._recent_ids: deque[str] = deque(maxlen=RECENT_IDS_MAX)
        self._last_event = StreamEvent(b"", "")
        self._seen_ids: Sequence[bytes] = ()
        self._before_wait: BeforeWait = _no_action
        self._successor: UpstreamAnswer | None = None
        self.resumed_count = 0

    def before_wait(self, action: BeforeWait) -> None:
        """Set the action to await each time before the stream waits for more bytes.

        Its duration depends on the caller, so it does not count as silence of the
        engine.
        """
        self._before_wait = action
        self._read_from(self._answer)

    def _read_from(self, answer: UpstreamAnswer) -> None:
        self._answer = answer
        if answer.before_wait is not None:
            answer.before_wait(self._before_wait)
        if answer.on_silence is not None:
            answer.on_silence(STREAM_SILENCE_S_MAX, self._search_successor)

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> bytes:
        """Return the next complete events.

        Raises:
            RequestError: why the stream broke and could not be resumed.
            StopAsyncIteration: at the end of the stream.
        """
        while True:
            try:
                events = self._splitter.feed(await self._next_part())
                if self._seen_ids:
                    events = self._drop_seen(events)
            except StopAsyncIteration:
                return await self._on_end()
            except RequestError as error:
                await self._resume(error)
                continue
            if events:
                return self._record(events)

    async def _next_part(self) -> bytes:
        """Return the next bytes; other tasks run between the parts of one piece."""
        if self._parts:
            await trio.lowlevel.checkpoint()
        else:
            self._parts.extend(parts_of(await self._next_piece()))
        return self._parts.popleft()

    async def _next_piece(self) -> bytes:
        if self._answer.before_wait is None:
            await self._before_wait()
        return await anext(self._answer.body)

    async def _search_successor(self) -> None:
        """Ask a silent engine for the rest of the stream on a new connection.

        The old connection is given up only once the engine has agreed.

        Raises:
            RequestError: ``UPSTREAM_SILENT``; a successor was found.
        """
        ids = self._known_ids()
        if not self._may_resume(ids):
            return
        self.resumed_count += 1
        self._successor = await self._request_remainder(ids[-1])
        if self._successor is not None:
            raise RequestError(ErrorKind.UPSTREAM_SILENT, "stream fell silent")

    def _may_resume(self, ids: Sequence[bytes]) -> bool:
        return (
            self._identity.stream_id is not None
            and bool(ids)
            and self.resumed_count < RESUME_ATTEMPTS_MAX
        )

    def _record(self, events: Sequence[StreamEvent]) -> bytes:
        """Record events and return them in the form in which they are passed on."""
        for event in events:
            if event.event_id:
                self._recent_ids.append(event.event_id)
            if not event.is_comment:
                self._last_event = event
        return b"".join([event.data for event in events])

    async def _on_end(self) -> bytes:
        rest = self._splitter.remainder
        self._splitter = EventSplitter()
        is_ended = _ends_stream(self._last_event.data)
        is_last = _ends_stream(rest) or (is_ended and is_comment(rest))
        if rest.strip() and is_last:
            return self._record([StreamEvent(rest.rstrip(b"\r\n") + b"\n\n", "")])
        if is_ended:
            raise StopAsyncIteration
        await self._resume(
            RequestError(ErrorKind.UPSTREAM_BROKEN, "stream ended before its end")
        )
        return await anext(self)

    async def _resume(self, error: RequestError) -> None:
        """Resume the stream, or raise the error that broke it."""
        if error.kind is ErrorKind.SLOW_READER:
            raise error
        await self._before_wait()
        self._splitter = EventSplitter()
        self._parts.clear()
        ids = self._known_ids()
        answer, self._successor = self._successor, None
        pause_s = 0.0
        while answer is None:
            if not self._may_resume(ids):
                raise error
            self.resumed_count += 1
            await trio.sleep(pause_s)
            pause_s = 2 * pause_s or RESUME_PAUSE_S
            answer = await self._request_remainder(ids[-1])
        self._read_from(answer)
        self._seen_ids = ids

    def _known_ids(self) -> tuple[bytes, ...]:
        return tuple(event_id.encode("latin-1") for event_id in self._recent_ids)

    async def _request_remainder(self, last_id: bytes) -> UpstreamAnswer | None:
        kept = [line for line in self._call.headers if line[0] in _RESUME_HEADERS]
        call = UpstreamCall(
            address=self._call.address,
            method="GET",
            target=self._call.target,
            headers=(*kept, (b"last-event-id", last_id)),
            body=b"",
            is_fresh_connection=True,
            inactivity_timeout_ms=int(STREAM_SILENCE_S_MAX * 1000),
        )
        try:
            answer = await self._stack.enter_async_context(self._client.call(call))
        except RequestError:
            return None
        is_same = _stream_identity(answer) == self._identity
        return answer if answer.status == 200 and is_same else None

    def _drop_seen(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Drop events that the engine repeats at the start of a resumed stream.

        Raises:
            RequestError: ``UPSTREAM_BROKEN`` if what follows is no event of the stream.
        """
        comments = []
        for index, event in enumerate(events):
            if event.is_comment:
                comments.append(event)
                continue
            if not event.event_id and not _ends_stream(event.data):
                raise RequestError(
                    ErrorKind.UPSTREAM_BROKEN, "engine did not resume the stream"
                )
            if not event.event_id or not self._is_seen(
                event.event_id.encode("latin-1")
            ):
                self._seen_ids = ()
                return comments + events[index:]
        return comments

    def _is_seen(self, event_id: bytes) -> bool:
        """Return whether the caller has an event already.

        Ids that end in a number increase, so older ones than those kept are known.
        """
        prefix, number = _split_id(event_id)
        last_prefix, last_number = _split_id(self._seen_ids[-1])
        if number is None or last_number is None or prefix != last_prefix:
            return event_id in self._seen_ids
        return number <= last_number


def _ends_stream(events: bytes) -> bool:
    """Return whether the last event, or its beginning, is the end of a stream."""
    line = LastLine()
    line.add(events)
    return ends_with_mark(b"\n" + line.text, STREAM_END)


def _split_id(event_id: bytes) -> tuple[bytes, int | None]:
    """Split an event id into its text and the number at its end, if it has one."""
    prefix = event_id.rstrip(b"0123456789")
    digits = event_id[len(prefix) :]
    if not 0 < len(digits) <= ID_DIGITS_MAX:
        return prefix, None
    return prefix, int(digits)
