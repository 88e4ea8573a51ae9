"""The addresses that a process of the edge listens on."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable
from functools import partial

import h11
import trio

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import BodyMemoryBudget, CallerConnection, CallerRequest

log = logging.getLogger(__name__)

BACKLOG = 1024
"""Connections that may wait to be accepted."""

PROBE_REQUEST_S = 2.0
"""Longest time for the balancer's question to come, in seconds."""

DESCRIPTORS_KEPT = 64
"""Descriptors that are left for links, the store and the balancer's questions."""

ACCEPT_PAUSE_S = 0.05
"""Pause in accepting when no descriptor is free, in seconds."""


def listen(address: str) -> trio.SocketListener:
    """Return a listener on an address and port.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if nobody can listen there.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except OSError as error:
        sock.close()
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"cannot listen on {address}: {error}"
        ) from error
    sock.setblocking(False)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def address_of(listener: trio.SocketListener) -> str:
    """Return the address and port that a listener has."""
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"


class CallerListener:
    """Accepts callers' connections and closes the idle ones at a shutdown.

    Args:
        state: what the process believes.
        handle: answers one request.
        connections_max: connections that are held at once.
        body_budget: memory for the bodies of all their requests.
    """

    def __init__(
        self,
        state: EdgeState,
        handle: Callable[[CallerRequest, CallerConnection], Awaitable[None]],
        *,
        connections_max: int,
        body_budget: BodyMemoryBudget,
    ) -> None:
        self._body_room = body_budget
        self._state = state
        self._handle = handle
        self._room = trio.CapacityLimiter(connections_max)
        self._open: dict[CallerConnection, trio.CancelScope] = {}

    @property
    def connection_count(self) -> int:
        """Connections that are open."""
        return len(self._open)

    async def run(self, listener: trio.SocketListener) -> None:
        """Accept until cancelled; connections end with the nursery's scope."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._room.acquire_on_behalf_of(token := object())
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self._room.release_on_behalf_of(token)
                    if error.errno not in {errno.EMFILE, errno.ENFILE}:
                        raise
                    log.warning("no_descriptor_free")
                    await trio.sleep(ACCEPT_PAUSE_S)
                    continue
                nursery.start_soon(self._serve, stream, token)

    def close_idle(self) -> None:
        """Close connections on which no request is in hand."""
        for connection, scope in list(self._open.items()):
            if connection.is_idle:
                scope.cancel()

    async def _serve(self, stream: trio.SocketStream, token: object) -> None:
        connection = CallerConnection(
            stream,
            limits=lambda: self._state.limits,
            is_closing=lambda: self._state.is_draining,
            body_budget=self._body_room,
        )
        try:
            with trio.CancelScope() as scope:
                self._open[connection] = scope
                await connection.serve(self._handle)
        finally:
            self._open.pop(connection, None)
            self._room.release_on_behalf_of(token)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


Answer = Callable[[], tuple[int, bytes, bytes]]
"""Returns status, content type and body of a small answer."""


async def serve_answers(
    listener: trio.SocketListener, answers: dict[bytes, Answer]
) -> None:
    """Serve small answers by path, one a connection or more, until cancelled."""
    serve = partial(_answer_connection, answers)
    await trio.serve_listeners(serve, [listener])


async def _answer_connection(
    answers: dict[bytes, Answer], stream: trio.SocketStream
) -> None:
    machine = h11.Connection(our_role=h11.SERVER)
    try:
        with trio.move_on_after(PROBE_REQUEST_S) as scope:
            while True:
                event = machine.next_event()
                if event is h11.NEED_DATA:
                    machine.receive_data(await stream.receive_some(4096))
                elif isinstance(event, h11.Request):
                    path = bytes(event.target).partition(b"?")[0]
                elif isinstance(event, h11.EndOfMessage):
                    await stream.send_all(_answer_bytes(machine, answers, path))
                    machine.start_next_cycle()
                    scope.deadline = trio.current_time() + PROBE_REQUEST_S
                elif not isinstance(event, h11.Data):
                    return
    except (trio.BrokenResourceError, h11.ProtocolError) as error:
        log.debug("probe_ended", extra={"reason": str(error)})
    finally:
        await trio.aclose_forcefully(stream)


def _answer_bytes(
    machine: h11.Connection, answers: dict[bytes, Answer], path: bytes
) -> bytes:
    answer = answers.get(path)
    status, content_type, body = answer() if answer else (404, b"text/plain", b"")
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    data = machine.send(h11.Response(status_code=status, headers=headers)) or b""
    if body:
        data += machine.send(h11.Data(data=body)) or b""
    return data + (machine.send(h11.EndOfMessage()) or b"")
