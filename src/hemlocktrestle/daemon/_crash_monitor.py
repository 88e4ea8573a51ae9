"""Detects requests that crash upstreams, together with the zone's other VMs."""

import logging
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamClient
from hemlocktrestle.quarantine import (
    QuarantineEntry,
    QuarantineRegistry,
    chat_fingerprint,
)
from hemlocktrestle.wire import Message, Suspicion

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._crash_watch")

CLEARED = ""
"""Sent in place of an upstream's name to withdraw the suspicion of a request."""


class CrashMonitor:
    """Tracks suspected requests of the zone and refuses those in quarantine.

    A request is suspected if an upstream that ran it is gone.

    Args:
        upstreams: checks whether an upstream is still reachable.
        peers: returns the names of the zone's other VMs.
        send: sends a message to a VM.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        *,
        upstreams: UpstreamClient,
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, Message], bool],
        now_ms: Callable[[], float],
    ) -> None:
        self._upstreams = upstreams
        self._peers = peers
        self._send = send
        self._now_ms = now_ms
        self._quarantine = QuarantineRegistry()
        self._suspect_lock = trio.Lock()

    @asynccontextmanager
    async def guard(self, body: bytes, *, deadline_at_ms: float) -> AsyncIterator[None]:
        """Run a chat request unless it is in quarantine; suspected ones one at a time.

        Each VM runs at most one suspected request at a time, so that a harmless one
        does not share an upstream with the request that causes the next crash, and
        is not blamed for it.

        Args:
            body: the body of the chat request, already validated.
            deadline_at_ms: deadline of the request, in milliseconds.

        Raises:
            RequestError: ``QUARANTINED``, or ``DEADLINE_IN_QUEUE`` after a wait.
        """
        fingerprint = chat_fingerprint(body) if len(self._quarantine) else ""
        if not self._check_suspected(fingerprint):
            yield
            return
        remaining_ms = deadline_at_ms - self._now_ms()
        try:
            with trio.fail_after(max(0.0, remaining_ms / 1000)):
                await self._suspect_lock.acquire()
        except trio.TooSlowError as error:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            ) from error
        try:
            self._check_suspected(fingerprint)
            yield
        finally:
            self._suspect_lock.release()

    async def on_connection_broken(
        self, pool: str, body: bytes, *, upstream: str, address: str, request_id: str
    ) -> None:
        """Suspect a chat request if the upstream that ran it is no longer reachable.

        Args:
            pool: the pool of the upstream.
            body: the body of the chat request.
            upstream: name of the upstream whose connection broke.
            address: its address; after a mere connection reset it is reachable.
            request_id: ID of the request.
        """
        if await self._upstreams.is_reachable(address):
            return
        suspicion = Suspicion(pool, chat_fingerprint(body), upstream, request_id)
        self._apply(suspicion)
        self._broadcast(suspicion)

    def on_completed(self, pool: str, body: bytes, *, request_id: str) -> None:
        """Withdraw the suspicion of a chat request that completed."""
        if not len(self._quarantine):
            return
        fingerprint = chat_fingerprint(body)
        if self._quarantine.clear_suspicion(fingerprint):
            self._broadcast(Suspicion(pool, fingerprint, CLEARED, request_id))

    def on_message(self, vm: str, message: Message) -> None:
        """Apply a suspicion sent by another VM."""
        if isinstance(message, Suspicion):
            self._apply(message)

    def entries(self) -> list[QuarantineEntry]:
        """Return the suspected and quarantined fingerprints."""
        return self._quarantine.entries(self._now_ms())

    def lift(self, fingerprint: str) -> bool:
        """Remove a fingerprint here and on the zone's VMs; ``False`` if not known."""
        is_known = self._quarantine.lift(fingerprint)
        self._broadcast(Suspicion("", fingerprint, CLEARED, ""))
        return is_known

    def _check_suspected(self, fingerprint: str) -> bool:
        entry = self._quarantine.find(fingerprint, self._now_ms())
        if entry is not None and entry.is_quarantined:
            raise RequestError(ErrorKind.QUARANTINED, f"in quarantine as {fingerprint}")
        return entry is not None

    def _apply(self, suspicion: Suspicion) -> None:
        fingerprint = suspicion.fingerprint
        if suspicion.upstream == CLEARED:
            # An operator's message has no pool, and also lifts a quarantine.
            remove = (
                self._quarantine.clear_suspicion
                if suspicion.pool
                else self._quarantine.lift
            )
            remove(fingerprint)
            return
        entry = self._quarantine.record_crash(
            suspicion.pool,
            fingerprint,
            upstream=suspicion.upstream,
            request_id=suspicion.request_id,
            now_ms=self._now_ms(),
        )
        log.warning(
            "crash_suspected",
            extra={
                "fingerprint": fingerprint,
                "upstream": suspicion.upstream,
                "request_id": suspicion.request_id,
                "is_quarantined": entry.is_quarantined,
            },
        )

    def _broadcast(self, suspicion: Suspicion) -> None:
        for vm in self._peers():
            self._send(vm, suspicion)
