"""The listeners and connections of the HTTP server, with a fast path for sends."""

import os
import socket
from collections.abc import Awaitable, Callable, Iterator
from functools import partial

import trio
from hypercorn.config import Config, Sockets
from hypercorn.events import Event, RawData
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState, Framework
from hypercorn.utils import wrap_app

LAST_REQUEST_GRACE_S = 0.25
"""Time after the listeners closed in which requests are still accepted, in seconds.

A caller may have sent a request on an idle connection just before the shutdown.
"""


class _Connection(TCPServer):
    """A connection that first tries to write to the socket without waiting.

    The library's send acquires a lock, opens a cancel scope and yields to other
    tasks each time, which is most of the cost of relaying a token.  It is still used
    for the bytes that the socket does not accept yet, for TLS, and for errors.
    """

    async def protocol_send(self, event: Event) -> None:
        """Send bytes, or handle another event of the protocol."""
        if isinstance(event, RawData):
            count = self._write_nowait(event.data)
            if count == len(event.data):
                return
            event = RawData(event.data[count:], event.address)
        await super().protocol_send(event)

    def _write_nowait(self, data: bytes) -> int:
        """Write without waiting; return the number of bytes written."""
        if self.send_lock.locked() or not isinstance(self.stream, trio.SocketStream):
            return 0
        try:
            return os.write(self.stream.socket.fileno(), data)
        except OSError:
            return 0


async def serve_connections(
    app: Framework,
    config: Config,
    *,
    shutdown: Callable[[], Awaitable[None]],
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown`` returns and its requests are done.

    Args:
        app: the ASGI application; it gets no lifespan events.
        config: the server's settings; ``graceful_timeout`` is how long open requests
            may take after the shutdown.
        shutdown: returns when the listeners are to close.
        task_status: signals that the server listens.
    """
    context = WorkerContext(None)
    async with trio.open_nursery() as connections:
        sockets = config.create_sockets()
        listeners = _listeners(config, sockets)
        handler = partial(
            _Connection,
            wrap_app(app, config.wsgi_max_body_size, "asgi"),
            config,
            context,
            ConnectionState({}),
        )
        task_status.started([])
        try:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(
                        trio.serve_listeners,
                        handler,  # type: ignore[arg-type]
                        listeners,
                        handler_nursery=connections,
                    )
                )
                await shutdown()
                for stream in _unaccepted_connections(config, sockets):
                    connections.start_soon(_serve_one, handler, stream)
                _stop_listening(sockets)
                accepting.cancel_scope.cancel()
            # A request may be on its way on a connection that is idle now.
            await trio.sleep(LAST_REQUEST_GRACE_S)
        finally:
            with trio.CancelScope(shield=True):
                await context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + config.graceful_timeout
            )


async def _serve_one(
    handler: Callable[[trio.abc.Stream], Awaitable[None]], stream: trio.abc.Stream
) -> None:
    await handler(stream)


def _unaccepted_connections(
    config: Config, sockets: Sockets
) -> Iterator[trio.SocketStream | trio.SSLStream[trio.SocketStream]]:
    """Yield the connections that are established but not yet accepted.

    Closing the listening socket would reset them, and their callers would get an
    error for a connection that the kernel had already acknowledged.
    """
    for sock in sockets.insecure_sockets:
        yield from _accept_all(sock)
    context = config.create_ssl_context()
    for sock in sockets.secure_sockets:
        assert context is not None
        for stream in _accept_all(sock):
            yield trio.SSLStream(
                stream, context, server_side=True, https_compatible=True
            )


def _accept_all(sock: socket.socket) -> Iterator[trio.SocketStream]:
    while True:
        try:
            accepted, _ = sock.accept()
        except BlockingIOError:
            return
        accepted.setblocking(False)
        yield trio.SocketStream(trio.socket.from_stdlib_socket(accepted))


def _stop_listening(sockets: Sockets) -> None:
    # The descriptors are duplicates.  Closing them would leave the socket listening,
    # and the kernel would go on accepting connections that nobody serves.
    for sock in [*sockets.insecure_sockets, *sockets.secure_sockets]:
        sock.shutdown(socket.SHUT_RDWR)


def _listeners(
    config: Config, sockets: Sockets
) -> list[trio.SocketListener | trio.SSLListener[trio.SocketStream]]:
    listeners: list[trio.SocketListener | trio.SSLListener[trio.SocketStream]] = []
    for sock in sockets.insecure_sockets:
        sock.listen(config.backlog)
        listeners.append(trio.SocketListener(trio.socket.from_stdlib_socket(sock)))
    for sock in sockets.secure_sockets:
        sock.listen(config.backlog)
        plain = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        context = config.create_ssl_context()
        assert context is not None
        listeners.append(trio.SSLListener(plain, context, https_compatible=True))
    return listeners
