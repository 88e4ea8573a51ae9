"""Tickets between VMs: the issuing VM, and the requesting VM that asks it.

A ticket is an idempotency key that a VM issued; only that VM knows whether a request
has run under it.
"""

from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.claims import FRESH, TicketTable, parse_ticket
from hemlocktrestle.errors import ErrorKind, Outcome, RequestError
from hemlocktrestle.wire import Message, TicketClose, TicketOpen, TicketVerdict

VERDICT_TIMEOUT_S = 1.0
"""Longest wait for the verdict of a ticket's issuer, in seconds."""

SendMessage = Callable[[str, Message], bool]


class OpenTicket(NamedTuple):
    """A ticket that one request uses, and the VM that issued it."""

    issuer_vm: str
    customer: str
    ticket: str
    request_id: str


class TicketService:
    """Issues tickets, answers other VMs about them, and asks other VMs about theirs.

    Args:
        table: the tickets of this process.
        send: sends a message to a VM; ``False`` if there is no link.
        reply: answers a VM; ``False`` if it is gone.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        table: TicketTable,
        *,
        send: SendMessage,
        reply: SendMessage,
        now_ms: Callable[[], float],
    ) -> None:
        self._table = table
        self._send = send
        self._reply = reply
        self._now_ms = now_ms
        self._pending: dict[str, tuple[str, trio.MemorySendChannel[str]]] = {}

    def issue(self, customer: str, count: int) -> list[str]:
        """Return new tickets for a customer."""
        now_ms = self._now_ms()
        return [self._table.issue(customer, now_ms) for _ in range(count)]

    async def open(
        self, customer: str, ticket: str, *, fingerprint: str, request_id: str
    ) -> OpenTicket:
        """Have the issuer confirm that no request has run under a ticket.

        Args:
            customer: the customer that sends the request.
            ticket: the ticket.
            fingerprint: digest of the request.
            request_id: ID of the request.

        Returns:
            The ticket, in use by this request until it is closed.

        Raises:
            RequestError: ``KEY_UNVOUCHED`` if the issuer gives no verdict; otherwise
                the error kind of its verdict.
        """
        fields = parse_ticket(ticket)
        if fields is None:
            raise _unvouched()
        opened_ticket = OpenTicket(fields.vm, customer, ticket, request_id)
        verdict: str | None = None
        try:
            verdict = await self._request_verdict(opened_ticket, fingerprint)
        finally:
            if verdict is None:
                # The request will not run, so an issuer that marked the ticket used
                # may free it.
                self.close(opened_ticket, Outcome.NOT_RUN)
        if verdict is None:
            raise _unvouched()
        if verdict != FRESH:
            raise RequestError(ErrorKind(verdict), "the ticket does not allow it")
        return opened_ticket

    def close(self, opened: OpenTicket, outcome: Outcome) -> None:
        """Notify the issuer how the request under a ticket ended."""
        notice = TicketClose(
            opened.customer, opened.ticket, opened.request_id, outcome.value
        )
        self._send(opened.issuer_vm, notice)

    def on_message(self, vm: str, message: Message) -> None:
        """Handle a message about a ticket."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, vm, message)

    def on_link_closed(self, vm: str) -> None:
        """Fail the pending questions to an issuer after its link broke."""
        for request_id, (issuer_vm, _) in list(self._pending.items()):
            if issuer_vm == vm:
                self._resolve(request_id, ErrorKind.KEY_UNVOUCHED.value)

    async def _request_verdict(
        self, opened_ticket: OpenTicket, fingerprint: str
    ) -> str | None:
        sender, receiver = trio.open_memory_channel[str](1)
        self._pending[opened_ticket.request_id] = (opened_ticket.issuer_vm, sender)
        question = TicketOpen(
            opened_ticket.request_id,
            opened_ticket.customer,
            opened_ticket.ticket,
            fingerprint,
        )
        try:
            if not self._send(opened_ticket.issuer_vm, question):
                return None
            with trio.move_on_after(VERDICT_TIMEOUT_S):
                return await receiver.receive()
            return None
        finally:
            self._pending.pop(opened_ticket.request_id, None)

    def _resolve(self, request_id: str, verdict: str) -> None:
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending[1].send_nowait(verdict)

    def _on_open(self, vm: str, message: TicketOpen) -> None:
        verdict = self._table.open(
            customer=message.customer,
            ticket=message.ticket,
            fingerprint=message.fingerprint,
            request_id=message.request_id,
            now_ms=self._now_ms(),
        )
        self._reply(vm, TicketVerdict(message.request_id, verdict))

    def _on_close(self, vm: str, message: TicketClose) -> None:
        self._table.close(
            customer=message.customer,
            ticket=message.ticket,
            request_id=message.request_id,
            outcome=message.outcome,
        )

    def _on_verdict(self, vm: str, message: TicketVerdict) -> None:
        pending = self._pending.get(message.request_id)
        if pending is not None and pending[0] == vm:
            self._resolve(message.request_id, message.verdict)


def _unvouched() -> RequestError:
    return RequestError(
        ErrorKind.KEY_UNVOUCHED, "nobody can vouch for this ticket any more"
    )


_HANDLERS: dict[type, Callable[..., None]] = {
    TicketOpen: TicketService._on_open,
    TicketClose: TicketService._on_close,
    TicketVerdict: TicketService._on_verdict,
}
