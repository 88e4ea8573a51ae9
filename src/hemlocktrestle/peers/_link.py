"""Links between VMs: framed messages over TCP, with or without TLS."""

import ssl
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

import trio

from hemlocktrestle.documents import host_and_port
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.peers._outgoing import frame_or_drop
from hemlocktrestle.wire import (
    PROTOCOL_VERSION,
    FrameReader,
    Hello,
    Message,
    frame_bytes,
)

RECEIVE_TIMEOUT_S = 2.0
"""Time without received data after which a link counts as dead, in seconds."""

HANDSHAKE_TIMEOUT_S = 2.0
"""Timeout of the connect, and of the handshake that follows it, in seconds."""

OUTBOX_MESSAGES_MAX = 4_096
"""Capacity of a link's send queue, in messages."""

RECEIVE_BYTES = 65_536
"""Bytes read from a link at a time."""


class LinkEvents(NamedTuple):
    """Callbacks of a link; none of them may block.

    ``opened`` is called with the peer's :class:`Hello` and the link, before any
    message; ``received`` with the peer's VM name and a message; ``closed`` with the
    peer's VM name and the link.
    """

    opened: Callable[[Hello, "Link"], None]
    received: Callable[[str, Message], None]
    closed: Callable[[str, "Link"], None]


class Link:
    """One open link; owned by the task that runs it.

    Args:
        stream: the byte stream to the peer.
        hello: the handshake message of this VM.
    """

    def __init__(self, stream: trio.abc.Stream, *, hello: Hello) -> None:
        self._stream = stream
        self._hello = hello
        self._reader = FrameReader()
        self._backlog: list[Message] = []
        self._is_sending = False
        self._outbox_in, self._outbox_out = trio.open_memory_channel[Message | bytes](
            OUTBOX_MESSAGES_MAX
        )

    def post(self, message: Message | bytes) -> bool:
        """Queue a message; ``False`` if the queue is full or the link is closed.

        Args:
            message: the message, or its frame if it is sent on several links.
        """
        try:
            self._outbox_in.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    @property
    def is_flushed(self) -> bool:
        """Whether every queued message has been sent."""
        queued_count = self._outbox_out.statistics().current_buffer_used
        return not queued_count and not self._is_sending

    async def exchange_hello(self, expected_vm: str | None) -> Hello:
        """Exchange :class:`Hello` messages and check the peer's.

        Args:
            expected_vm: the name that the peer must give, or ``None`` for any.

        Returns:
            The peer's handshake message.

        Raises:
            RequestError: ``PEER_VERSION``, ``PEER_IDENTITY`` or ``PEER_FRAME``.
        """
        with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
            await self._send(frame_bytes(self._hello))
            peer = await self._receive_first()
            return _checked_hello(peer, expected_vm)
        raise RequestError(ErrorKind.PEER_FRAME, "peer sent no greeting in time")

    async def run(self, peer: Hello, events: LinkEvents) -> None:
        """Send and receive messages until the link breaks or times out.

        Args:
            peer: the peer's handshake message.
            events: callbacks for messages and for the link's start and end.

        Raises:
            RequestError: of kind ``PEER_FRAME``, why the link ended.
        """
        peer_vm = peer.vm
        events.opened(peer, self)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_all, peer_vm, nursery.cancel_scope)
                try:
                    await self._receive_all(peer_vm, events)
                finally:
                    nursery.cancel_scope.cancel()
        finally:
            self._outbox_out.close()
            events.closed(peer_vm, self)

    async def _receive_first(self) -> Message:
        while not self._backlog:
            self._backlog += self._reader.feed(await self._receive())
        return self._backlog.pop(0)

    async def _send(self, data: bytes) -> None:
        # A failed TLS handshake surfaces here as well, as it runs on the first send.
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise RequestError(ErrorKind.PEER_FRAME, "link broke") from error

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise RequestError(ErrorKind.PEER_FRAME, "link broke") from error
        if not data:
            reason = (
                "link closed"
                if self._reader.is_at_frame_boundary
                else "frame cut short"
            )
            raise RequestError(ErrorKind.PEER_FRAME, reason)
        return bytes(data)

    async def _receive_all(self, peer_vm: str, events: LinkEvents) -> None:
        for message in self._backlog:
            events.received(peer_vm, message)
        while True:
            data = b""
            with trio.move_on_after(RECEIVE_TIMEOUT_S):
                data = await self._receive()
            if not data:
                raise RequestError(ErrorKind.PEER_FRAME, "link fell silent")
            for message in self._reader.feed(data):
                events.received(peer_vm, message)

    async def _send_all(self, peer_vm: str, scope: trio.CancelScope) -> None:
        try:
            async for message in self._outbox_out:
                data = bytearray(_frame_of(message, peer_vm))
                while True:
                    try:
                        data += _frame_of(self._outbox_out.receive_nowait(), peer_vm)
                    except (trio.WouldBlock, trio.EndOfChannel):
                        break
                self._is_sending = True
                await self._stream.send_all(data)
                self._is_sending = False
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            scope.cancel()


def _frame_of(message: Message | bytes, peer_vm: str) -> bytes:
    if isinstance(message, bytes):
        return message
    return frame_or_drop(message, peer=peer_vm)


def _checked_hello(peer: Message, expected_vm: str | None) -> Hello:
    if not isinstance(peer, Hello):
        raise RequestError(ErrorKind.PEER_FRAME, "peer did not greet")
    if peer.version != PROTOCOL_VERSION:
        raise RequestError(
            ErrorKind.PEER_VERSION, f"peer speaks version {peer.version}"
        )
    if expected_vm is not None and peer.vm != expected_vm:
        raise RequestError(ErrorKind.PEER_IDENTITY, "peer has another name")
    return peer


async def dial(
    address: str,
    expected_vm: str,
    *,
    hello: Hello,
    events: LinkEvents,
    tls: ssl.SSLContext | None,
) -> None:
    """Open a link to a peer and run it until it ends.

    Raises:
        RequestError: why the link ended.
    """
    try:
        host, port = host_and_port(address)
    except ValueError as error:
        raise RequestError(
            ErrorKind.PEER_FRAME, "peer has no usable address"
        ) from error
    async with AsyncExitStack() as stack:
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                stream: trio.abc.Stream = await trio.open_tcp_stream(host, port)
                if tls is not None:
                    stream = trio.SSLStream(stream, tls, server_hostname=expected_vm)
                stack.push_async_callback(trio.aclose_forcefully, stream)
        except (OSError, trio.TooSlowError) as error:
            raise RequestError(ErrorKind.PEER_FRAME, "peer not reached") from error
        link = Link(stream, hello=hello)
        await link.run(await link.exchange_hello(expected_vm), events)


async def accept(
    stream: trio.abc.Stream,
    *,
    hello: Hello,
    events: LinkEvents,
    peer_names: Callable[[trio.abc.Stream], frozenset[str] | None],
) -> None:
    """Run a link that a peer opened.

    Args:
        stream: the byte stream to the peer.
        hello: the handshake message of this VM.
        events: callbacks for messages and for the link's start and end.
        peer_names: returns the DNS names in the peer's certificate, or ``None`` for
            a link without TLS.

    Raises:
        RequestError: why the link ended.
    """
    async with AsyncExitStack() as stack:
        stack.push_async_callback(trio.aclose_forcefully, stream)
        link = Link(stream, hello=hello)
        peer = await link.exchange_hello(None)
        names = peer_names(stream)
        if names is not None and peer.vm not in names:
            raise RequestError(
                ErrorKind.PEER_IDENTITY, "peer's certificate has another name"
            )
        await link.run(peer, events)
