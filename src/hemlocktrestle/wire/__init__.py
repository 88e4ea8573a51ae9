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
    NO_TIER,
    PROTOCOL_VERSION,
    ConfigurationNews,
    CustomerDemand,
    Heartbeat,
    Hello,
    LeavingReplica,
    Message,
    PartTrial,
    PoolSummary,
    ReplicaBatch,
    ReplicaFetch,
    ReplicaNews,
    SoundPart,
    SoundRequest,
    Suspicion,
    TicketClose,
    TicketOpen,
    TicketVerdict,
    TreeFetch,
    TreePage,
    UpstreamRefusal,
)
from hemlocktrestle.wire._permit_messages import (
    NO_PART_LIMIT,
    TIERS,
    Ask,
    Permit,
    Pulse,
    Queued,
    Refusal,
    Release,
    Running,
    Withdraw,
)
from hemlocktrestle.wire._registry import MESSAGE_TYPES
from hemlocktrestle.wire._rollout_messages import (
    RolloutGrant,
    RolloutReport,
    VersionTally,
)

__all__ = [
    "FRAME_BYTES_MAX",
    "MESSAGE_TYPES",
    "NO_PART_LIMIT",
    "NO_TIER",
    "PROTOCOL_VERSION",
    "TIERS",
    "Ask",
    "ConfigurationNews",
    "CustomerDemand",
    "FrameReader",
    "Heartbeat",
    "Hello",
    "LeavingReplica",
    "Message",
    "PartTrial",
    "Permit",
    "PoolSummary",
    "Pulse",
    "Queued",
    "Refusal",
    "Release",
    "ReplicaBatch",
    "ReplicaFetch",
    "ReplicaNews",
    "RolloutGrant",
    "RolloutReport",
    "Running",
    "SoundPart",
    "SoundRequest",
    "Suspicion",
    "TicketClose",
    "TicketOpen",
    "TicketVerdict",
    "TreeFetch",
    "TreePage",
    "UpstreamRefusal",
    "VersionTally",
    "Withdraw",
    "decode",
    "encode",
    "frame_bytes",
]
