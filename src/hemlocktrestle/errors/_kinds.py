"""Error kinds, the table from kind to answer, and the error that carries a kind."""

import logging
from enum import Enum
from typing import NamedTuple


class Outcome(Enum):
    """What a caller may conclude about the work that it asked for."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every way in which a request, a peer link or an operator's call can fail."""

    BAD_REQUEST = "bad_request"
    BAD_JSON = "bad_json"
    UNKNOWN_TOKEN = "unknown_token"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    SLOW_SENDER = "slow_sender"
    DEADLINE_INVALID = "deadline_invalid"
    DEADLINE_UNMEETABLE = "deadline_unmeetable"
    DEADLINE_IN_QUEUE = "deadline_in_queue"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    SHED = "shed"
    NO_UPSTREAM = "no_upstream"
    SCHEDULER_GONE = "keeper_gone"
    SETTINGS_UNREADY = "settings_unready"
    DRAINING = "draining"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_UNVOUCHED = "key_unvouched"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    QUARANTINED = "quarantined"
    PERMIT_STALE = "permit_stale"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_BROKEN = "upstream_broken"
    UPSTREAM_SILENT = "upstream_silent"
    DEADLINE_RUNNING = "deadline_running"
    CALLER_GONE = "caller_gone"
    SLOW_READER = "slow_reader"
    PEER_VERSION = "peer_version"
    PEER_IDENTITY = "peer_identity"
    PEER_FRAME = "peer_frame"
    STORE_UNAVAILABLE = "store_unavailable"
    SETTINGS_INVALID = "settings_invalid"
    SETTINGS_CONFLICT = "settings_conflict"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """What one error kind means to a caller and to an operator.

    Args:
        status: HTTP status code.
        outcome: the outcome when no byte has left for an upstream.
        can_follow_send: whether the kind can occur after a byte may have left.
        retry_after_s: value of ``Retry-After`` in seconds, or ``None``.
        log_level: level of the log line, as in :mod:`logging`.
    """

    status: int
    outcome: Outcome
    can_follow_send: bool
    retry_after_s: int | None
    log_level: int


def _not_run(status: int, *, retry_after_s: int | None = None) -> Answer:
    return Answer(status, Outcome.NOT_RUN, False, retry_after_s, logging.INFO)


def _unknown(status: int, *, log_level: int = logging.WARNING) -> Answer:
    return Answer(status, Outcome.UNKNOWN, True, None, log_level)


def _held(status: int, *, retry_after_s: int | None = None) -> Answer:
    """Another arrival under the same key holds the work; this one sent nothing."""
    return Answer(status, Outcome.UNKNOWN, False, retry_after_s, logging.INFO)


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: _not_run(400),
    ErrorKind.BAD_JSON: _not_run(400),
    ErrorKind.UNKNOWN_TOKEN: _not_run(401),
    ErrorKind.NOT_ALLOWED: _not_run(403),
    ErrorKind.UNKNOWN_ROUTE: _not_run(404),
    ErrorKind.UNKNOWN_MODEL: _not_run(404),
    ErrorKind.UNKNOWN_SERVICE: _not_run(404),
    ErrorKind.BODY_TOO_LARGE: _not_run(413),
    ErrorKind.HEADERS_TOO_LARGE: _not_run(431),
    ErrorKind.SLOW_SENDER: _not_run(408),
    ErrorKind.DEADLINE_INVALID: _not_run(400),
    ErrorKind.DEADLINE_UNMEETABLE: _not_run(503, retry_after_s=5),
    ErrorKind.DEADLINE_IN_QUEUE: _not_run(504, retry_after_s=2),
    ErrorKind.RATE_LIMITED: _not_run(429, retry_after_s=1),
    ErrorKind.CONCURRENCY_LIMITED: _not_run(429, retry_after_s=1),
    ErrorKind.SHED: _not_run(503, retry_after_s=2),
    ErrorKind.NO_UPSTREAM: _not_run(503, retry_after_s=2),
    ErrorKind.SCHEDULER_GONE: _not_run(503, retry_after_s=1),
    ErrorKind.SETTINGS_UNREADY: _not_run(503, retry_after_s=2),
    ErrorKind.DRAINING: _not_run(503, retry_after_s=1),
    ErrorKind.KEY_REQUIRED: _not_run(400),
    ErrorKind.KEY_REUSED: _not_run(422),
    ErrorKind.KEY_IN_PROGRESS: _held(409, retry_after_s=2),
    ErrorKind.KEY_UNVOUCHED: _held(409),
    ErrorKind.ANSWER_NOT_KEPT: _held(409),
    ErrorKind.CLAIM_UNAVAILABLE: _not_run(503, retry_after_s=2),
    ErrorKind.QUARANTINED: _not_run(422),
    ErrorKind.PERMIT_STALE: _not_run(503, retry_after_s=1),
    ErrorKind.UPSTREAM_UNREACHABLE: _not_run(503, retry_after_s=1),
    ErrorKind.UPSTREAM_REFUSED: _unknown(502),
    ErrorKind.UPSTREAM_BROKEN: _unknown(502),
    ErrorKind.UPSTREAM_SILENT: _unknown(504),
    ErrorKind.DEADLINE_RUNNING: _unknown(504, log_level=logging.INFO),
    ErrorKind.CALLER_GONE: _unknown(499, log_level=logging.INFO),
    ErrorKind.SLOW_READER: _unknown(499, log_level=logging.INFO),
    ErrorKind.PEER_VERSION: _unknown(400),
    ErrorKind.PEER_IDENTITY: _unknown(403),
    ErrorKind.PEER_FRAME: _unknown(400),
    ErrorKind.STORE_UNAVAILABLE: _not_run(503, retry_after_s=2),
    ErrorKind.SETTINGS_INVALID: _not_run(422),
    ErrorKind.SETTINGS_CONFLICT: _not_run(409),
    ErrorKind.INTERNAL: _unknown(500, log_level=logging.ERROR),
}


class RequestError(Exception):
    """A failure of a known kind.

    Args:
        kind: the kind, which decides status and outcome.
        message: text for the caller; never holds prompt text or secrets.
        retry_after_ms: when the caller may come again, in milliseconds, or ``None``
            for what the table says.
    """

    def __init__(
        self, kind: ErrorKind, message: str, *, retry_after_ms: float | None = None
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.retry_after_ms = retry_after_ms


def outcome_of(kind: ErrorKind, *, may_have_sent: bool) -> Outcome:
    """Tell what a caller may conclude from a failure.

    Args:
        kind: the kind of the failure.
        may_have_sent: whether a byte of the request may have left for an upstream.

    Returns:
        The outcome; never ``NOT_RUN`` once a byte may have left.
    """
    if may_have_sent:
        return Outcome.UNKNOWN
    return ANSWERS[kind].outcome
