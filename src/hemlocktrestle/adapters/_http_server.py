"""HTTP towards callers and operators: ASGI applications served by hypercorn."""

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
"""Largest body that a caller may send, in bytes."""

HEADER_BYTES_MAX = 32 * 1024
"""Largest head of a request, in bytes."""

BODY_READ_TIMEOUT_S = 10.0
"""Longest silence while a body is received, in seconds."""

BODY_TOTAL_TIMEOUT_S = 60.0
"""Longest time for a whole body to come, in seconds."""

SEND_TIMEOUT_S = 30.0
"""Longest time for a caller to take in one piece of an answer, in seconds."""

SLICE_BYTES = 64 * 1024
"""Most bytes of an answer that are sent at a time."""

KEEP_ALIVE_S = 30.0
"""How long an idle connection of a caller is kept, in seconds."""

EVENT_STREAM_TYPE = b"text/event-stream"

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]


class Responder:
    """The way back to one caller.

    Args:
        send: ASGI's send.
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
        """Send the head of the answer."""
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
        """Send a piece of the body."""
        for start in range(0, len(data), SLICE_BYTES):
            part = data[start : start + SLICE_BYTES]
            await self._send_bounded(
                {"type": "http.response.body", "body": part, "more_body": True}
            )

    async def finish(self) -> None:
        """End the answer; without this call it ends uncleanly."""
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
        """Send a whole answer of known length."""
        kept = [line for line in headers if line[0] != b"content-length"]
        length = (b"content-length", str(len(body)).encode())
        await self.send_head(status, [*kept, length], outcome)
        if body:
            await self.send_chunk(body)
        await self.finish()

    async def send_error(self, error: RequestError, *, may_have_sent: bool) -> None:
        """Tell the caller of a failure, as far as the answer's state allows."""
        outcome = outcome_of(error.kind, may_have_sent=may_have_sent)
        body = error_body(error, outcome, self.request_id)
        if self.is_started:
            # Only a stream of events has room for an error; the end of any other
            # answer stays unclean, which is all that can still be said.
            if self._is_event_stream and not self.is_finished:
                await self.send_chunk(b"event: error\ndata: " + body + b"\n\n")
            return
        answer = ANSWERS[error.kind]
        headers = [(b"content-type", b"application/json")]
        if answer.retry_after_s is not None:
            headers.append((b"retry-after", str(answer.retry_after_s).encode()))
        await self.send_answer(answer.status, headers, body, outcome)

    async def _send_bounded(self, event: dict[str, Any]) -> None:
        # The server shields its sending, so the time is looked at afterwards; a
        # send that never returns is ended by the socket's own limit.
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
        """Answer the request through the responder; never raises."""
        ...


class CallersApp:
    """The ASGI application that callers reach.

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
                _cancel_when_gone, receive, responder, nursery.cancel_scope
            )
            await self._handler.serve(request, responder)
            nursery.cancel_scope.cancel()


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's notices of start and stop."""
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _cancel_when_gone(
    receive: Receive, responder: Responder, scope: trio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    # The server also tells of a disconnect once an answer is finished; what is
    # left to do then, such as recording the outcome, must go on.
    if not responder.is_finished:
        scope.cancel()


def check_head(scope: Scope) -> None:
    """Check a request's head: its version, and its size beyond the server's check.

    Raises:
        RequestError: ``BAD_REQUEST`` or ``HEADERS_TOO_LARGE``.
    """
    if scope.get("http_version") == "2":
        # The server would leave a broken answer open there, neither cut nor whole.
        raise RequestError(ErrorKind.BAD_REQUEST, "HTTP/2 is not served")
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in scope["headers"])
    if size > HEADER_BYTES_MAX:
        raise RequestError(
            ErrorKind.HEADERS_TOO_LARGE, f"head exceeds {HEADER_BYTES_MAX} bytes"
        )


async def read_body(receive: Receive) -> bytes:
    """Read a whole body within the limits of size, silence and time.

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
    """Return the request that an ASGI scope and a body stand for."""
    target = scope["raw_path"].decode("latin-1")
    if scope["query_string"]:
        target += "?" + scope["query_string"].decode("latin-1")
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )
    return CallerRequest(request_id, scope["method"], target, headers, body, now_ms)


class _ServerConfig(Config):
    """Server settings whose TLS context follows its files."""

    tls: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether the listener speaks TLS."""
        return self.tls is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context, which may take in new certificates later."""
        return self.tls


async def serve_http(
    app: AsgiApp,
    *,
    sock: socket.socket,
    tls: ssl.SSLContext | None = None,
    graceful_s: float,
    shutdown: Callable[[], Awaitable[None]],
    reader_silence_s: float = SEND_TIMEOUT_S,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application on a bound socket until the trigger returns.

    Args:
        app: the application.
        sock: the bound socket, which stays the caller's to close.
        tls: the context of the listener, or ``None`` for plain HTTP.
        graceful_s: how long open requests may go on after the trigger, in seconds.
        shutdown: returns when the listener is to close.
        reader_silence_s: how long a caller may take nothing in, in seconds.
        task_status: told when the server listens.
    """
    limit_socket_inactivity(sock, silence_s=reader_silence_s)
    # The server closes the descriptor that it is given, so it gets its own.
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
    """Return the server's limits, each given explicitly."""
    config = _ServerConfig()
    config.tls = tls
    config.alpn_protocols = ["http/1.1"]
    config.graceful_timeout = graceful_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.h11_max_incomplete_size = HEADER_BYTES_MAX
    config.keep_alive_max_requests = 1_000_000
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    config.backlog = 1024
    return config
