"""The steps of a graceful shutdown and their time limits."""

import logging
from collections.abc import Callable, Collection
from typing import Any, Protocol

import trio

from hemlocktrestle.adapters._http_server import AsgiApp, Receive, Scope, Send
from hemlocktrestle.membership import Membership

log = logging.getLogger(__name__)

NOTICE_MS_DEFAULT = 2_000
"""Time from the loss of readiness to closing the listener, in milliseconds."""

FINISH_MS_DEFAULT = 600_000
"""Longest time after that for requests still being received, in milliseconds."""

CHECK_INTERVAL_S = 0.05
"""Interval of checks whether all requests have ended, in seconds."""

LAST_ANSWERS_TIMEOUT_S = 1.0
"""Time to send the last answers after all requests have ended, in seconds."""

FLUSH_TIMEOUT_S = 2.0
"""Longest time to send the last messages to peers, in seconds."""


class Roles(Protocol):
    """Hands over the pools that this VM schedules."""

    def hand_over(self) -> None:
        """Return queued permit requests of pools that another VM now schedules."""
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
    """ASGI middleware that counts open requests and closes connections on shutdown.

    Args:
        app: the wrapped application.
        is_draining: returns whether a shutdown has begun.
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

    Readiness ends and pools are handed over at once.
    The listener stays open for ``notice_ms``, so that no caller that the load
    balancer still sends here is refused.
    After that, running requests go on until their own deadlines; requests that are
    still being received have ``finish_ms``.

    Args:
        membership: marked as draining, so that this VM takes no more roles.
        roles: the pools that this VM schedules.
        links: the links to the peers.
        running: IDs of the running requests.
        notice_ms: time from the loss of readiness to closing the listener.
        finish_ms: longest time after that for requests still being received.
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
        self._begun = trio.Event()
        self._listener_closed = trio.Event()

    def begin(self) -> None:
        """Begin the shutdown; later calls have no effect."""
        if self._begun.is_set():
            return
        log.info("draining", extra={"notice_ms": self._notice_ms})
        self._membership.is_draining = True
        # The heartbeat precedes the returned permit requests, so that requesters
        # send them to another VM.
        self._links.send_heartbeats()
        self._roles.hand_over()
        self._begun.set()

    async def wait_for_listener_close(self) -> None:
        """Wait until the listener must close."""
        await self._begun.wait()
        await trio.sleep(self._notice_ms / 1000)
        self._listener_closed.set()
        log.info("listener_closed", extra={"running_count": len(self._running)})

    async def wait_for_requests(self, app: DrainMiddleware) -> None:
        """Wait until all requests have ended or have run out of time."""
        await self._listener_closed.wait()
        end_s = trio.current_time() + self._finish_ms / 1000
        while self._running or (app.open_count and trio.current_time() < end_s):
            await trio.sleep(CHECK_INTERVAL_S)
        with trio.move_on_after(LAST_ANSWERS_TIMEOUT_S):
            while app.open_count:
                await trio.sleep(CHECK_INTERVAL_S)

    async def wait_for_flush(self) -> None:
        """Wait until messages to peers are sent or ``FLUSH_TIMEOUT_S`` is over."""
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while not self._links.is_flushed:
                await trio.sleep(CHECK_INTERVAL_S)
