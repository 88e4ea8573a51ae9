"""Durable records of idempotency keys, so that each key takes effect once.

A claim is the record of one idempotency key in the store: who runs the request and
how it ended.  A ticket is an idempotency key that a VM issued itself and can vouch
for without a record in the store.
"""

from hemlocktrestle.claims._record import (
    ANSWER_BYTES_MAX,
    CLAIM_PREFIX,
    Claim,
    ClaimState,
    RecordedAnswer,
    answer_for_resend,
    claim_from_json,
    claim_key,
    claim_to_json,
    fingerprint_of,
    is_abandoned,
)
from hemlocktrestle.claims._registry import ClaimRegistry, OpenClaim
from hemlocktrestle.claims._settlement import ListedClaim, list_claims, settle_claim
from hemlocktrestle.claims._tickets import (
    FRESH,
    TICKET_LIFETIME_MS,
    TicketTable,
    is_ticket,
    parse_ticket,
)

__all__ = [
    "ANSWER_BYTES_MAX",
    "CLAIM_PREFIX",
    "FRESH",
    "TICKET_LIFETIME_MS",
    "Claim",
    "ClaimRegistry",
    "ClaimState",
    "ListedClaim",
    "OpenClaim",
    "RecordedAnswer",
    "TicketTable",
    "answer_for_resend",
    "claim_from_json",
    "claim_key",
    "claim_to_json",
    "fingerprint_of",
    "is_abandoned",
    "is_ticket",
    "list_claims",
    "parse_ticket",
    "settle_claim",
]
