"""HTTP/1.1 towards callers and replicas, with control over each connection."""

from hemlocktrestle.relay._body_budget import BodyMemoryBudget
from hemlocktrestle.relay._client import (
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
    "ReplicaAnswer",
    "ReplicaRequest",
    "exchange",
    "open_connection",
]
