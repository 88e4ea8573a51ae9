"""HTTP/1.1 server for callers, with control over how each connection is closed."""

import logging
import math
from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, first_leaf
from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay._body_budget import BodyMemoryBudget
from hemlocktrestle.relay._caller_request import CallerRequest, RequestBody

log = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
"""Size of one read from a connection, in bytes."""

PIPELINED_BYTES_MAX = 65_536
"""Limit of pipelined input that is buffered while an answer is sent, in bytes."""

SEND_TIMEOUT_S = 10.0
"""Timeout of a single send to a caller, in seconds."""

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
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        body_budget: BodyMemoryBudget,
    ) -> None:
        self._body_budget = body_budget
        self._reserved_bytes = 0
        self._held_body = RequestBody(b"")
        self._stream = stream
        self._limits = limits
        self._is_closing = is_closing
        self._machine = self._new_machine()
        self.is_answer_started = False
        self._unsent_head = b""
        self._handler_scope: trio.CancelScope | None = None
        self._is_between_requests = True
        self._has_answered = False
        self.idle_since_s = trio.current_time()
        self._read_scope = trio.CancelScope()
        self._is_head_request = False

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived since the last answer."""
        return self._is_between_requests and not self._machine.trailing_data[0]

    def stop_reading(self) -> None:
        """Close the connection, or refuse the request that is being received.

        A request that has already arrived on an idle connection is still served.
        """
        self._read_scope.cancel()

    def start_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], *, reason: bytes = b""
    ) -> None:
        """Set the status line and headers, which are sent with the first chunk."""
        lines = list(headers)
        if self._is_closing() and self._machine.our_state is not h11.MUST_CLOSE:
            lines.append((b"connection", b"close"))
        self.is_answer_started = True
        response = h11.Response(status_code=status, headers=lines, reason=reason)
        self._unsent_head = self._machine.send(response) or b""

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send(self._machine.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the answer; without this call the caller sees it as truncated."""
        await self._send(self._machine.send(h11.EndOfMessage()))

    async def send_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete answer in one send."""
        await self.send_blocks(status, headers, [body] if body else [])

    async def send_blocks(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        blocks: Sequence[bytes | bytearray],
    ) -> None:
        """Send a complete answer whose body comes in blocks, without a copy of it.

        A single block is sent together with the head.
        """
        length = sum(map(len, blocks))
        lines = [line for line in headers if line[0] != b"content-length"]
        lines.append((b"content-length", str(length).encode()))
        if self._is_closing():
            lines.append((b"connection", b"close"))
        self.is_answer_started = True
        send = self._machine.send
        data = send(h11.Response(status_code=status, headers=lines)) or b""
        # An answer to HEAD has the body's length but no body.
        if self._is_head_request:
            blocks = []
        for block in blocks[:-1]:
            await self._send(data + (send(h11.Data(data=bytes(block))) or b""))
            data = b""
        if blocks:
            data += send(h11.Data(data=bytes(blocks[-1]))) or b""
        data += send(h11.EndOfMessage()) or b""
        await self._send(data)

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
            await trio.aclose_forcefully(self._stream)

    async def _serve_all(
        self, handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]
    ) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            self.is_answer_started = False
            self._is_head_request = request.method == b"HEAD"
            await self._handle_until_disconnect(handle, request)
            self._release_body()
            states = {self._machine.our_state, self._machine.their_state}
            if states != {h11.DONE}:
                return
            self._has_answered = True
            self._machine.start_next_cycle()

    def _new_machine(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes_max,
        )

    async def _handle_until_disconnect(
        self,
        handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]],
        request: CallerRequest,
    ) -> None:
        try:
            async with trio.open_nursery() as nursery:
                self._handler_scope = nursery.cancel_scope
                nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
                await handle(request, self)
                nursery.cancel_scope.cancel()
        finally:
            self._handler_scope = None

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller disconnects; buffer pipelined input."""
        received = 0
        try:
            while received < PIPELINED_BYTES_MAX:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                if not data:
                    break
                received += len(data)
                self._machine.receive_data(bytes(data))
            else:
                return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # A broken connection counts as a disconnect.
            pass
        scope.cancel()

    async def _read_request(self) -> CallerRequest | None:
        """Read one request; ``None`` if the connection is closed before it."""
        try:
            head = await self._read_head()
            if head is None:
                return None
            arrived_ms = trio.current_time() * 1000
            if self._machine.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                await self._send(self._machine.send(informational))
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
                return event
            if event is not h11.NEED_DATA:
                return None
            is_head_started = bool(self._machine.trailing_data[0])
            if is_head_started and head_until_s == float("inf"):
                header_timeout_s = self._limits().header_timeout_ms / 1000
                head_until_s = trio.current_time() + header_timeout_s
            until_s = head_until_s if is_head_started else self._idle_until_s()
            data = await self._receive(until_s)
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
                data = await self._receive(trio.current_time() + BODY_READ_TIMEOUT_S)
                if data is None:
                    raise self._unread_error("body came too slowly")
                self._machine.receive_data(data)
            else:
                return None

    async def _receive(self, until_s: float) -> bytes | None:
        """Receive bytes; ``None`` if none came in time or reading was stopped."""
        with trio.CancelScope(deadline=until_s) as self._read_scope:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        if self.is_idle and trio.current_time() < until_s:
            # Stopped: a request may have arrived that was not read yet.
            with trio.move_on_after(LAST_READ_TIMEOUT_S):
                return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        return None

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
        self._is_head_request = False
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

    async def _send(self, data: bytes | None) -> None:
        data = self._unsent_head + (data or b"")
        self._unsent_head = b""
        if not data:
            return
        if self._handler_scope is None:
            await self._send_before_handler(data)
            return
        # A caller that reads too little counts as disconnected.  The scope of the
        # handler bounds the send: a scope for each event would cost more than the
        # event itself.
        self._handler_scope.deadline = trio.current_time() + SEND_TIMEOUT_S
        try:
            await self._stream.send_all(data)
        finally:
            self._handler_scope.deadline = math.inf

    async def _send_before_handler(self, data: bytes) -> None:
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("caller took in too little")
