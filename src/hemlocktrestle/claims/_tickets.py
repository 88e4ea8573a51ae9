"""Tickets: idempotency keys issued by a VM and checked against its memory alone.

A ticket names the zone, VM and boot ID of its issuer and its expiry, and is signed
with a secret that exists only as long as the issuer's process.
So an unused ticket takes no memory, and no other process can validate it.
This module does no I/O and reads no clock.
"""

import hashlib
import heapq
import hmac
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind, Outcome

TICKET_PREFIX = "tkt1"
"""First field of a ticket; no other idempotency key may start with it and a colon."""

TICKET_LIFETIME_MS = 15 * 60 * 1000
"""Lifetime of a ticket from its issue, in milliseconds."""

USED_COUNT_MAX = 60_000
"""Most used tickets that one process remembers; each is kept until it expires."""

FRESH = "fresh"
"""Verdict on a ticket under which no request has run yet."""

_MAC_HEX_COUNT = 32
_FIELD_COUNT = 7


class TicketFields(NamedTuple):
    """The fields of a ticket; ``expires_ms`` is on the issuer's process clock."""

    zone: str
    vm: str
    boot_id: str
    expires_ms: int
    nonce: str
    mac: str


class TicketUse(Enum):
    """Progress of the request under a used ticket; ``FREED``: it did not run."""

    FREED = "freed"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


class _UsedTicket(NamedTuple):
    use: TicketUse
    request_id: str
    fingerprint: str
    expires_ms: int


_ERROR_BY_USE: dict[TicketUse, ErrorKind] = {
    TicketUse.RUNNING: ErrorKind.KEY_IN_PROGRESS,
    TicketUse.COMPLETE: ErrorKind.ANSWER_NOT_KEPT,
    TicketUse.UNKNOWN: ErrorKind.KEY_UNVOUCHED,
}

_USE_BY_OUTCOME: dict[str, TicketUse] = {
    Outcome.NOT_RUN.value: TicketUse.FREED,
    Outcome.COMPLETE.value: TicketUse.COMPLETE,
    Outcome.UNKNOWN.value: TicketUse.UNKNOWN,
}


def is_ticket(key: str) -> bool:
    """Return whether an idempotency key has the prefix of a ticket."""
    return key.startswith(f"{TICKET_PREFIX}:")


def parse_ticket(ticket: str) -> TicketFields | None:
    """Parse a ticket; return ``None`` if it is malformed."""
    fields = ticket.split(":")
    if len(fields) != _FIELD_COUNT or fields[0] != TICKET_PREFIX:
        return None
    _, zone, vm, boot_id, expires, nonce, mac = fields
    if not (expires.isascii() and expires.isdigit()):
        return None
    return TicketFields(zone, vm, boot_id, int(expires[:18]), nonce, mac)


class TicketTable:
    """Signs the tickets of one process and remembers those that were used.

    Args:
        zone: the VM's zone.
        vm: the VM's name.
        boot_id: ID of this start of the process.
        secret: signing key, generated at this start.
        new_id: returns a fresh unique id.
        used_count_max: most used tickets to remember.
    """

    def __init__(
        self,
        *,
        zone: str,
        vm: str,
        boot_id: str,
        secret: bytes,
        new_id: Callable[[], str],
        used_count_max: int = USED_COUNT_MAX,
    ) -> None:
        self._issuer = TicketFields(zone, vm, boot_id, 0, "", "")
        self._secret = secret
        self._new_id = new_id
        self._used_count_max = used_count_max
        self._used: dict[str, _UsedTicket] = {}
        self._expiries: list[tuple[int, str]] = []

    @property
    def used_count(self) -> int:
        """Number of used tickets that are remembered."""
        return len(self._used)

    def issue(self, customer: str, now_ms: float) -> str:
        """Return a new ticket for a customer."""
        fields = self._issuer._replace(
            expires_ms=int(now_ms) + TICKET_LIFETIME_MS, nonce=self._new_id()
        )
        signed = fields._replace(mac=self._mac(customer, fields))
        return ":".join((TICKET_PREFIX, *(str(field) for field in signed)))

    def open(
        self,
        *,
        customer: str,
        ticket: str,
        fingerprint: str,
        request_id: str,
        now_ms: float,
    ) -> str:
        """Decide whether a request may run under a ticket, and mark it used.

        Args:
            customer: the customer that sends the request.
            ticket: the ticket.
            fingerprint: digest of the request.
            request_id: ID of the request.
            now_ms: the time of the process in milliseconds.

        Returns:
            ``FRESH``, or the value of the error kind that the request gets.
        """
        fields = parse_ticket(ticket)
        if fields is None or not self._is_valid(customer, fields, now_ms):
            return ErrorKind.KEY_UNVOUCHED.value
        used = self._used.get(fields.nonce)
        if used is not None and used.use is not TicketUse.FREED:
            return _verdict_on_used(used, fingerprint, request_id)
        if used is None and not self._reserve_entry(fields, now_ms):
            # Every used ticket is remembered, so nothing has run under this one.
            return ErrorKind.CLAIM_UNAVAILABLE.value
        self._used[fields.nonce] = _UsedTicket(
            TicketUse.RUNNING, request_id, fingerprint, fields.expires_ms
        )
        return FRESH

    def close(
        self, *, customer: str, ticket: str, request_id: str, outcome: str
    ) -> None:
        """Record how the request under a ticket ended; ``not-run`` frees the ticket.

        A notice about a request that does not hold the ticket, or a second notice
        about the same request, is ignored.
        """
        fields = parse_ticket(ticket)
        used = self._used.get(fields.nonce) if fields is not None else None
        if fields is None or used is None or not self._is_authentic(customer, fields):
            return
        if used.request_id != request_id or used.use is not TicketUse.RUNNING:
            return
        use = _USE_BY_OUTCOME.get(outcome, TicketUse.UNKNOWN)
        self._used[fields.nonce] = used._replace(use=use)

    def purge(self, now_ms: float) -> None:
        """Remove used tickets that have expired."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, nonce = heapq.heappop(self._expiries)
            del self._used[nonce]

    def _reserve_entry(self, fields: TicketFields, now_ms: float) -> bool:
        """Reserve an entry for a ticket at its first use; ``False`` if full."""
        self.purge(now_ms)
        if len(self._expiries) >= self._used_count_max:
            return False
        heapq.heappush(self._expiries, (fields.expires_ms, fields.nonce))
        return True

    def _is_valid(self, customer: str, fields: TicketFields, now_ms: float) -> bool:
        return self._is_authentic(customer, fields) and now_ms < fields.expires_ms

    def _is_authentic(self, customer: str, fields: TicketFields) -> bool:
        if fields[:3] != self._issuer[:3]:
            return False
        return hmac.compare_digest(
            self._mac(customer, fields).encode(), fields.mac.encode()
        )

    def _mac(self, customer: str, fields: TicketFields) -> str:
        text = "\0".join((customer, *(str(field) for field in fields[:5])))
        digest = hmac.new(self._secret, text.encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_HEX_COUNT]


def _verdict_on_used(used: _UsedTicket, fingerprint: str, request_id: str) -> str:
    if used.fingerprint != fingerprint:
        return ErrorKind.KEY_REUSED.value
    if used.request_id == request_id and used.use is TicketUse.RUNNING:
        return FRESH
    return _ERROR_BY_USE[used.use].value
