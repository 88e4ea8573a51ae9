"""Messages between the system's own processes, and their encoding.

A *ticket* in these messages is an idempotency key that a VM issued itself; that VM
records whether the key was used.  The *tree* is the settings tree: the documents
with the settings of the fleet and its customers, at one revision.  An *ask* is a
permit request, and an *area* is a scheduling domain.
"""

from hemlocktrestle.wire._codec import (
    FRAME_BYTES_MAX,
    FrameReader,
    decode,
    encode,
    frame_bytes,
)
from hemlocktrestle.wire._messages import (
    MESSAGE_TYPES,
    NO_OBJECTIVE,
    PROTOCOL_VERSION,
    TIERS,
    Ask,
    ConfigurationNews,
    CustomerDemand,
    Heartbeat,
    Hello,
    Message,
    Permit,
    PoolSummary,
    Pulse,
    Queued,
    Refusal,
    Release,
    ReplicaNews,
    Running,
    Suspicion,
    TicketClose,
    TicketOpen,
    TicketVerdict,
    TreeFetch,
    TreePage,
    UpstreamRefusal,
    Withdraw,
)

__all__ = [
    "FRAME_BYTES_MAX",
    "MESSAGE_TYPES",
    "NO_OBJECTIVE",
    "PROTOCOL_VERSION",
    "TIERS",
    "Ask",
    "ConfigurationNews",
    "CustomerDemand",
    "FrameReader",
    "Heartbeat",
    "Hello",
    "Message",
    "Permit",
    "PoolSummary",
    "Pulse",
    "Queued",
    "Refusal",
    "Release",
    "ReplicaNews",
    "Running",
    "Suspicion",
    "TicketClose",
    "TicketOpen",
    "TicketVerdict",
    "TreeFetch",
    "TreePage",
    "UpstreamRefusal",
    "Withdraw",
    "decode",
    "encode",
    "frame_bytes",
]
