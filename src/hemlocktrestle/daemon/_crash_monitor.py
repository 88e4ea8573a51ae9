"""Watching for requests that crash their upstreams, with the zone's other VMs."""

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
"""In place of an upstream's name in a suspicion: it is dropped."""


class CrashMonitor:
    """Knows the suspected requests of the zone, and keeps crashing ones from upstreams.

    Args:
        upstreams: tells whether an upstream is still there.
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
        self._book = QuarantineRegistry()
        self._turn = trio.Lock()

    @asynccontextmanager
    async def guard(self, body: bytes, *, deadline_at_ms: float) -> AsyncIterator[None]:
        """Let a chat run, alone among the suspected ones, unless it is in quarantine.

        Suspected requests run one at a time on each VM, so that an innocent one is
        not at hand when the guilty one crashes its next upstream.

        Args:
            body: the body of the chat, already checked.
            deadline_at_ms: when the request must be done.

        Raises:
            RequestError: ``QUARANTINED``, or ``DEADLINE_IN_QUEUE`` after a wait.
        """
        fingerprint = chat_fingerprint(body) if len(self._book) else ""
        if not self._is_suspected(fingerprint):
            yield
            return
        remaining_ms = deadline_at_ms - self._now_ms()
        try:
            with trio.fail_after(max(0.0, remaining_ms / 1000)):
                await self._turn.acquire()
        except trio.TooSlowError as error:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            ) from error
        try:
            self._is_suspected(fingerprint)
            yield
        finally:
            self._turn.release()

    async def broke(
        self, pool: str, body: bytes, *, upstream: str, address: str, request_id: str
    ) -> None:
        """Suspect a chat if the upstream that ran it is gone.

        Args:
            pool: the pool of the upstream.
            body: the body of the chat.
            upstream: name of the upstream whose connection broke.
            address: its address; a mere reset leaves it reachable.
            request_id: the request.
        """
        if await self._upstreams.is_reachable(address):
            return
        suspicion = Suspicion(pool, chat_fingerprint(body), upstream, request_id)
        self._take_in(suspicion)
        self._broadcast(suspicion)

    def completed(self, pool: str, body: bytes, *, request_id: str) -> None:
        """Clear a chat that ran to its end."""
        if not len(self._book):
            return
        fingerprint = chat_fingerprint(body)
        if self._book.clear_suspicion(fingerprint):
            self._broadcast(Suspicion(pool, fingerprint, CLEARED, request_id))

    def on_message(self, vm: str, message: Message) -> None:
        """Take in what another VM saw."""
        if isinstance(message, Suspicion):
            self._take_in(message)

    def entries(self) -> list[QuarantineEntry]:
        """Return the suspected and quarantined fingerprints."""
        return self._book.entries(self._now_ms())

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint here and on the zone's VMs; ``False`` if not known."""
        is_known = self._book.lift(fingerprint)
        self._broadcast(Suspicion("", fingerprint, CLEARED, ""))
        return is_known

    def _is_suspected(self, fingerprint: str) -> bool:
        entry = self._book.find(fingerprint, self._now_ms())
        if entry is not None and entry.is_quarantined:
            raise RequestError(ErrorKind.QUARANTINED, f"in quarantine as {fingerprint}")
        return entry is not None

    def _take_in(self, suspicion: Suspicion) -> None:
        fingerprint = suspicion.fingerprint
        if suspicion.upstream == CLEARED:
            # Without a pool it comes from an operator, and lifts a quarantine too.
            forget = self._book.clear_suspicion if suspicion.pool else self._book.lift
            forget(fingerprint)
            return
        entry = self._book.record_crash(
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
