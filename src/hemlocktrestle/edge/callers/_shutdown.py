"""The phases of a graceful shutdown: what is still taken, sent and answered in each."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import NamedTuple, Protocol

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

NOTICE_MS_MAX = 2_800.0
"""Longest time in which new requests are still accepted, in milliseconds.

The load balancer checks once a second and removes a VM after two failed checks.
"""

CHECK_INTERVAL_S = 0.05
"""Interval of checks for idle connections and ended requests, in seconds."""


class Phase(Enum):
    """A phase of a shutdown, by the share of the grace period at which it begins."""

    NOTICE = 0.0
    """New requests are accepted while the load balancer still sends them."""

    CLOSING = 0.35
    """New requests are refused; requests that wait for a replica may still be sent."""

    FINISHING = 0.5
    """Nothing is sent to a replica except the rest of an answer that has begun."""

    ANSWERING = 0.92
    """Requests without an answer get an error; answers that have begun go on."""

    ENDED = 0.96
    """All connections are closed; the rest is for the end of the process."""


class Answering(Protocol):
    """A caller's connection, as far as it tells whether an answer has begun."""

    @property
    def is_answer_started(self) -> bool:
        """Whether the current request's answer has begun."""
        ...


class Callers(Protocol):
    """The callers' connections."""

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        ...

    def close_idle(self) -> None:
        """Close connections that have no request in flight."""
        ...

    def refuse_unread(self) -> None:
        """Refuse requests that are still being received."""
        ...


class _Unanswered(NamedTuple):
    connection: Answering
    scope: trio.CancelScope


class Shutdown:
    """A graceful shutdown, which has to end before the process is killed.

    The replicas get the second half of the grace period to finish what they were
    sent.  Each request that is still open near its end is answered, so that no
    connection closes on a caller that waits.

    Args:
        grace_ms: returns the time from the stop signal to the kill, in milliseconds.
    """

    def __init__(self, grace_ms: Callable[[], float]) -> None:
        self._grace_ms = grace_ms
        self._starts_s: dict[Phase, float] = {}
        self._waits: set[trio.CancelScope] = set()
        self._unanswered: set[_Unanswered] = set()

    @property
    def has_begun(self) -> bool:
        """Whether the process is shutting down."""
        return bool(self._starts_s)

    def has_reached(self, phase: Phase) -> bool:
        """Tell whether a phase has begun."""
        return trio.current_time() >= self._start_s(phase)

    def begin(self) -> None:
        """Begin the shutdown; later calls have no effect."""
        if self.has_begun:
            return
        began_s = trio.current_time()
        grace_s = self._grace_ms() / 1000
        starts_s = {phase: began_s + phase.value * grace_s for phase in Phase}
        starts_s[Phase.CLOSING] = min(
            starts_s[Phase.CLOSING], began_s + NOTICE_MS_MAX / 1000
        )
        self._starts_s = starts_s
        for scope in self._waits:
            scope.deadline = starts_s[Phase.FINISHING]

    @contextmanager
    def limit_wait(self, *, is_begun: bool) -> Iterator[None]:
        """Limit the wait for a replica, so that the replica has time to finish.

        Args:
            is_begun: whether the answer has begun, which is continued to the end.

        Raises:
            RequestError: of kind ``DRAINING``; the wait was cancelled.
        """
        if is_begun:
            yield
            return
        if self.has_reached(Phase.FINISHING):
            raise _leaving()
        with trio.CancelScope(deadline=self._start_s(Phase.FINISHING)) as scope:
            self._waits.add(scope)
            try:
                yield
            finally:
                self._waits.discard(scope)
        if scope.cancelled_caught:
            raise _leaving()

    @contextmanager
    def limit_answer(self, connection: Answering) -> Iterator[None]:
        """End a request whose answer has not begun when the last phase begins.

        Args:
            connection: the caller's connection.

        Raises:
            RequestError: of kind ``DRAINING``; the request may have run.
        """
        with trio.CancelScope() as scope:
            request = _Unanswered(connection, scope)
            self._unanswered.add(request)
            try:
                yield
            finally:
                self._unanswered.discard(request)
        if scope.cancelled_caught:
            raise _leaving()

    async def run(
        self, callers: Callers, deregister: Callable[[], Awaitable[None]]
    ) -> None:
        """Go through the phases; return when all connections have closed.

        Args:
            callers: the callers' connections.
            deregister: removes this VM from the store.
        """
        with trio.move_on_at(self._start_s(Phase.ENDED)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(deregister)
                await trio.sleep_until(self._start_s(Phase.CLOSING))
                while callers.connection_count:
                    callers.close_idle()
                    if self.has_reached(Phase.ANSWERING):
                        self._end_unanswered(callers)
                    await trio.sleep(CHECK_INTERVAL_S)
        if callers.connection_count:
            # The event loop may have been late for the phase before.
            self._end_unanswered(callers)
            await trio.sleep(CHECK_INTERVAL_S)

    def _end_unanswered(self, callers: Callers) -> None:
        callers.refuse_unread()
        for request in self._unanswered:
            if not request.connection.is_answer_started:
                request.scope.cancel()

    def _start_s(self, phase: Phase) -> float:
        return self._starts_s.get(phase, float("inf"))


def _leaving() -> RequestError:
    return RequestError(ErrorKind.DRAINING, "this VM is leaving", retry_after_ms=0.0)
