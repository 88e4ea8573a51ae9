"""Connections to upstreams with callbacks before each read and while it waits."""

import math
from collections.abc import Iterable
from ssl import SSLContext
from typing import Any

import httpcore
import trio

from hemlocktrestle.ports import BeforeWait, OnSilence


class NotifyingStream(httpcore.AsyncNetworkStream):
    """A connection that awaits ``before_read`` before it waits for more bytes.

    The HTTP library reads from the connection only when its buffer is empty, so the
    callback runs when the consumer has received everything that arrived.  It lets
    the consumer flush what it has collected.

    Args:
        stream: the connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self._silence_s = math.inf
        self._on_silence: OnSilence | None = None
        self.before_read: BeforeWait | None = None

    def watch_silence(self, silence_s: float, action: OnSilence | None) -> None:
        """Set the action to await each time that nothing arrived for so long."""
        self._silence_s, self._on_silence = silence_s, action

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Await ``before_read`` if it is set, then read."""
        if self.before_read is not None:
            await self.before_read()
        if self._on_silence is None:
            return await self._stream.read(max_bytes, timeout)
        until_s = trio.current_time() + (math.inf if timeout is None else timeout)
        while True:
            left_s = max(0.0, until_s - trio.current_time())
            with trio.move_on_after(self._silence_s):
                return await self._stream.read(max_bytes, left_s)
            await self._on_silence()

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a notifying connection under TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return NotifyingStream(stream)

    def get_extra_info(self, info: str) -> Any:
        """Return information about the connection, as its library does."""
        return self._stream.get_extra_info(info)


class NotifyingBackend(httpcore.AsyncNetworkBackend):
    """Opens notifying connections.

    Args:
        backend: opens the underlying connections.
    """

    def __init__(self, backend: httpcore.AsyncNetworkBackend) -> None:
        self._backend = backend

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return NotifyingStream(stream)
