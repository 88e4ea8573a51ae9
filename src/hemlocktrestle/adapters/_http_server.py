"""HTTP server for callers and operators: ASGI applications served by hypercorn."""

import json
import logging
import secrets
import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio
from hypercorn.config import Config

from hemlocktrestle.adapters._caller_server import serve_connections
from hemlocktrestle.adapters._sockets import limit_socket_inactivity
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.errors import ANSWERS, ErrorKind, Outcome, RequestError, outcome_of

BODY_BYTES_MAX = 8 * 1024 * 1024
"""Maximum size of a request body, in bytes."""

HEADER_BYTES_MAX = 32 * 1024
"""Maximum size of a request's head, in bytes."""

BODY_READ_TIMEOUT_S = 10.0
"""Longest pause between two parts of a request body, in seconds."""

BODY_TOTAL_TIMEOUT_S = 60.0
"""Timeout of a complete request body, in seconds."""

SEND_TIMEOUT_S = 30.0
"""Timeout of a single send to a caller, in seconds."""

SEND_BYTES_MAX = 64 * 1024
"""Maximum size of a single send to a caller, in bytes."""

KEEP_ALIVE_TIMEOUT_S = 30.0
"""How long an idle connection of a caller is kept open, in seconds."""

EVENT_STREAM_TYPE = b"text/event-stream"

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]


class Responder:
    """Sends the answer to one caller.

    Args:
        send: the ``send`` of ASGI.
        request_id: the request's id, sent as a header.
    """

    def __init__(self, send: Send, request_id: str) -> None:
        self._send = send
        self.request_id = request_id
        self.is_started = False
        self.is_finished = False
        self._is_event_stream = False

    async def send_head(
        self, status: int, headers: list[tuple[bytes, bytes]], outcome: Outcome
    ) -> None:
        """Send the status line and headers of the answer."""
        self.is_started = True
        self._is_event_stream = any(
            name == b"content-type" and value.startswith(EVENT_STREAM_TYPE)
            for name, value in headers
        )
        lines = [
            *headers,
            (b"x-request-id", self.request_id.encode()),
            (b"x-hemlocktrestle-outcome", outcome.value.encode()),
        ]
        await self._send_bounded(
            {"type": "http.response.start", "status": status, "headers": lines}
        )

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of the body."""
        for start in range(0, len(data), SEND_BYTES_MAX):
            part = data[start : start + SEND_BYTES_MAX]
            await self._send_bounded(
                {"type": "http.response.body", "body": part, "more_body": True}
            )

    async def finish(self) -> None:
        """End the answer; without this call the caller sees it as truncated."""
        self.is_finished = True
        await self._send_bounded(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )

    async def send_answer(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        outcome: Outcome,
    ) -> None:
        """Send a complete answer of known length."""
        kept = [line for line in headers if line[0] != b"content-length"]
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, [*kept, length], outcome)
        if body:
            await self.send_chunk(body)
        await self.finish()

    async def send_error(self, error: RequestError, *, may_have_sent: bool) -> None:
        """Report a failure to the caller, as far as the answer's state allows."""
        outcome = outcome_of(error.kind, may_have_sent=may_have_sent)
        body = error_body(error, outcome, self.request_id)
        if self.is_started:
            # After the head, only an event stream can carry an error.  Any other
            # answer is left truncated, so that the caller sees that it failed.
            if self._is_event_stream and not self.is_finished:
                await self.send_chunk(b"event: error\ndata: " + body + b"\n\n")
            return
        answer = ANSWERS[error.kind]
        headers = [(b"content-type", b"application/json")]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", str(answer.retry_after_s).encode()))
        await self.send_answer(answer.status, headers, body, outcome)

    async def _send_bounded(self, event: dict[str, Any]) -> None:
        # The server shields its sends from cancellation, so the time is checked
        # afterwards; a send that never returns is ended by the socket's timeout.
        started_s = trio.current_time()
        await self._send(event)
        if trio.current_time() - started_s > SEND_TIMEOUT_S:
            raise RequestError(ErrorKind.SLOW_READER, "caller took in too little")


def error_body(error: RequestError, outcome: Outcome, request_id: str) -> bytes:
    """Return the JSON body of an error."""
    return json.dumps(
        {
            "error": {
                "kind": error.kind.value,
                "message": error.message,
                "outcome": outcome.value,
                "request_id": request_id,
            }
        }
    ).encode()


class RequestHandler(Protocol):
    """Serves one caller's request."""

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer the request through the responder; must not raise."""
        ...


class CallersApp:
    """The ASGI application for callers.

    Args:
        handler: serves each request.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(self, handler: RequestHandler, *, now_ms: Callable[[], float]) -> None:
        self._handler = handler
        self._now_ms = now_ms

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        responder = Responder(send, secrets.token_hex(16))
        try:
            check_head(scope)
            body = await read_body(receive)
        except RequestError as error:
            if error.kind is not ErrorKind.CALLER_GONE:
                await responder.send_error(error, may_have_sent=False)
            return
        request = caller_request(scope, body, responder.request_id, self._now_ms())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, responder, nursery.cancel_scope
            )
            await self._handler.serve(request, responder)
            nursery.cancel_scope.cancel()


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's startup and shutdown events."""
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _cancel_on_disconnect(
    receive: Receive, responder: Responder, scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    # The server reports a disconnect also after a finished answer; the remaining
    # work, such as recording the outcome, must go on.
    if not responder.is_finished:
        scope.cancel()


def check_head(scope: Scope) -> None:
    """Check the HTTP version and the size of a request's head.

    The server's own limit applies only while a head is incomplete.

    Raises:
        RequestError: ``BAD_REQUEST`` or ``HEADERS_TOO_LARGE``.
    """
    if scope.get("http_version") == "2":
        # Over HTTP/2 the server would neither end nor reset a truncated answer.
        raise RequestError(ErrorKind.BAD_REQUEST, "HTTP/2 is not served")
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in scope["headers"])
    if size > HEADER_BYTES_MAX:
        raise RequestError(
            ErrorKind.HEADERS_TOO_LARGE, f"head exceeds {HEADER_BYTES_MAX} bytes"
        )


async def read_body(receive: Receive) -> bytes:
    """Read a complete body within the limits of size, pause and total time.

    Raises:
        RequestError: ``BODY_TOO_LARGE``, ``SLOW_SENDER`` or ``CALLER_GONE``.
    """
    pieces = bytearray()
    end_s = trio.current_time() + BODY_TOTAL_TIMEOUT_S
    while True:
        limit_s = min(end_s, trio.current_time() + BODY_READ_TIMEOUT_S)
        with trio.move_on_at(limit_s) as scope:
            event = await receive()
        if scope.cancelled_caught:
            raise RequestError(ErrorKind.SLOW_SENDER, "body came too slowly")
        if event["type"] == "http.disconnect":
            raise RequestError(ErrorKind.CALLER_GONE, "caller went away")
        pieces += event.get("body", b"")
        if len(pieces) > BODY_BYTES_MAX:
            raise RequestError(
                ErrorKind.BODY_TOO_LARGE, f"body exceeds {BODY_BYTES_MAX} bytes"
            )
        if not event.get("more_body", False):
            return bytes(pieces)


def caller_request(
    scope: Scope, body: bytes, request_id: str, now_ms: float
) -> CallerRequest:
    """Convert an ASGI scope and a body to a request."""
    target = scope["raw_path"].decode("latin-1")
    if scope["query_string"]:
        target += "?" + scope["query_string"].decode("latin-1")
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return CallerRequest(request_id, scope["method"], target, headers, body, now_ms)


class _ServerConfig(Config):
    """Server settings with a TLS context that can reload its certificates."""

    tls: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether the listener uses TLS."""
        return self.tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context, which may reload its certificates later."""
        return self.tls


async def serve_http(
    app: AsgiApp,
    *,
    sock: socket.socket,
    tls: ssl.SSLContext | None = None,
    graceful_s: float,
    shutdown: Callable[[], Awaitable[None]],
    send_timeout_s: float = SEND_TIMEOUT_S,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application on a bound socket until ``shutdown`` returns.

    Args:
        app: the application.
        sock: the bound socket, which the calling code closes.
        tls: the context of the listener, or ``None`` for plain HTTP.
        graceful_s: how long open requests may take after the shutdown, in seconds.
        shutdown: returns when the listener is to close.
        send_timeout_s: how long a caller may not read, in seconds.
        task_status: signals that the server listens.
    """
    limit_socket_inactivity(sock, silence_s=send_timeout_s)
    # The server closes the descriptor that it is given, so it gets a duplicate.
    fileno = sock.dup().detach()
    config = server_config(graceful_s=graceful_s, tls=tls)
    config.bind = [f"fd://{fileno}"]
    await serve_connections(
        app,  # type: ignore[arg-type]
        config,
        shutdown=shutdown,
        task_status=task_status,
    )


def server_config(*, graceful_s: float, tls: ssl.SSLContext | None = None) -> Config:
    """Return the server's settings, with all limits set explicitly."""
    config = _ServerConfig()
    config.tls = tls
    config.alpn_protocols = ["http/1.1"]
    config.graceful_timeout = graceful_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = HEADER_BYTES_MAX
    config.keep_alive_max_requests = 1_000_000
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.backlog = 1024
    return config
