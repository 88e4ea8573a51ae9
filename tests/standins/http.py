"""A small HTTP/1.1 server for stand-ins, which can truncate answers or stall."""

import json
import math
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import h11
import trio


class GoneError(Exception):
    """The other end closed the connection."""


class Request(NamedTuple):
    """One request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


class Connection:
    """One connection of a stand-in's server."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.machine = h11.Connection(h11.SERVER)

    async def next_request(self) -> Request | None:
        """Return the next request, or ``None`` at the end."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                return None
            body += event.data
        return Request(
            head.method.decode(),
            head.target.decode(),
            {name.decode(): value.decode("latin-1") for name, value in head.headers},
            bytes(body),
        )

    async def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the status line and headers of an answer."""
        await self._send(
            h11.Response(status_code=status, headers=list(headers.items()))
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the answer."""
        await self._send(h11.EndOfMessage())

    async def send_json(
        self, value: Any, status: int = 200, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete JSON answer."""
        body = json.dumps(value).encode()
        await self.send_head(
            status,
            {
                "content-type": "application/json",
                "content-length": str(len(body)),
                **(headers or {}),
            },
        )
        await self.send_chunk(body)
        await self.finish()

    async def wait_closed(self) -> None:
        """Wait until the other end closes the connection."""
        try:
            while await self.stream.receive_some(4096):
                pass
        except trio.BrokenResourceError:
            return

    async def _next_event(self) -> Any:
        while (event := self.machine.next_event()) is h11.NEED_DATA:
            self.machine.receive_data(bytes(await self.stream.receive_some(65536)))
        return event

    async def _send(self, event: Any) -> None:
        try:
            await self.stream.send_all(self.machine.send(event))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise GoneError from error


Handler = Callable[[Connection, Request], Awaitable[None]]


async def serve_connection(
    stream: trio.abc.Stream, handler: Handler, *, idle_s: float = math.inf
) -> None:
    """Serve one connection until it ends or a handler leaves an answer unfinished.

    A request that is not whole after ``idle_s`` ends it too.
    """
    async with stream:
        connection = Connection(stream)
        try:
            while True:
                request = None
                with trio.move_on_after(idle_s):
                    request = await connection.next_request()
                if request is None:
                    return
                await handler(connection, request)
                if connection.machine.our_state is not h11.DONE:
                    return
                connection.machine.start_next_cycle()
        except (GoneError, h11.ProtocolError, trio.BrokenResourceError):
            return


async def serve(
    handler: Handler,
    *,
    port: int = 0,
    announce: Callable[[str], None],
    idle_s: float = math.inf,
) -> None:
    """Listen on loopback and serve until cancelled.

    Args:
        handler: serves each request.
        port: the port, 0 for any.
        announce: called with host and port.
        idle_s: time after which connections without a request are closed.
    """
    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
    host, bound = listeners[0].socket.getsockname()[:2]
    announce(f"{host}:{bound}")

    async def one(stream: trio.abc.Stream) -> None:
        await serve_connection(stream, handler, idle_s=idle_s)

    await trio.serve_listeners(one, listeners)
