"""HTTP/1.1 server for callers and client for replicas, built on h11."""

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
from hemlocktrestle.relay._reuse import is_quiet, limit_unacknowledged
from hemlocktrestle.relay._server import CallerConnection

__all__ = [
    "AnswerReader",
    "BodyMemoryBudget",
    "BudgetShare",
    "CallerConnection",
    "CallerRequest",
    "ConnectTimeoutError",
    "ReplicaAnswer",
    "ReplicaRequest",
    "RequestBody",
    "exchange",
    "is_quiet",
    "limit_unacknowledged",
    "open_connection",
]
