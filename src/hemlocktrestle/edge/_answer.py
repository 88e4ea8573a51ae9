"""The answer to a caller whose request failed."""

import json
from typing import NamedTuple

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, outcome_of

_EDGE_STATUS = {
    # The platform's callers take any status of 4xx for a fault of the request.
    ErrorKind.QUARANTINED: 503,
    # A promise that it was not run lets the caller come again in time.
    ErrorKind.DEADLINE_IN_QUEUE: 503,
}
"""Statuses that differ from those of the product's own interface."""

RETRY_AFTER_MS_MIN = 50.0
"""Shortest pause that a caller is asked for, in milliseconds."""


class ErrorAnswer(NamedTuple):
    """Status, header lines and body."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def error_answer(error: RequestError, *, may_have_sent: bool) -> ErrorAnswer:
    """Return the answer to a failed request.

    Args:
        error: why it failed.
        may_have_sent: whether a byte of it may have run at a replica.
    """
    outcome = outcome_of(error.kind, may_have_sent=may_have_sent)
    answer = ANSWERS[error.kind]
    status = _EDGE_STATUS.get(error.kind, answer.status)
    headers = [(b"content-type", b"application/json")]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None and answer.retry_after_s is not None:
        retry_after_ms = answer.retry_after_s * 1000.0
    if retry_after_ms is not None and status in {429, 503}:
        seconds = max(RETRY_AFTER_MS_MIN, retry_after_ms) / 1000
        headers.append((b"retry-after", f"{seconds:.2f}".encode()))
    document = {
        "error": {
            "kind": error.kind.value,
            "message": error.message,
            "outcome": outcome.value,
        }
    }
    return ErrorAnswer(status, headers, json.dumps(document).encode())
