"""HTTP/1.1 server for callers and client for replicas, built on h11."""

from hemlocktrestle.relay._answer_sender import SEND_TIMEOUT_S
from hemlocktrestle.relay._body_budget import BodyMemoryBudget, BudgetShare
from hemlocktrestle.relay._caller_request import CallerRequest, RequestBody
from hemlocktrestle.relay._client import (
    AnswerReader,
    ConnectTimeoutError,
    ReplicaAnswer,
    ReplicaRequest,
    exchange,
    open_connection,
)
from hemlocktrestle.relay._cut_reason import CutReason
from hemlocktrestle.relay._header_pattern import bound_header_parsing
from hemlocktrestle.relay._reuse import is_quiet, limit_unacknowledged
from hemlocktrestle.relay._server import AHEAD_BYTES_MAX, CallerConnection

# Before any connection is parsed, whichever daemon uses it.
bound_header_parsing()

__all__ = [
    "AHEAD_BYTES_MAX",
    "SEND_TIMEOUT_S",
    "AnswerReader",
    "BodyMemoryBudget",
    "BudgetShare",
    "CallerConnection",
    "CallerRequest",
    "ConnectTimeoutError",
    "CutReason",
    "ReplicaAnswer",
    "ReplicaRequest",
    "RequestBody",
    "bound_header_parsing",
    "exchange",
    "is_quiet",
    "limit_unacknowledged",
    "open_connection",
]
