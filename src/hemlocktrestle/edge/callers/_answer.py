"""HTTP answers for requests that failed."""

import json
import random
from typing import NamedTuple

from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, outcome_of

_EDGE_STATUS = {
    # The platform's callers treat any 4xx status as a fault of the request.
    ErrorKind.QUARANTINED: 503,
    # 503 states that the request did not run, so the caller can retry in time.
    ErrorKind.DEADLINE_IN_QUEUE: 503,
}
"""Statuses that differ from those of the zone daemon's HTTP interface."""

RETRY_AFTER_MS_MIN = 50.0
"""Shortest ``Retry-After`` that a caller gets, in milliseconds."""

SPREAD_SHARE = 0.5
"""Longest random addition to a ``Retry-After``, as a share of it.

Callers that were refused together would otherwise come back together.
"""


class ErrorAnswer(NamedTuple):
    """Status, header lines and body of an error answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def error_answer(
    error: RequestError, *, may_have_sent: bool, jitter: random.Random
) -> ErrorAnswer:
    """Return the answer to a failed request.

    Args:
        error: why it failed.
        may_have_sent: whether the request was sent to a replica that may have run it.
        jitter: spreads the times at which refused callers come back.
    """
    outcome = outcome_of(error.kind, may_have_sent=may_have_sent)
    answer = ANSWERS[error.kind]
    status = _EDGE_STATUS.get(error.kind, answer.status)
    headers = [(b"content-type", b"application/json")]
    retry_after_ms = error.retry_after_ms
    if retry_after_ms is None and answer.retry_after_s is not None:
        retry_after_ms = answer.retry_after_s * 1000.0
    if retry_after_ms is not None and status in {429, 503}:
        pause_ms = retry_after_ms * jitter.uniform(1.0, 1.0 + SPREAD_SHARE)
        seconds = max(RETRY_AFTER_MS_MIN, pause_ms) / 1000
        headers.append((b"retry-after", f"{seconds:.2f}".encode()))
    document = {
        "error": {
            "kind": error.kind.value,
            "message": error.message,
            "outcome": outcome.value,
        }
    }
    return ErrorAnswer(status, headers, json.dumps(document).encode())
