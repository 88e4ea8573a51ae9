"""Listening sockets of an edge process, for callers, health checks and metrics."""

import errno
import logging
import socket
from collections.abc import Awaitable, Callable

import trio

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import (
    BodyMemoryBudget,
    CallerConnection,
    CallerRequest,
    CutReason,
)

log = logging.getLogger(__name__)

BACKLOG = 1024
"""Connections that may wait to be accepted."""

INTERNAL_DESCRIPTORS = 64
"""File descriptors reserved for peer links, the store and health checks."""

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a kernel that is short of descriptors or memory, which pass."""

ACCEPT_PAUSE_S = 0.05
"""Pause before accepting again after such an error, in seconds."""

FULL_CHECK_S = 0.25
"""Time between checks for one to close while all connections are taken, in seconds."""

STUCK_S = 1.0
"""Time without taking in any of an answer after which a caller may be cut, in seconds.

It is cut so early only if others need the room.
"""

IDLE_CLOSE_S = 0.5
"""Time without a request after which a connection may be closed, in seconds.

It is at shutdown, and while others need the room.  A new connection's first request
arrives within it, also from another region.
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
        on_cut: called when a connection is closed before its time.
    """

    def __init__(
        self,
        state: EdgeState,
        handle: Callable[[CallerRequest, CallerConnection], Awaitable[None]],
        *,
        connections_max: int,
        body_budget: BodyMemoryBudget,
        on_cut: Callable[[CutReason], None] = lambda reason: None,
    ) -> None:
        self._body_budget = body_budget
        self._on_cut = on_cut
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
                token = await self._await_room()
                try:
                    stream = await listener.accept()
                except OSError as error:
                    self._connection_limit.release_on_behalf_of(token)
                    if error.errno not in SHORTAGES:
                        raise
                    log.warning("no_descriptor_free", extra={"reason": str(error)})
                    await trio.sleep(ACCEPT_PAUSE_S)
                    continue
                nursery.start_soon(self._serve, stream, token)

    async def _await_room(self) -> object:
        """Wait until one more connection may be open; return its token."""
        token = object()
        while True:
            if not self._connection_limit.available_tokens:
                self._close_longest_idle() or self.cut_stuck_caller()
            with trio.move_on_after(FULL_CHECK_S):
                await self._connection_limit.acquire_on_behalf_of(token)
                return token

    def _close_longest_idle(self) -> bool:
        """Close the connection that is idle for longest; ``False`` if none is."""
        idle = min(
            (caller for caller in self._open if caller.is_idle),
            key=lambda caller: caller.idle_since_s,
            default=None,
        )
        until_s = trio.current_time() - IDLE_CLOSE_S
        if idle is None or idle.idle_since_s > until_s:
            return False
        idle.stop_reading()
        self._on_cut(CutReason.IDLE)
        log.info("connection_cut", extra={"reason": CutReason.IDLE.value})
        return True

    def cut_stuck_caller(self) -> bool:
        """Cut the caller that has read nothing for longest; ``False`` if none has."""
        stuck = min(
            (caller for caller in self._open if not caller.is_cut),
            key=lambda caller: caller.stuck_since_s,
            default=None,
        )
        until_s = trio.current_time() - STUCK_S
        if stuck is None or stuck.stuck_since_s > until_s:
            return False
        stuck.cut(CutReason.ROOM)
        return True

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
            input_budget=self._state.input_budget,
            on_cut=self._on_cut,
        )
        try:
            self._open.add(connection)
            await connection.serve(self._handle)
        finally:
            self._open.discard(connection)
            self._connection_limit.release_on_behalf_of(token)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
