"""Listening sockets of an edge process, for callers, health checks and metrics."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from types import MappingProxyType

import h11
import trio

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import BodyMemoryBudget, CallerConnection, CallerRequest

log = logging.getLogger(__name__)

BACKLOG = 1024
"""Connections that may wait to be accepted."""

HEALTH_REQUEST_TIMEOUT_S = 2.0
"""Time limit for a health check or metrics request to arrive, in seconds."""

INTERNAL_DESCRIPTORS = 64
"""File descriptors reserved for peer links, the store and health checks."""

ACCEPT_PAUSE_S = 0.05
"""Pause before accepting again when no file descriptor is free, in seconds."""

IDLE_CLOSE_S = 0.5
"""Time without a request after which a connection is closed at shutdown, in seconds.

A new connection's first request arrives within it, also from another region.
"""


def listen(address: str) -> trio.SocketListener:
    """Return a listener on an address and port.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if the address cannot be bound.
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
    """Return the address and port that a listener is bound to."""
    host, port = listener.socket.getsockname()[:2]
    return f"{host}:{port}"


class CallerListener:
    """Accepts callers' connections and closes the idle ones at shutdown.

    Args:
        state: shared state of the process.
        handle: answers one request.
        connections_max: largest number of open connections.
        body_budget: memory budget for the bodies of all their requests.
    """

    def __init__(
        self,
        state: EdgeState,
        handle: Callable[[CallerRequest, CallerConnection], Awaitable[None]],
        *,
        connections_max: int,
        body_budget: BodyMemoryBudget,
    ) -> None:
        self._body_budget = body_budget
        self._state = state
        self._handle = handle
        self._connection_limit = trio.CapacityLimiter(connections_max)
        self._open: set[CallerConnection] = set()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def run(self, listener: trio.SocketListener) -> None:
        """Accept until cancelled, which also cancels the open connections."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._connection_limit.acquire_on_behalf_of(token := object())
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self._connection_limit.release_on_behalf_of(token)
                    if error.errno not in {errno.EMFILE, errno.ENFILE}:
                        raise
                    log.warning("no_descriptor_free")
                    await trio.sleep(ACCEPT_PAUSE_S)
                    continue
                nursery.start_soon(self._serve, stream, token)

    def close_idle(self) -> None:
        """Close connections that have waited for a request for a while."""
        idle_since_s = trio.current_time() - IDLE_CLOSE_S
        for connection in self._open:
            if connection.is_idle and connection.idle_since_s < idle_since_s:
                connection.stop_reading()

    def refuse_unread(self) -> None:
        """Refuse requests that are still being received."""
        for connection in self._open:
            if not connection.is_idle:
                connection.stop_reading()

    async def _serve(self, stream: trio.SocketStream, token: object) -> None:
        connection = CallerConnection(
            stream,
            limits=lambda: self._state.limits,
            is_closing=lambda: self._state.is_draining,
            body_budget=self._body_budget,
        )
        try:
            self._open.add(connection)
            await connection.serve(self._handle)
        finally:
            self._open.discard(connection)
            self._connection_limit.release_on_behalf_of(token)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


Answer = Callable[[], tuple[int, bytes, bytes]]
"""Returns status, content type and body of an answer."""


QueryAnswer = Callable[[bytes], tuple[int, bytes, bytes]]
"""Returns the answer to the query of a target."""


async def serve_answers(
    listener: trio.SocketListener,
    answers: Mapping[bytes, Answer],
    queries: Mapping[bytes, QueryAnswer] = MappingProxyType({}),
) -> None:
    """Serve health checks, metrics and answers to queries by path until cancelled."""
    serve = partial(_answer_connection, answers, queries)
    await trio.serve_listeners(serve, [listener])


async def _answer_connection(
    answers: Mapping[bytes, Answer],
    queries: Mapping[bytes, QueryAnswer],
    stream: trio.SocketStream,
) -> None:
    machine = h11.Connection(our_role=h11.SERVER)
    try:
        with trio.move_on_after(HEALTH_REQUEST_TIMEOUT_S) as scope:
            while True:
                event = machine.next_event()
                if event is h11.NEED_DATA:
                    machine.receive_data(await stream.receive_some(4096))
                elif isinstance(event, h11.Request):
                    path, _, query = bytes(event.target).partition(b"?")
                    answer = answers.get(path)
                    if path in queries:
                        answer = partial(queries[path], query)
                elif isinstance(event, h11.EndOfMessage):
                    await stream.send_all(_answer_bytes(machine, answer))
                    machine.start_next_cycle()
                    scope.deadline = trio.current_time() + HEALTH_REQUEST_TIMEOUT_S
                elif not isinstance(event, h11.Data):
                    return
    except (trio.BrokenResourceError, h11.ProtocolError) as error:
        log.debug("probe_ended", extra={"reason": str(error)})
    finally:
        await trio.aclose_forcefully(stream)


def _answer_bytes(machine: h11.Connection, answer: Answer | None) -> bytes:
    status, content_type, body = answer() if answer else (404, b"text/plain", b"")
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    data = machine.send(h11.Response(status_code=status, headers=headers)) or b""
    if body:
        data += machine.send(h11.Data(data=body)) or b""
    return data + (machine.send(h11.EndOfMessage()) or b"")
