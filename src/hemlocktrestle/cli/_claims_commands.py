"""Commands on claims, the durable records of idempotency keys."""

import argparse
import re
import time

from hemlocktrestle.claims import (
    CLAIM_PREFIX,
    ClaimState,
    ListedClaim,
    claim_key,
    list_claims,
    settle_claim,
)
from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._registry import command

_DIGEST = re.compile(r"[0-9a-f]{64}")

_UNSETTLED_STATES = frozenset({ClaimState.OPEN, ClaimState.UNKNOWN})


def _list_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer", help="the customer whose keys they are")
    parser.add_argument(
        "--all", action="store_true", help="also list keys whose outcome is known"
    )


def _settle_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("customer", help="the customer whose key it is")
    parser.add_argument("key", help="the caller's key, or its digest as listed")
    parser.add_argument(
        "--as",
        dest="outcome",
        choices=("run", "not-run"),
        required=True,
        help="what the upstream's own records say",
    )


@command(
    "claims",
    "list",
    help="list keys whose work runs or whose outcome is unknown",
    example="hemlocktrestle claims list clinics",
    arguments=_list_arguments,
)
async def claims_list(context: Context) -> int:
    """List a customer's claims, oldest first."""
    options = context.options
    listed = [
        entry
        for entry in await list_claims(context.store, options.customer)
        if options.all or entry.claim.state in _UNSETTLED_STATES
    ]
    context.show(
        [_entry_to_json(entry) for entry in listed],
        [_entry_to_line(entry) for entry in listed],
    )
    return 0


@command(
    "claims",
    "settle",
    help="record the outcome of a key whose outcome is unknown",
    example="hemlocktrestle claims settle clinics wipe-lamp-7 --as run",
    arguments=_settle_arguments,
)
async def claims_settle(context: Context) -> int:
    """Settle a claim: its request ran, or it did not and the key may be used again."""
    options = context.options
    is_digest = _DIGEST.fullmatch(options.key) is not None
    where = (
        f"{CLAIM_PREFIX}{options.customer}/{options.key}"
        if is_digest
        else claim_key(options.customer, options.key)
    )
    is_by_reading = await settle_claim(
        context.store,
        where,
        has_run=options.outcome == "run",
        wall_ms=time.time_ns() // 1_000_000,
    )
    lines = [f"settled as {options.outcome}"]
    if is_by_reading:
        lines.append("the store's answer was lost; reading showed it was settled")
    shown = {"outcome": options.outcome, "is_settled_by_reading": is_by_reading}
    context.show(shown, lines)
    return 0


def _entry_to_json(entry: ListedClaim) -> dict[str, object]:
    claim = entry.claim
    return {
        "digest": entry.digest,
        "state": claim.state.value,
        "writer": claim.writer,
        "request_id": claim.request_id,
        "opened_ms": claim.opened_ms,
        "run_by_ms": claim.run_by_ms,
    }


def _entry_to_line(entry: ListedClaim) -> str:
    claim = entry.claim
    return (
        f"{entry.digest} {claim.state.value:12} {claim.opened_ms} "
        f"{claim.request_id} {claim.writer}"
    )
