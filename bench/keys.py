"""Measures claims and tickets: time, memory and bytes, each at three sizes.

A claim is the durable record of an idempotency key; a ticket is an idempotency key
that a VM issued.  Run with ``python -m bench.keys``.
"""

import itertools
import time
import tracemalloc

from hemlocktrestle.claims import (
    Claim,
    ClaimState,
    RecordedAnswer,
    TicketTable,
    claim_from_json,
    claim_to_json,
    fingerprint_of,
)
from hemlocktrestle.wire import (
    Ask,
    Message,
    Permit,
    Release,
    TicketClose,
    TicketOpen,
    TicketVerdict,
    frame_bytes,
)

SIZES = (10_000, 20_000, 40_000)
BODY_SIZES = (100, 10_000, 200_000)
REQUEST_ID = "0123456789abcdef" * 2
FINGERPRINT = fingerprint_of("POST", "/v1/chat/completions", b"{}")


def new_table() -> TicketTable:
    """Return an empty ticket table."""
    ids = itertools.count()
    return TicketTable(
        zone="pwani-a",
        vm="vm-1",
        boot_id="b3397297b74ce461",
        secret=b"s" * 32,
        new_id=lambda: f"{next(ids):024x}",
    )


def use_tickets(table: TicketTable, count: int) -> str:
    """Issue and open ``count`` tickets, and return the last one."""
    ticket = ""
    for index in range(count):
        ticket = table.issue("clinics", index)
        table.open(
            customer="clinics",
            ticket=ticket,
            fingerprint=fingerprint_of("POST", "/", str(index).encode()),
            request_id=f"{index:032x}",
            now_ms=index,
        )
    return ticket


def ticket_costs() -> str:
    """Print time and memory per opened ticket, and return one ticket."""
    ticket = ""
    for size in SIZES:
        started_s = time.process_time()
        ticket = use_tickets(new_table(), size)
        each_us = (time.process_time() - started_s) / size * 1e6
        tracemalloc.start()
        table = new_table()
        use_tickets(table, size)
        each_bytes = tracemalloc.get_traced_memory()[0] / size
        tracemalloc.stop()
        print(f"tickets {size:6}: {each_us:6.1f} us and {each_bytes:5.0f} bytes each")
    return ticket


def claim_costs() -> None:
    """Print the stored size of claims, and the time to encode and decode them."""
    opened = Claim(
        ClaimState.OPEN,
        "vm-1/b3397297b74ce461",
        "a" * 32,
        FINGERPRINT,
        REQUEST_ID,
        1_796_372_293_487,
        1_796_372_323_487,
        7_587_880,
    )
    print(f"claim open: {len(claim_to_json(opened))} bytes")
    for size in BODY_SIZES:
        answer = RecordedAnswer(201, (("content-type", "text/plain"),), b"x" * size)
        done = opened._replace(state=ClaimState.DONE, answer=answer)
        started_s = time.process_time()
        for _ in range(200):
            data = claim_to_json(done)
            claim_from_json(data)
        each_us = (time.process_time() - started_s) / 200 * 1e6
        print(f"claim done, body {size:6}: {len(data)} bytes, {each_us:.0f} us")


def message_costs(ticket: str) -> None:
    """Print the framed sizes of the messages for permits and tickets."""
    ask_id = f"{REQUEST_ID}.0.0"
    messages: tuple[Message, ...] = (
        Ask(ask_id, "assistant", "clinics", 1, 1.0, 100, 50, 2**63, 9_000),
        Permit(ask_id, "assistant", "engine-1", "10.0.0.1:8000", 3, 1_000),
        Release(ask_id, "assistant", "engine-1", True, "", 100, 1_000, 100, 50),
        TicketOpen(REQUEST_ID, "clinics", ticket, FINGERPRINT),
        TicketVerdict(REQUEST_ID, "fresh"),
        TicketClose("clinics", ticket, REQUEST_ID, "complete"),
    )
    for message in messages:
        print(f"{type(message).__name__}: {len(frame_bytes(message))} bytes")


def main() -> None:
    """Print all costs."""
    ticket = ticket_costs()
    claim_costs()
    message_costs(ticket)


if __name__ == "__main__":
    main()
