"""HTTP towards upstreams, through a pool that never sends a request twice."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from typing import Any

import h11
import httpcore

from hemlocktrestle.adapters._pooled import EXCHANGE_FAILURES, PooledClient
from hemlocktrestle.adapters._sockets import silence_options
from hemlocktrestle.adapters._upstream_stream import (
    NotifyingBackend,
    NotifyingStream,
)
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    REQUEST_ID_HEADER,
    BeforeWait,
    Headers,
    UpstreamAnswer,
    UpstreamCall,
)

CONNECT_S = 2.0
"""Longest time to open a connection to an upstream, in seconds."""

IDLE_S = 5.0
"""How long an unused connection is kept, in seconds."""

SOCKET_SILENCE_S = 30.0
"""How long sent bytes may stay without effect on an upstream's link, in seconds."""

CONNECTIONS_MAX = 4_000
"""Connections to upstreams that one VM holds open at most."""

_SEND_START_EVENTS = frozenset(
    {"http11.send_request_headers.started", "http2.send_request_headers.started"}
)

_NOT_SENT = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)


class HttpUpstreamClient(PooledClient):
    """Calls upstreams over HTTP/1.1.

    Use as an asynchronous context manager, which closes its connections.

    Args:
        backend: opens connections; by default over TCP.
    """

    def __init__(self, *, backend: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._backend = NotifyingBackend(backend or httpcore.TrioBackend())
        super().__init__(self._new_pool(connections_max=CONNECTIONS_MAX))

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[UpstreamAnswer]:
        """Send a request once and yield its answer; see the port."""

        async def note_sending(event: str, info: dict[str, Any]) -> None:
            if event in _SEND_START_EVENTS:
                call.begin_send()

        silence_s = call.inactivity_timeout_ms / 1000
        timeouts = {
            "connect": CONNECT_S,
            "pool": CONNECT_S,
            "read": silence_s,
            "write": silence_s,
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
                        extensions={"timeout": timeouts, "trace": note_sending},
                    )
                )
            except EXCHANGE_FAILURES as error:
                raise _failure(error, call) from error
            headers = tuple((name.lower(), value) for name, value in response.headers)
            _check_echo(call, headers)
            connection: NotifyingStream = response.extensions["network_stream"]
            # The connection goes back to the pool and must forget this call.
            stack.callback(setattr, connection, "before_read", None)
            yield UpstreamAnswer(
                response.status,
                headers,
                _pieces(response, call),
                partial(_set_before_read, connection),
            )

    async def is_reachable(self, address: str) -> bool:
        """Tell whether an upstream takes a new connection; see the port."""
        host, port = address.rsplit(":", 1)
        try:
            stream = await self._backend.connect_tcp(host, int(port), timeout=CONNECT_S)
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return False
        await stream.aclose()
        return True

    def _new_pool(self, *, connections_max: int) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=connections_max,
            keepalive_expiry=IDLE_S,
            retries=0,
            network_backend=self._backend,
            socket_options=silence_options(silence_s=SOCKET_SILENCE_S),
        )


def _set_before_read(connection: NotifyingStream, action: BeforeWait) -> None:
    connection.before_read = action


async def _pieces(
    response: httpcore.Response, call: UpstreamCall
) -> AsyncIterator[bytes]:
    try:
        async for piece in response.aiter_stream():
            yield piece
        _prevent_reuse_with_excess(response)
    except EXCHANGE_FAILURES as error:
        raise _failure(error, call) from error


def _check_echo(call: UpstreamCall, headers: Headers) -> None:
    """Refuse an answer that names another request."""
    wanted = dict(call.headers).get(REQUEST_ID_HEADER)
    echoed = dict(headers).get(REQUEST_ID_HEADER)
    if wanted is not None and echoed is not None and echoed != wanted:
        raise RequestError(
            ErrorKind.UPSTREAM_BROKEN, "upstream answered another request"
        )


def _prevent_reuse_with_excess(response: httpcore.Response) -> None:
    """Keep a connection from reuse if more came on it than the whole answer.

    The pool would take the rest for the answer to the next request.
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
