"""In-memory connections, over which httpcore and hypercorn run in virtual time."""

import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import h11
import httpcore
import trio
import trio.testing
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from hemlocktrestle.adapters._http_server import AsgiApp, server_config

StreamHandler = Callable[[trio.abc.Stream], Awaitable[None]]


class MemoryNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections to handlers in the same process.

    ``handlers`` gives the handler by address; other addresses refuse connections.
    ``connects`` lists the address of every connect.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.handlers: dict[str, StreamHandler] = {}
        self.connects: list[str] = []
        self._nursery = nursery

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection to the handler of an address."""
        await trio.lowlevel.checkpoint()
        self.connects.append(f"{host}:{port}")
        handler = self.handlers.get(f"{host}:{port}")
        if handler is None:
            raise httpcore.ConnectError
        near, far = trio.testing.memory_stream_pair()
        self._nursery.start_soon(handler, far)
        return _MemoryStream(near)

    async def sleep(self, seconds: float) -> None:
        """Wait in virtual time."""
        await trio.sleep(seconds)


class _MemoryStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with trio.fail_after(timeout or float("inf")):
                return bytes(await self._stream.receive_some(max_bytes))
        except trio.TooSlowError as error:
            raise httpcore.ReadTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        try:
            with trio.fail_after(timeout or float("inf")):
                await self._stream.send_all(buffer)
        except trio.TooSlowError as error:
            raise httpcore.WriteTimeout from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        return False if info == "is_readable" else None


class _NamedSocket:
    """The part of the socket interface that the server uses."""

    family = socket.AF_INET

    def getpeername(self) -> tuple[str, int]:
        return ("127.0.0.1", 1)

    def getsockname(self) -> tuple[str, int]:
        return ("127.0.0.1", 2)


def open_caller(app: AsgiApp, nursery: trio.Nursery) -> "WireCaller":
    """Open a caller's connection to an application that hypercorn serves."""
    near, far = trio.testing.memory_stream_pair()
    far.socket = _NamedSocket()  # type: ignore[attr-defined]
    config = server_config(graceful_s=1.0)
    wrapped = wrap_app(app, config.wsgi_max_body_size, "asgi")  # type: ignore[arg-type]
    server = TCPServer(
        wrapped,
        config,
        WorkerContext(None),
        ConnectionState({}),
        far,  # type: ignore[arg-type]
    )
    nursery.start_soon(server.run)
    return WireCaller(near)


class Reply(NamedTuple):
    """One answer as received; ``is_ended`` tells whether it was complete."""

    status: int
    head: bytes
    headers: dict[str, str]
    body: bytes
    is_ended: bool

    @property
    def outcome(self) -> str:
        """The outcome that the head reports."""
        return self.headers.get("x-hemlocktrestle-outcome", "")


class WireCaller:
    """One caller's connection, at the level of bytes."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self._machine = h11.Connection(h11.CLIENT)
        self._raw = b""

    async def send(self, method: str, target: str, body: bytes, **names: str) -> bytes:
        """Send a request and return its bytes; ``_`` in header names means ``-``."""
        headers = [("host", "trestle")]
        headers += [(name.replace("_", "-"), value) for name, value in names.items()]
        headers.append(("content-length", str(len(body))))
        raw = self._machine.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        raw += self._machine.send(h11.Data(data=body)) or b""
        raw += self._machine.send(h11.EndOfMessage()) or b""
        await self.stream.send_all(raw)
        return raw

    async def reply(self) -> Reply:
        """Read one answer to its end, or until the connection ends."""
        head = await self._event()
        if not isinstance(head, h11.Response):
            return Reply(0, b"", {}, b"", False)
        raw_head = self._raw.partition(b"\r\n\r\n")[0]
        body = bytearray()
        is_ended = False
        try:
            while isinstance(event := await self._event(), h11.Data):
                body += event.data
            is_ended = isinstance(event, h11.EndOfMessage)
        except h11.RemoteProtocolError:
            is_ended = False
        headers = {name.decode(): value.decode() for name, value in head.headers}
        if is_ended and self._machine.our_state is h11.DONE:
            self._machine.start_next_cycle()
            self._raw = b""
        return Reply(head.status_code, raw_head, headers, bytes(body), is_ended)

    async def call(self, method: str, target: str, body: bytes, **names: str) -> Reply:
        """Send a request and read its answer."""
        await self.send(method, target, body, **names)
        return await self.reply()

    async def _event(self) -> Any:
        while (event := self._machine.next_event()) is h11.NEED_DATA:
            try:
                data = bytes(await self.stream.receive_some(65536))
            except trio.BrokenResourceError:
                data = b""
            self._raw += data
            self._machine.receive_data(data)
        return event
