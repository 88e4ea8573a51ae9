"""HTTP/1.1 server for callers and client for replicas, built on h11."""

from hemlocktrestle.relay._body_budget import BodyMemoryBudget
from hemlocktrestle.relay._client import (
    ConnectTimeoutError,
    ReplicaAnswer,
    ReplicaRequest,
    exchange,
    open_connection,
)
from hemlocktrestle.relay._server import CallerConnection, CallerRequest

__all__ = [
    "BodyMemoryBudget",
    "CallerConnection",
    "CallerRequest",
    "ConnectTimeoutError",
    "ReplicaAnswer",
    "ReplicaRequest",
    "exchange",
    "open_connection",
]
