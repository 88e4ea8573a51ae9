"""HTTP client for upstreams, which never sends a request twice."""

import math
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any

import h11
import httpcore

from hemlocktrestle.adapters._pooled import EXCHANGE_FAILURES, PooledClient
from hemlocktrestle.adapters._sockets import inactivity_options
from hemlocktrestle.adapters._upstream_stream import (
    NotifyingBackend,
    NotifyingStream,
)
from hemlocktrestle.documents import host_and_port
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    REQUEST_ID_HEADER,
    BeforeWait,
    Headers,
    UpstreamAnswer,
    UpstreamCall,
)
from hemlocktrestle.timers import Checkpointer

CONNECT_TIMEOUT_S = 2.0
"""Timeout of a connect to an upstream, in seconds."""

IDLE_TIMEOUT_S = 5.0
"""How long an idle connection is kept open, in seconds."""

SOCKET_INACTIVITY_S = 30.0
"""How long bytes sent to an upstream may stay unacknowledged, in seconds."""

CONNECTIONS_MAX = 4_000
"""Limit of open connections from one VM to upstreams."""

_SEND_START_EVENTS = frozenset(
    {"http11.send_request_headers.started", "http2.send_request_headers.started"}
)
"""Trace events of the HTTP library right before the first byte is sent."""

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
"""Exceptions that occur before a connection exists, so no byte was sent."""


class HttpUpstreamClient(PooledClient):
    """Calls upstreams over HTTP/1.1.

    Use as an asynchronous context manager, which closes its connections.

    Args:
        backend: opens connections; TCP by default.
    """

    def __init__(self, *, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._backend = NotifyingBackend(backend or httpcore.TrioBackend())
        super().__init__(self._new_pool(connections_max=CONNECTIONS_MAX))

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[UpstreamAnswer]:
        """Send a request once and yield its answer; see the port."""

        async def on_trace_event(event: str, info: dict[str, Any]) -> None:
            if event in _SEND_START_EVENTS:
                call.begin_send()

        inactivity_s = call.inactivity_timeout_ms / 1000
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": inactivity_s,
            "write": inactivity_s,
        }
        async with AsyncExitStack() as stack:
            pool = self._pool
            if call.is_fresh_connection:
                pool = await stack.enter_async_context(
                    self._new_pool(connections_max=1)
                )
            try:
                response = await stack.enter_async_context(
                    pool.stream(
                        call.method,
                        f"http://{call.address}{call.target}",
                        headers=list(call.headers),
                        content=call.body,
                        extensions={"timeout": timeouts, "trace": on_trace_event},
                    )
                )
            except EXCHANGE_FAILURES as error:
                raise _failure(error, call) from error
            headers = tuple((name.lower(), value) for name, value in response.headers)
            _check_echo(call, headers)
            connection: NotifyingStream = response.extensions["network_stream"]
            # The connection returns to the pool, without the callbacks of this call.
            stack.callback(setattr, connection, "before_read", None)
            stack.callback(connection.watch_silence, math.inf, None)
            yield UpstreamAnswer(
                response.status,
                headers,
                _body_chunks(response, call),
                partial(_set_before_read, connection),
                connection.watch_silence,
            )

    async def is_reachable(self, address: str) -> bool:
        """Tell whether an upstream accepts a new connection; see the port."""
        try:
            host, port = host_and_port(address)
            stream = await self._backend.connect_tcp(
                host, port, timeout=CONNECT_TIMEOUT_S
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, ValueError):
            # ValueError: the address names no host and port.
            return False
        await stream.aclose()
        return True

    def _new_pool(self, *, connections_max: int) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=connections_max,
            keepalive_expiry=IDLE_TIMEOUT_S,
            retries=0,
            network_backend=self._backend,
            socket_options=inactivity_options(silence_s=SOCKET_INACTIVITY_S),
        )


def _set_before_read(connection: NotifyingStream, action: BeforeWait) -> None:
    connection.before_read = action


async def _body_chunks(
    response: httpcore.Response, call: UpstreamCall
) -> AsyncIterator[bytes]:
    checkpointer = Checkpointer()
    try:
        async for chunk in response.aiter_stream():
            # One read may bring thousands of chunks.
            await checkpointer.step()
            yield chunk
        _prevent_reuse_with_excess(response)
    except EXCHANGE_FAILURES as error:
        raise _failure(error, call) from error


def _check_echo(call: UpstreamCall, headers: Headers) -> None:
    """Raise if the answer echoes the id of another request."""
    wanted = dict(call.headers).get(REQUEST_ID_HEADER)
    echoed = dict(headers).get(REQUEST_ID_HEADER)
    if wanted is not None and echoed is not None and echoed != wanted:
        raise RequestError(
            ErrorKind.UPSTREAM_BROKEN, "upstream answered another request"
        )


def _prevent_reuse_with_excess(response: httpcore.Response) -> None:
    """Prevent the reuse of a connection that has bytes beyond the answer.

    The pool would read them as the answer to the next request.
    """
    stream: Any = response.stream
    machine: h11.Connection = stream._stream._connection._h11_state
    if machine.trailing_data[0]:
        machine.send_failed()


def _failure(error: Exception, call: UpstreamCall) -> RequestError:
    if isinstance(error, _NOT_SENT) and not call.may_have_sent:
        return RequestError(
            ErrorKind.UPSTREAM_UNREACHABLE, "upstream could not be reached"
        )
    if isinstance(error, httpcore.TimeoutException):
        return RequestError(ErrorKind.UPSTREAM_SILENT, "upstream fell silent")
    return RequestError(ErrorKind.UPSTREAM_BROKEN, "connection to upstream broke")
