"""Sends answers on a caller's connection, with a limit on the time of each send."""

import math
from collections.abc import Callable, Sequence

import h11
import trio

SEND_TIMEOUT_S = 10.0
"""Timeout of a single send to a caller, in seconds."""

PROGRESS_BYTES = 16_384
"""Bytes after which a caller that reads slowly counts as reading, in bytes."""


class AnswerSender:
    """Sends the answers of one connection.

    Args:
        stream: the connection.
        machine: its HTTP state.
        is_closing: whether the connection is closed after the current answer.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        machine: h11.Connection,
        *,
        is_closing: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._machine = machine
        self._is_closing = is_closing
        self._unsent_head = b""
        self.is_answer_started = False
        self.is_head_request = False
        self.handler_scope: trio.CancelScope | None = None
        self._sending_since_s = math.inf
        self.stuck_since_s = math.inf
        """Since when the connection has taken nothing of what is being sent."""

    @property
    def has_timed_out(self) -> bool:
        """Whether a send took too long."""
        return trio.current_time() - self._sending_since_s >= SEND_TIMEOUT_S

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

    async def send_event(self, event: h11.Event) -> None:
        """Send one event of the answer, after a head that waits for it."""
        await self.send(self._machine.send(event))

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
        if self.is_head_request:
            blocks = []
        for block in blocks[:-1]:
            await self.send(data + (send(h11.Data(data=bytes(block))) or b""))
            data = b""
        if blocks:
            data += send(h11.Data(data=bytes(blocks[-1]))) or b""
        data += send(h11.EndOfMessage()) or b""
        await self.send(data)

    async def send(self, data: bytes | None) -> None:
        """Send bytes, after a head that waits for them.

        Raises:
            trio.BrokenResourceError: the caller took in too little.
        """
        data = self._unsent_head + (data or b"")
        self._unsent_head = b""
        if not data:
            return
        self._sending_since_s = trio.current_time()
        if self.handler_scope is None:
            await self._send_before_handler(data)
        else:
            await self._send_in_handler(data, self.handler_scope)
        self._sending_since_s = self.stuck_since_s = math.inf

    async def _send_in_handler(self, data: bytes, scope: trio.CancelScope) -> None:
        # A caller that reads too little counts as disconnected.  The scope of the
        # handler bounds the send: a scope for each event would cost more than the
        # event itself.
        scope.deadline = self._sending_since_s + SEND_TIMEOUT_S
        try:
            await self._send_parts(data)
        finally:
            scope.deadline = math.inf

    async def _send_before_handler(self, data: bytes) -> None:
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._send_parts(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("caller took in too little")

    async def _send_parts(self, data: bytes) -> None:
        """Send bytes, and note each part that the connection takes."""
        for start in range(0, len(data), PROGRESS_BYTES):
            self.stuck_since_s = trio.current_time()
            await self._stream.send_all(data[start : start + PROGRESS_BYTES])
