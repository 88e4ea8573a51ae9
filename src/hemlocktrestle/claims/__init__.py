"""Claims: a durable record for each key, so that its work takes effect once."""

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
    TICKET_MS,
    TicketTable,
    is_ticket,
    parse_ticket,
)

__all__ = [
    "ANSWER_BYTES_MAX",
    "CLAIM_PREFIX",
    "FRESH",
    "TICKET_MS",
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
