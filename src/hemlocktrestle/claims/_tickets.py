"""Tickets: idempotency keys that their issuer vouches for from memory alone.

A ticket names zone, VM and boot of its issuer and when it expires, and is signed
with a key that lives as long as the issuer's process.  So an unused ticket needs no
memory, and no other process can vouch for it.  No I/O, no clock.
"""

import hashlib
import heapq
import hmac
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind, Outcome

TICKET_PREFIX = "tkt1"
"""First field of a ticket; no other key may start with it and a colon."""

TICKET_MS = 15 * 60 * 1000
"""How long a ticket can be used after it was given out, in milliseconds."""

USED_COUNT_MAX = 60_000
"""Used tickets that one process remembers until they expire."""

FRESH = "fresh"
"""Verdict on a ticket under which nothing has run yet."""

_MAC_HEX_COUNT = 32
_FIELD_COUNT = 7


class TicketName(NamedTuple):
    """The fields of a ticket; ``expires_ms`` is by the issuer's own clock."""

    zone: str
    vm: str
    boot_id: str
    expires_ms: int
    nonce: str
    mac: str


class TicketUse(Enum):
    """How far the work under a used ticket has come; ``FREED``: it did not run."""

    FREED = "freed"
    RUNNING = "running"
    COMPLETE = "complete"
    UNKNOWN = "unknown"


class _Used(NamedTuple):
    use: TicketUse
    request_id: str
    fingerprint: str
    expires_ms: int


_USE_KINDS: dict[TicketUse, ErrorKind] = {
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
    """Tell whether an idempotency key claims to be a ticket."""
    return key.startswith(f"{TICKET_PREFIX}:")


def parse_ticket(ticket: str) -> TicketName | None:
    """Return the fields of a ticket, or ``None`` if it has another form."""
    fields = ticket.split(":")
    if len(fields) != _FIELD_COUNT or fields[0] != TICKET_PREFIX:
        return None
    _, zone, vm, boot_id, expires, nonce, mac = fields
    if not (expires.isascii() and expires.isdigit()):
        return None
    return TicketName(zone, vm, boot_id, int(expires[:18]), nonce, mac)


class TicketTable:
    """The tickets of one process: it signs them and remembers which were used.

    Args:
        zone: the VM's zone.
        vm: the VM's name.
        boot_id: identity of this start of the process.
        secret: key of the signatures, made at this start.
        new_id: returns a fresh unique id.
        used_count_max: used tickets to remember at most.
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
        self._name = TicketName(zone, vm, boot_id, 0, "", "")
        self._secret = secret
        self._new_id = new_id
        self._used_count_max = used_count_max
        self._used: dict[str, _Used] = {}
        self._expiries: list[tuple[int, str]] = []

    @property
    def used_count(self) -> int:
        """How many used tickets are remembered."""
        return len(self._used)

    def issue(self, customer: str, now_ms: float) -> str:
        """Return a new ticket for a customer."""
        name = self._name._replace(
            expires_ms=int(now_ms) + TICKET_MS, nonce=self._new_id()
        )
        signed = name._replace(mac=self._mac(customer, name))
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
            customer: whose request it is.
            ticket: the ticket.
            fingerprint: digest of the request.
            request_id: the request.
            now_ms: the time of the process in milliseconds.

        Returns:
            ``FRESH``, or the value of the error kind that the request gets.
        """
        name = parse_ticket(ticket)
        if name is None or not self._vouches(customer, name, now_ms):
            return ErrorKind.KEY_UNVOUCHED.value
        used = self._used.get(name.nonce)
        if used is not None and used.use is not TicketUse.FREED:
            return _verdict(used, fingerprint, request_id)
        if used is None and not self._remember(name, now_ms):
            # A ticket that was used is remembered, so nothing ran under this one.
            return ErrorKind.CLAIM_UNAVAILABLE.value
        self._used[name.nonce] = _Used(
            TicketUse.RUNNING, request_id, fingerprint, name.expires_ms
        )
        return FRESH

    def close(
        self, *, customer: str, ticket: str, request_id: str, outcome: str
    ) -> None:
        """Note how the request under a ticket ended; ``not-run`` frees the ticket.

        A notice of any other request than the one that holds the ticket, and one
        after the first, changes nothing.
        """
        name = parse_ticket(ticket)
        used = self._used.get(name.nonce) if name is not None else None
        if name is None or used is None or not self._is_authentic(customer, name):
            return
        if used.request_id != request_id or used.use is not TicketUse.RUNNING:
            return
        use = _USE_BY_OUTCOME.get(outcome, TicketUse.UNKNOWN)
        self._used[name.nonce] = used._replace(use=use)

    def purge(self, now_ms: float) -> None:
        """Forget used tickets that have expired."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, nonce = heapq.heappop(self._expiries)
            del self._used[nonce]

    def _remember(self, name: TicketName, now_ms: float) -> bool:
        """Make room for a ticket that is used for the first time."""
        self.purge(now_ms)
        if len(self._expiries) >= self._used_count_max:
            return False
        heapq.heappush(self._expiries, (name.expires_ms, name.nonce))
        return True

    def _vouches(self, customer: str, name: TicketName, now_ms: float) -> bool:
        return self._is_authentic(customer, name) and now_ms < name.expires_ms

    def _is_authentic(self, customer: str, name: TicketName) -> bool:
        if name[:3] != self._name[:3]:
            return False
        return hmac.compare_digest(
            self._mac(customer, name).encode(), name.mac.encode()
        )

    def _mac(self, customer: str, name: TicketName) -> str:
        text = "\0".join((customer, *(str(field) for field in name[:5])))
        digest = hmac.new(self._secret, text.encode(), hashlib.sha256)
        return digest.hexdigest()[:_MAC_HEX_COUNT]


def _verdict(used: _Used, fingerprint: str, request_id: str) -> str:
    if used.fingerprint != fingerprint:
        return ErrorKind.KEY_REUSED.value
    if used.request_id == request_id and used.use is TicketUse.RUNNING:
        return FRESH
    return _USE_KINDS[used.use].value
