"""HTTP/1.1 with control over each connection: callers on one side, replicas on the other."""

from hemlocktrestle.relay._client import (
    ReplicaAnswer,
    ReplicaRequest,
    exchange,
    open_connection,
)
from hemlocktrestle.relay._server import CallerConnection, CallerRequest

__all__ = [
    "CallerConnection",
    "CallerRequest",
    "ReplicaAnswer",
    "ReplicaRequest",
    "exchange",
    "open_connection",
]
