"""HTTP/1.1 server for callers, with control over how each connection is closed."""

import logging
from collections.abc import Awaitable, Callable, Sequence

import h11
import trio

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, first_leaf
from hemlocktrestle.gateway import CallerLimits
from hemlocktrestle.relay._answer_sender import AnswerSender
from hemlocktrestle.relay._body_budget import BodyMemoryBudget
from hemlocktrestle.relay._caller_request import CallerRequest
from hemlocktrestle.relay._cut_reason import CutReason
from hemlocktrestle.relay._request_reader import RequestReader

log = logging.getLogger(__name__)

AHEAD_READ_BYTES = 4_096
"""Size of one read while a request is in hand, in bytes."""

AHEAD_BYTES_MAX = 65_536
"""Most that a connection holds of what is sent ahead of an answer, in bytes."""


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
        self._on_cut = on_cut
        self._cut_reason: CutReason | None = None
        self._stream = stream
        self._machine = h11.Connection(
            our_role=h11.SERVER, max_incomplete_event_size=limits().header_bytes_max
        )
        self._sender = AnswerSender(stream, self._machine, is_closing=is_closing)
        self._reader = RequestReader(
            stream,
            self._machine,
            self._sender,
            limits=limits,
            is_closing=is_closing,
            body_budget=body_budget,
            input_budget=input_budget or BodyMemoryBudget(AHEAD_BYTES_MAX),
        )

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has arrived since the last answer."""
        return self._reader.is_idle

    @property
    def idle_since_s(self) -> float:
        """Since when the connection waits for a request."""
        return self._reader.idle_since_s

    def stop_reading(self) -> None:
        """Close the connection, or refuse the request that is being received.

        A request that has already arrived on an idle connection is still served.
        """
        self._reader.stop()

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
            self._reader.release_body()
            self._reader.input_share.resize(0)
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
            self._reader.release_body()
            states = {self._machine.our_state, self._machine.their_state}
            if states != {h11.DONE} or self._cut_reason is not None:
                return
            self._reader.has_answered = True
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
        ahead_bytes = self._reader.unparsed_bytes
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
        elif not self._reader.input_share.resize(count):
            self.cut(CutReason.INPUT_MEMORY)
        return self._cut_reason is None

    async def _read_request(self) -> CallerRequest | None:
        """Read one request; ``None`` if there is none or it was refused."""
        try:
            return await self._reader.read()
        except RequestError as error:
            self._reader.release_body()
            await self._refuse(error)
            return None

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
