"""The operators' HTTP API: health, metrics and calls of the command-line tool."""

import hmac
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from prometheus_client import CollectorRegistry, generate_latest

from hemlocktrestle.adapters._http_server import (
    Receive,
    Responder,
    Scope,
    Send,
    caller_request,
    read_body,
    serve_lifespan,
)
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.errors import ErrorKind, Outcome, RequestError
from hemlocktrestle.wire import TreeFetch, TreePage

Route = Callable[["OperatorsApp", CallerRequest], "tuple[int, bytes, str]"]

ROUTES: dict[tuple[str, str], tuple[bool, Route]] = {}
"""Whether a token is needed, and the handler, by method and path."""

JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4"


def route(method: str, path: str, *, is_open: bool = False) -> Callable[[Route], Route]:
    """Register the handler of one method and path.

    Args:
        method: HTTP method.
        path: the whole path.
        is_open: whether the route needs no token.
    """

    def register(handler: Route) -> Route:
        ROUTES[(method, path)] = (not is_open, handler)
        return handler

    return register


class OperatorsApp:
    """The ASGI application for operators and the command-line tool.

    Args:
        token: the operators' bearer token.
        is_ready: returns whether callers may be sent to the VM.
        status: returns the document that ``status`` shows.
        drain: starts a graceful shutdown.
        tree: returns a page of the settings tree.
        registry: the metrics.

    ``crash_monitor`` is set by the daemon if it has a quarantine.
    """

    crash_monitor: CrashMonitor | None = None

    def __init__(
        self,
        *,
        token: str,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        tree: Callable[[TreeFetch], TreePage],
        registry: CollectorRegistry,
    ) -> None:
        self._token = token
        self.is_ready = is_ready
        self.status = status
        self.drain = drain
        self.tree = tree
        self.registry = registry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        responder = Responder(send, "")
        try:
            body = await read_body(receive)
            request = caller_request(scope, body, "", 0.0)
            status, content, content_type = self._answer(request)
        except RequestError as error:
            if error.kind is not ErrorKind.CALLER_GONE:
                await responder.send_error(error, may_have_sent=False)
            return
        headers = [(b"content-type", content_type.encode())]
        await responder.send_answer(status, headers, content, Outcome.COMPLETE)

    def _answer(self, request: CallerRequest) -> tuple[int, bytes, str]:
        path = request.target.partition("?")[0]
        found = ROUTES.get((request.method, path))
        if found is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no such operators' route")
        needs_token, handler = found
        if needs_token and not self._is_operator(request):
            raise RequestError(ErrorKind.UNKNOWN_TOKEN, "operators' token is wrong")
        return handler(self, request)

    def _is_operator(self, request: CallerRequest) -> bool:
        _, _, token = (request.header("authorization") or "").partition(" ")
        return hmac.compare_digest(token.strip().encode(), self._token.encode())


def json_answer(value: Any, status: int = 200) -> tuple[int, bytes, str]:
    """Return a value as a JSON answer."""
    return status, json.dumps(value).encode(), JSON_TYPE


@route("GET", "/healthz", is_open=True)
def _healthz(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    return json_answer({"is_healthy": True})


@route("GET", "/readyz", is_open=True)
def _readyz(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    is_ready = app.is_ready()
    return json_answer({"is_ready": is_ready}, 200 if is_ready else 503)


@route("GET", "/metrics", is_open=True)
def _metrics(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    return 200, generate_latest(app.registry), METRICS_TYPE


@route("GET", "/ops/status")
def _status(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    return json_answer(app.status())


@route("POST", "/ops/drain")
def _drain(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    app.drain()
    return json_answer({"is_draining": True}, 202)


@route("GET", "/ops/tree")
def _tree(app: OperatorsApp, request: CallerRequest) -> tuple[int, bytes, str]:
    query = parse_qs(request.target.partition("?")[2])
    revision = query.get("revision", ["0"])[0]
    fetch = TreeFetch(
        0,
        "",
        is_snapshot=True,
        snapshot_revision=int(revision) if revision.isdecimal() else 0,
        first_name=query.get("first", [""])[0],
    )
    page = app.tree(fetch)
    return json_answer(
        {
            "revision": page.revision,
            "lineage": page.lineage,
            "body": page.body.decode(),
            "is_last": page.is_last,
        }
    )
