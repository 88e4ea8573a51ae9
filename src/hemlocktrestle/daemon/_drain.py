"""A graceful shutdown: its steps, and what bounds each of them."""

import logging
from collections.abc import Callable, Collection
from typing import Any, Protocol

import trio

from hemlocktrestle.adapters._http_server import AsgiApp, Receive, Scope, Send
from hemlocktrestle.membership import Membership

log = logging.getLogger(__name__)

NOTICE_MS_DEFAULT = 2_000
"""Time from lost readiness to the closing of the listener, in milliseconds."""

FINISH_MS_DEFAULT = 600_000
"""Longest time after that for requests that do not yet run, in milliseconds."""

CHECK_S = 0.05
"""Time between looks whether all requests have ended, in seconds."""

LAST_BYTES_S = 1.0
"""Time for the last answers to leave after all requests ended, in seconds."""

FLUSH_S = 2.0
"""Longest time for the last messages to peers to leave, in seconds."""


class Roles(Protocol):
    """Hands the pools of this VM over."""

    def hand_over(self) -> None:
        """Send waiting asks back where another VM keeps the pool."""
        ...


class Links(Protocol):
    """The links to the peers."""

    def send_heartbeats(self) -> None:
        """Send a heartbeat on every link now."""
        ...

    @property
    def is_flushed(self) -> bool:
        """Whether every queued message has been sent."""
        ...


class DrainMiddleware:
    """Counts open requests, and closes connections once a shutdown has begun.

    Args:
        app: the application.
        is_draining: tells whether a shutdown has begun.
    """

    def __init__(self, app: AsgiApp, *, is_draining: Callable[[], bool]) -> None:
        self._app = app
        self._is_draining = is_draining
        self.open_count = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_closing(event: dict[str, Any]) -> None:
            is_head = event["type"] == "http.response.start"
            if is_head and self._is_draining() and scope["http_version"] < "2":
                headers = [*event["headers"], (b"connection", b"close")]
                event = {**event, "headers": headers}
            await send(event)

        self.open_count += 1
        try:
            await self._app(scope, receive, send_closing)
        finally:
            self.open_count -= 1


class Drain:
    """The steps of one graceful shutdown.

    Readiness goes and roles are handed over at once.  The listener stays open for
    the notice, so that no caller whom the balancer still sends is refused.  Then
    requests that run go on for as long as their own deadlines allow; requests that
    are still being received have ``finish_ms``.

    Args:
        membership: told that this VM takes no more roles.
        roles: the pools kept here.
        links: the links to the peers.
        running: the requests that run.
        notice_ms: time from lost readiness to the closing of the listener.
        finish_ms: longest time after that for requests that do not yet run.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        roles: Roles,
        links: Links,
        running: Collection[str],
        notice_ms: int = NOTICE_MS_DEFAULT,
        finish_ms: int = FINISH_MS_DEFAULT,
    ) -> None:
        self._membership = membership
        self._roles = roles
        self._links = links
        self._running = running
        self._notice_ms = notice_ms
        self._finish_ms = finish_ms
        self._asked = trio.Event()
        self._listener_closed = trio.Event()

    def ask(self) -> None:
        """Begin the shutdown; later calls change nothing."""
        if self._asked.is_set():
            return
        log.info("draining", extra={"notice_ms": self._notice_ms})
        self._membership.is_draining = True
        # The word goes out before the asks do, so that holders ask another VM.
        self._links.send_heartbeats()
        self._roles.hand_over()
        self._asked.set()

    async def until_listener_closes(self) -> None:
        """Return when the listener is to close."""
        await self._asked.wait()
        await trio.sleep(self._notice_ms / 1000)
        self._listener_closed.set()
        log.info("listener_closed", extra={"running_count": len(self._running)})

    async def wait_for_requests(self, app: DrainMiddleware) -> None:
        """Return when no request is left that may go on."""
        await self._listener_closed.wait()
        end_s = trio.current_time() + self._finish_ms / 1000
        while self._running or (app.open_count and trio.current_time() < end_s):
            await trio.sleep(CHECK_S)
        with trio.move_on_after(LAST_BYTES_S):
            while app.open_count:
                await trio.sleep(CHECK_S)

    async def until_flushed(self) -> None:
        """Return when the last messages to peers have left, within a bound."""
        with trio.move_on_after(FLUSH_S):
            while not self._links.is_flushed:
                await trio.sleep(CHECK_S)
