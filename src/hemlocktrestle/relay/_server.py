"""HTTP/1.1 server for callers, with control over how each connection is closed."""

import logging
from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, first_leaf
from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay._answer_sender import AnswerSender
from hemlocktrestle.relay._body_budget import BodyMemoryBudget, BudgetShare
from hemlocktrestle.relay._caller_request import CallerRequest, RequestBody
from hemlocktrestle.relay._cut_reason import CutReason

log = logging.getLogger(__name__)

BODY_READ_BYTES = 65_536
"""Size of one read of a request's body, in bytes."""

HEAD_READ_BYTES = 16_384
"""Size of one read of a request's head, in bytes."""

AHEAD_READ_BYTES = 4_096
"""Size of one read while a request is in hand, in bytes."""

AHEAD_BYTES_MAX = 65_536
"""Most that a connection holds of what is sent ahead of an answer, in bytes."""

BODY_READ_TIMEOUT_S = 10.0
"""Longest pause between two reads of a request body, in seconds."""

LAST_READ_TIMEOUT_S = 0.01
"""Time to read what has arrived on an idle connection that is closed, in seconds."""


class CallerConnection:
    """One connection of a caller.

    Args:
        stream: the connection.
        limits: returns the limits in force.
        is_closing: whether connections are closed after the current answer.
        body_budget: memory budget for bodies, shared with other connections.
        input_budget: memory budget for what has been read and belongs to no request
            yet, shared with other connections; by default one of its own.
        on_cut: called when the connection is closed before its time.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        body_budget: BodyMemoryBudget,
        input_budget: BodyMemoryBudget | None = None,
        on_cut: Callable[[CutReason], None] = lambda reason: None,
    ) -> None:
        self._body_budget = body_budget
        self._input_share = BudgetShare(
            input_budget or BodyMemoryBudget(AHEAD_BYTES_MAX)
        )
        self._on_cut = on_cut
        self._cut_reason: CutReason | None = None
        self._reserved_bytes = 0
        self._held_body = RequestBody(b"")
        self._stream = stream
        self._limits = limits
        self._is_closing = is_closing
        self._machine = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=limits().header_bytes_max
        )
        self._sender = AnswerSender(stream, self._machine, is_closing=is_closing)
        self._is_between_requests = True
        self._has_answered = False
        self.idle_since_s = trio.current_time()
        self._read_scope = trio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived since the last answer."""
        return self._is_between_requests and not self._machine.trailing_data[0]

    def stop_reading(self) -> None:
        """Close the connection, or refuse the request that is being received.

        A request that has already arrived on an idle connection is still served.
        """
        self._read_scope.cancel()

    @property
    def is_answer_started(self) -> bool:
        """Whether the current request's answer has begun."""
        return self._sender.is_answer_started

    @property
    def stuck_since_s(self) -> float:
        """Since when the caller takes in nothing of an answer; infinite if it does."""
        return self._sender.stuck_since_s

    @property
    def is_cut(self) -> bool:
        """Whether the connection is being closed before its time."""
        return self._cut_reason is not None

    def cut(self, reason: CutReason) -> None:
        """Close the connection and cancel the request in hand, if there is one."""
        self._cut_reason = self._cut_reason or reason
        if self._sender.handler_scope is not None:
            self._sender.handler_scope.cancel()

    def start_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], *, reason: bytes = b""
    ) -> None:
        """Set the status line and headers, which are sent with the first chunk."""
        self._sender.start_answer(status, headers, reason=reason)

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._sender.send_event(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer; without this call the caller sees it as truncated."""
        await self._sender.send_event(h11.EndOfMessage())

    async def send_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete answer in one send."""
        await self._sender.send_blocks(status, headers, [body] if body else [])

    async def send_blocks(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        blocks: Sequence[bytes | bytearray],
    ) -> None:
        """Send a complete answer whose body comes in blocks, without a copy of it."""
        await self._sender.send_blocks(status, headers, blocks)

    async def serve(
        self, handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]
    ) -> None:
        """Serve requests until the connection ends.

        Args:
            handle: answers one request; cancelled if the caller disconnects.
        """
        try:
            await self._serve_all(handle)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("caller_connection_broke")
        except* h11.LocalProtocolError as errors:
            # The answer is not valid HTTP, so the caller gets another one.
            reason = str(first_leaf(errors))
            log.warning("answer_not_sendable", extra={"reason": reason})
            await self._answer_internal_error()
        except* Exception as errors:
            # An error in one request must not end the process and all the others.
            log.error("request_failed", exc_info=errors)
            await self._answer_internal_error()
        finally:
            self._release_body()
            self._input_share.resize(0)
            self._report_cut()
            await trio.aclose_forcefully(self._stream)

    def _report_cut(self) -> None:
        if self._cut_reason is None and self._sender.has_timed_out:
            self._cut_reason = CutReason.UNREAD
        if self._cut_reason is not None:
            log.info("connection_cut", extra={"reason": self._cut_reason.value})
            self._on_cut(self._cut_reason)

    async def _serve_all(
        self, handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]
    ) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            self._sender.is_answer_started = False
            self._sender.is_head_request = request.method == b"HEAD"
            await self._handle_until_disconnect(handle, request)
            self._release_body()
            states = {self._machine.our_state, self._machine.their_state}
            if states != {h11.DONE} or self._cut_reason is not None:
                return
            self._has_answered = True
            self._machine.start_next_cycle()

    async def _handle_until_disconnect(
        self,
        handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]],
        request: CallerRequest,
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self._sender.handler_scope = nursery.cancel_scope
                nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
                await handle(request, self)
                nursery.cancel_scope.cancel()
        finally:
            self._sender.handler_scope = None

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller disconnects or sends too much ahead.

        What is sent ahead is read, as bytes that wait in the kernel take memory, too.
        """
        ahead_bytes = self._unparsed_bytes
        try:
            while self._may_hold_ahead(ahead_bytes):
                data = bytes(await self._stream.receive_some(AHEAD_READ_BYTES))
                if not data:
                    break
                ahead_bytes += len(data)
                if ahead_bytes <= AHEAD_BYTES_MAX:
                    self._machine.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A broken connection counts as a disconnect.
            pass
        scope.cancel()

    def _may_hold_ahead(self, count: int) -> bool:
        """Reserve memory for what was sent ahead; if there is none, cut."""
        if count > AHEAD_BYTES_MAX:
            self.cut(CutReason.SENT_AHEAD)
        elif not self._input_share.resize(count):
            self.cut(CutReason.INPUT_MEMORY)
        return self._cut_reason is None

    @property
    def _unparsed_bytes(self) -> int:
        """What has been read and belongs to no request yet, in bytes."""
        return len(self._machine.trailing_data[0])

    async def _read_request(self) -> CallerRequest | None:
        """Read one request; ``None`` if the connection is closed before it."""
        try:
            head = await self._read_head()
            if head is None:
                return None
            arrived_ms = trio.current_time() * 1000
            if self._machine.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                await self._sender.send_event(informational)
            body = await self._read_body()
        except RequestError as error:
            self._release_body()
            await self._refuse(error)
            return None
        if body is None:
            return None
        self._held_body = RequestBody(body)
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            self._held_body,
            arrived_ms,
        )

    async def _read_head(self) -> h11.Request | None:
        head_until_s = float("inf")
        self._is_between_requests = True
        self.idle_since_s = trio.current_time()
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                kind = (
                    ErrorKind.HEADERS_TOO_LARGE
                    if error.error_status_hint == 431
                    else ErrorKind.BAD_REQUEST
                )
                raise RequestError(kind, "request cannot be read") from error
            if isinstance(event, h11.Request):
                self._is_between_requests = False
                self._input_share.resize(0)
                return event
            if event is not h11.NEED_DATA:
                return None
            is_head_started = self._reserve_unparsed()
            if is_head_started and head_until_s == float("inf"):
                header_timeout_s = self._limits().header_timeout_ms / 1000
                head_until_s = trio.current_time() + header_timeout_s
            until_s = head_until_s if is_head_started else self._idle_until_s()
            data = await self._receive(until_s, HEAD_READ_BYTES)
            if data is None:
                if is_head_started:
                    raise self._unread_error("head came too slowly")
                if until_s < self._idle_until_s() and not self._is_closing():
                    # A new configuration has raised the limit in the meantime.
                    continue
                return None
            self._machine.receive_data(data)
            if not data and not is_head_started:
                return None

    def _idle_until_s(self) -> float:
        """Return when a connection without a request is closed."""
        idle_s = self._limits().idle_timeout_ms / 1000
        if self._is_closing() and self._has_answered:
            # Its answer began before the shutdown and did not announce the close.
            idle_s = LAST_READ_TIMEOUT_S
        return self.idle_since_s + idle_s

    async def _read_body(self) -> bytes | None:
        pieces = bytearray()
        bytes_max = self._limits().body_bytes_max
        while True:
            try:
                event = self._machine.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(
                    ErrorKind.BAD_REQUEST, "body cannot be read"
                ) from error
            if isinstance(event, h11.Data):
                self._reserve_body(len(event.data))
                pieces += event.data
                if len(pieces) > bytes_max:
                    raise RequestError(
                        ErrorKind.BODY_TOO_LARGE, f"body exceeds {bytes_max} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(pieces)
            elif event is h11.NEED_DATA:
                self._reserve_unparsed()
                until_s = trio.current_time() + BODY_READ_TIMEOUT_S
                data = await self._receive(until_s, BODY_READ_BYTES)
                if data is None:
                    raise self._unread_error("body came too slowly")
                self._machine.receive_data(data)
            else:
                return None

    async def _receive(self, until_s: float, bytes_max: int) -> bytes | None:
        """Receive bytes; ``None`` if none came in time or reading was stopped."""
        with trio.CancelScope(deadline=until_s) as self._read_scope:
            return bytes(await self._stream.receive_some(bytes_max))
        if self.is_idle and trio.current_time() < until_s:
            # Stopped: a request may have arrived that was not read yet.
            with trio.move_on_after(LAST_READ_TIMEOUT_S):
                return bytes(await self._stream.receive_some(bytes_max))
        return None

    def _reserve_unparsed(self) -> bool:
        """Reserve memory for a part of a request; return whether there is one."""
        count = self._unparsed_bytes
        if not self._input_share.resize(count):
            raise RequestError(ErrorKind.SHED, "no memory is left for requests")
        return count > 0

    def _unread_error(self, message: str) -> RequestError:
        """Return the error of a request that did not arrive in time."""
        if self._is_closing():
            return RequestError(ErrorKind.DRAINING, "this VM is leaving")
        return RequestError(ErrorKind.SLOW_SENDER, message)

    def _reserve_body(self, count: int) -> None:
        if not self._body_budget.reserve(count):
            raise RequestError(ErrorKind.SHED, "no memory is left for bodies")
        self._reserved_bytes += count

    def _release_body(self) -> None:
        self._held_body.release()
        self._body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def _refuse(self, error: RequestError) -> None:
        """Send the error answer to an unreadable request; the connection is closed."""
        if self._machine.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self._sender.is_head_request = False
        answer = ANSWERS[error.kind]
        lines = [(b"connection", b"close")]
        if answer.retry_after_s is not None:
            lines.append((b"retry-after", str(answer.retry_after_s).encode()))
        log.info(
            "request_unread",
            extra={"reason": error.kind.value, "status": answer.status},
        )
        await self.send_answer(answer.status, lines, b"")

    async def _answer_internal_error(self) -> None:
        """Answer 500 if no part of another answer was sent."""
        try:
            await self._refuse(RequestError(ErrorKind.INTERNAL, "internal error"))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("caller_connection_broke")
