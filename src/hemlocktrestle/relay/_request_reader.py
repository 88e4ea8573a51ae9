"""Reads requests from a caller's connection, within limits of time and memory."""

from collections.abc import Callable

import h11
import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay._answer_sender import AnswerSender
from hemlocktrestle.relay._body_budget import BodyMemoryBudget, BudgetShare
from hemlocktrestle.relay._caller_request import CallerRequest, RequestBody
from hemlocktrestle.timers import Checkpointer

BODY_READ_BYTES = 65_536
"""Size of one read of a request's body, in bytes."""

HEAD_READ_BYTES = 16_384
"""Size of one read of a request's head, in bytes."""

BODY_READ_TIMEOUT_S = 10.0
"""Longest pause between two reads of a request body, in seconds."""

LAST_READ_TIMEOUT_S = 0.01
"""Time to read what has arrived on an idle connection that is closed, in seconds."""


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Args:
        stream: the connection.
        machine: its HTTP state.
        sender: sends what a request asks for before its body.
        limits: returns the limits in force.
        is_closing: whether connections are closed after the current answer.
        body_budget: memory budget for bodies.
        input_budget: memory budget for what belongs to no whole request.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        machine: h11.Connection,
        sender: AnswerSender,
        *,
        limits: Callable[[], CallerLimits],
        is_closing: Callable[[], bool],
        body_budget: BodyMemoryBudget,
        input_budget: BodyMemoryBudget,
    ) -> None:
        self._stream = stream
        self._machine = machine
        self._sender = sender
        self._limits = limits
        self._is_closing = is_closing
        self._body_budget = body_budget
        self.input_share = BudgetShare(input_budget)
        self._reserved_bytes = 0
        self._held_body = RequestBody(b"")
        self._is_between_requests = True
        self.has_answered = False
        self.idle_since_s = trio.current_time()
        self._read_scope = trio.CancelScope()
        self._checkpointer = Checkpointer()

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived since the last answer."""
        return self._is_between_requests and not self._machine.trailing_data[0]

    @property
    def unparsed_bytes(self) -> int:
        """What has been read and belongs to no request yet, in bytes."""
        return len(self._machine.trailing_data[0])

    def stop(self) -> None:
        """Stop reading; a request that has already arrived is still read."""
        self._read_scope.cancel()

    def release_body(self) -> None:
        """Return the memory of the last request's body."""
        self._held_body.release()
        self._body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    async def read(self) -> CallerRequest | None:
        """Read one request; ``None`` if the connection is closed before it.

        Raises:
            RequestError: the request is to be refused, and nothing ran.
        """
        head = await self._read_head()
        if head is None:
            return None
        arrived_ms = trio.current_time() * 1000
        if self._machine.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._sender.send_event(informational)
        body = await self._read_body()
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
                self.input_share.resize(0)
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
        if self._is_closing() and self.has_answered:
            # Its answer began before the shutdown and did not announce the close.
            idle_s = LAST_READ_TIMEOUT_S
        return self.idle_since_s + idle_s

    async def _read_body(self) -> bytes | None:
        pieces = bytearray()
        bytes_max = self._limits().body_bytes_max
        while True:
            # One read may bring thousands of chunks.
            await self._checkpointer.step()
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
        count = self.unparsed_bytes
        if not self.input_share.resize(count):
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
