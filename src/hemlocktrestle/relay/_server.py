"""HTTP/1.1 towards callers, with control over how each connection ends."""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11
import trio

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError
from hemlocktrestle.gateway import CallerLimits, Headers
from hemlocktrestle.relay._body_budget import BodyMemoryBudget

log = logging.getLogger(__name__)

RECEIVE_BYTES = 65_536
"""Bytes read from a connection at a time."""

PIPELINED_BYTES_MAX = 65_536
"""Bytes of later requests that are taken in while an answer goes out."""

READER_SILENCE_S = 10.0
"""Longest time for a caller to take in one piece of an answer, in seconds."""

BODY_SILENCE_S = 10.0
"""Longest silence while a body is received, in seconds."""


class CallerRequest(NamedTuple):
    """A whole request of a caller.

    Args:
        method: the method.
        target: the request target as it came.
        headers: header lines, names in lower case.
        body: the whole body.
        arrived_ms: when its head had come, by the clock of the process.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_ms: float


class CallerConnection:
    """One connection of a caller.

    Args:
        stream: the connection.
        limits: returns the limits in force.
        is_closing: whether connections close after the answer in hand.
        body_budget: memory for bodies, shared with other connections.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        *,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        body_budget: BodyMemoryBudget,
    ) -> None:
        self._body_room = body_budget
        self._body_bytes = 0
        self._stream = stream
        self._limits = limits
        self._is_closing = is_closing
        self._machine = self._new_machine()
        self.is_answer_started = False
        self.is_idle = True
        self._is_head = False

    async def send_head(
        self, status: int, headers: list[tuple[bytes, bytes]], *, reason: bytes = b""
    ) -> None:
        """Send the head of an answer."""
        lines = list(headers)
        if self._is_closing() and self._machine.our_state is not h11.MUST_CLOSE:
            lines.append((b"connection", b"close"))
        self.is_answer_started = True
        response = h11.Response(status_code=status, headers=lines, reason=reason)
        await self._send(self._machine.send(response))

    async def send_chunk(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._send(self._machine.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End the answer; without this call it is visibly cut."""
        await self._send(self._machine.send(h11.EndOfMessage()))

    async def send_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer in one piece."""
        lines = [line for line in headers if line[0] != b"content-length"]
        lines.append((b"content-length", str(len(body)).encode()))
        if self._is_closing():
            lines.append((b"connection", b"close"))
        self.is_answer_started = True
        send = self._machine.send
        data = send(h11.Response(status_code=status, headers=lines)) or b""
        # A HEAD request gets the length without the body.
        if body and not self._is_head:
            data += send(h11.Data(data=body)) or b""
        data += send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def serve(
        self, handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]
    ) -> None:
        """Serve requests until the connection ends.

        Args:
            handle: answers one request; it is cancelled if the caller goes away.
        """
        try:
            await self._serve_all(handle)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            log.debug("caller_connection_broke")
        except* h11.LocalProtocolError as errors:
            # The answer in hand could not be put into HTTP; the caller sees a cut.
            reason = str(errors.exceptions[0])
            log.warning("answer_not_sendable", extra={"reason": reason})
        finally:
            self._forget_body()
            await trio.aclose_forcefully(self._stream)

    async def _serve_all(
        self, handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]]
    ) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            self.is_answer_started = False
            self._is_head = request.method == b"HEAD"
            await self._handle_watched(handle, request)
            self._forget_body()
            states = {self._machine.our_state, self._machine.their_state}
            if states != {h11.DONE} or self._is_closing():
                return
            self._machine.start_next_cycle()

    def _new_machine(self) -> h11.Connection:
        return h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes_max,
        )

    async def _handle_watched(
        self,
        handle: Callable[[CallerRequest, "CallerConnection"], Awaitable[None]],
        request: CallerRequest,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_gone, nursery.cancel_scope)
            await handle(request, self)
            nursery.cancel_scope.cancel()

    async def _cancel_when_gone(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes; keep what it sends early."""
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
            # A broken connection is a caller that left.
            pass
        scope.cancel()

    async def _read_request(self) -> CallerRequest | None:
        """Read one request, or ``None`` if the connection ends without one."""
        try:
            head = await self._read_head()
            if head is None:
                return None
            arrived_ms = trio.current_time() * 1000
            if self._machine.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._send(self._machine.send(go_on))
            body = await self._read_body()
        except RequestError as error:
            self._forget_body()
            await self._refuse(error)
            return None
        if body is None:
            return None
        return CallerRequest(
            bytes(head.method),
            bytes(head.target),
            tuple((bytes(name), bytes(value)) for name, value in head.headers),
            body,
            arrived_ms,
        )

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        idle_until_s = trio.current_time() + limits.idle_timeout_ms / 1000
        head_until_s = float("inf")
        self.is_idle = True
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
                self.is_idle = False
                return event
            if event is not h11.NEED_DATA:
                return None
            has_part = bool(self._machine.trailing_data[0])
            if has_part and head_until_s == float("inf"):
                head_until_s = trio.current_time() + limits.header_timeout_ms / 1000
            until_s = head_until_s if has_part else idle_until_s
            data = None
            with trio.move_on_at(until_s):
                data = await self._stream.receive_some(RECEIVE_BYTES)
            if data is None:
                if has_part:
                    raise RequestError(ErrorKind.SLOW_SENDER, "head came too slowly")
                return None
            self._machine.receive_data(bytes(data))
            if not data and not has_part:
                return None

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
                self._keep_body(len(event.data))
                pieces += event.data
                if len(pieces) > bytes_max:
                    raise RequestError(
                        ErrorKind.BODY_TOO_LARGE, f"body exceeds {bytes_max} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                return bytes(pieces)
            elif event is h11.NEED_DATA:
                data = None
                with trio.move_on_after(BODY_SILENCE_S):
                    data = await self._stream.receive_some(RECEIVE_BYTES)
                if data is None:
                    raise RequestError(ErrorKind.SLOW_SENDER, "body came too slowly")
                self._machine.receive_data(bytes(data))
            else:
                return None

    def _keep_body(self, count: int) -> None:
        if not self._body_room.reserve(count):
            raise RequestError(ErrorKind.SHED, "no memory is left for bodies")
        self._body_bytes += count

    def _forget_body(self) -> None:
        self._body_room.release(self._body_bytes)
        self._body_bytes = 0

    async def _refuse(self, error: RequestError) -> None:
        """Answer a request that cannot be read, and close."""
        if self._machine.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        self._is_head = False
        answer = ANSWERS[error.kind]
        lines = [(b"connection", b"close")]
        if answer.retry_after_s is not None:
            lines.append((b"retry-after", str(answer.retry_after_s).encode()))
        log.info(
            "request_unread",
            extra={"reason": error.kind.value, "status": answer.status},
        )
        await self.send_answer(answer.status, lines, b"")

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        with trio.move_on_after(READER_SILENCE_S) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("caller took in too little")
