"""The stored record of one idempotency key, its encoding and its meaning."""

import base64
import hashlib
import json
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.documents import parse_json
from hemlocktrestle.errors import ErrorKind, RequestError

CLAIM_PREFIX = "/hemlocktrestle/claims/"
"""Prefix of the store keys of claims."""

ANSWER_BYTES_MAX = 256 * 1024
"""Largest answer body that a claim records, in bytes."""


CLOCK_SKEW_MS_MAX = 60_000
"""Largest difference assumed between the clocks of two machines, in milliseconds."""


class ClaimState(Enum):
    """Progress of the request under a key."""

    OPEN = "open"
    DONE = "done"
    UNKNOWN = "unknown"
    SETTLED_RUN = "settled-run"


class RecordedAnswer(NamedTuple):
    """An answer replayed to resends; ``body`` is ``None`` if it was too large."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Claim(NamedTuple):
    """The record of an idempotency key that a request has claimed.

    Args:
        state: progress of the request.
        writer: VM name and boot ID of the process that claimed it.
        attempt: unique ID of the write that claimed it.
        fingerprint: digest of caller, method, target and body.
        request_id: the request that claimed it.
        opened_ms: time of the claim, in milliseconds since the epoch.
        run_by_ms: time after which its writer no longer dispatches the request.
        lease_id: lease in the store with which the claim expires.
        answer: the recorded answer, once the state is ``DONE``.
    """

    state: ClaimState
    writer: str
    attempt: str
    fingerprint: str
    request_id: str
    opened_ms: int
    run_by_ms: int
    lease_id: int
    answer: RecordedAnswer | None = None


def claim_key(customer: str, key: str) -> str:
    """Return the store key of the claim of a customer's idempotency key."""
    digest = hashlib.sha256(key.encode()).hexdigest()
    return f"{CLAIM_PREFIX}{customer}/{digest}"


def fingerprint_of(method: str, target: str, body: bytes, *, caller: str = "") -> str:
    """Return the digest by which two requests under one key are compared.

    Args:
        method: HTTP method.
        target: path and query.
        body: the body.
        caller: the caller, so that no caller gets another caller's answer.
    """
    digest = hashlib.sha256()
    for part in (caller.encode(), method.encode(), target.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_to_json(claim: Claim) -> bytes:
    """Return the stored form of a claim."""
    fields = claim._asdict()
    fields["state"] = claim.state.value
    if claim.answer is not None:
        answer = claim.answer._asdict()
        if claim.answer.body is not None:
            answer["body"] = base64.b64encode(claim.answer.body).decode()
        fields["answer"] = answer
    return json.dumps(fields, sort_keys=True).encode()


def claim_from_json(data: bytes) -> Claim:
    """Parse the stored form of a claim.

    Raises:
        RequestError: of kind ``KEY_UNVOUCHED`` if the value is not readable.
    """
    try:
        fields = parse_json(data, source="claim", kind=ErrorKind.KEY_UNVOUCHED)
        fields["state"] = ClaimState(fields["state"])
        if fields["answer"] is not None:
            fields["answer"] = _answer_from_fields(fields["answer"])
        return Claim(**fields)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RequestError(
            ErrorKind.KEY_UNVOUCHED, "stored claim is not readable"
        ) from error


def _answer_from_fields(fields: dict[str, object]) -> RecordedAnswer:
    body = fields["body"]
    headers = fields["headers"]
    return RecordedAnswer(
        int(str(fields["status"])),
        tuple((name, value) for name, value in headers),  # type: ignore[attr-defined]
        None if body is None else base64.b64decode(str(body)),
    )


_ERROR_BY_STATE: dict[ClaimState, tuple[ErrorKind, str]] = {
    ClaimState.OPEN: (
        ErrorKind.KEY_IN_PROGRESS,
        "a request under this key is running, or its outcome was lost",
    ),
    ClaimState.UNKNOWN: (
        ErrorKind.KEY_UNVOUCHED,
        "the outcome under this key is unknown; an operator can settle it",
    ),
    ClaimState.SETTLED_RUN: (
        ErrorKind.ANSWER_NOT_KEPT,
        "the work under this key ran; its answer was not kept",
    ),
}


def is_abandoned(claim: Claim, *, wall_ms: int) -> bool:
    """Return whether the writer of an open claim can no longer dispatch under it."""
    return wall_ms > claim.run_by_ms + CLOCK_SKEW_MS_MAX


def answer_for_resend(
    claim: Claim, fingerprint: str, *, wall_ms: int
) -> RecordedAnswer:
    """Return the answer for a resend under a claimed key.

    Args:
        claim: the stored claim.
        fingerprint: digest of the resend.
        wall_ms: the time in milliseconds since the epoch.

    Returns:
        The recorded answer.

    Raises:
        RequestError: ``KEY_REUSED`` if the resend is a different request; otherwise
            the error kind for the claim's state.
    """
    if claim.fingerprint != fingerprint:
        raise RequestError(
            ErrorKind.KEY_REUSED, "this key was used with another request"
        )
    if claim.state is ClaimState.OPEN and is_abandoned(claim, wall_ms=wall_ms):
        raise RequestError(*_ERROR_BY_STATE[ClaimState.UNKNOWN])
    if claim.state is not ClaimState.DONE:
        raise RequestError(*_ERROR_BY_STATE[claim.state])
    if claim.answer is None or claim.answer.body is None:
        raise RequestError(*_ERROR_BY_STATE[ClaimState.SETTLED_RUN])
    return claim.answer
