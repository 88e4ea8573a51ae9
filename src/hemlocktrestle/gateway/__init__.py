"""State and decisions of the gateway, without I/O and without a clock."""

from hemlocktrestle.gateway._answer_check import (
    AnswerClass,
    AnswerVerdict,
    ExpectedAnswer,
    classify_answer,
)
from hemlocktrestle.gateway._answer_times import AnswerTimes
from hemlocktrestle.gateway._caller_time import answer_due_ms, part_due_ms
from hemlocktrestle.gateway._configuration import (
    CallerLimits,
    Configuration,
    Customer,
    EngineLimits,
    RequestKind,
    Route,
    Service,
    Target,
    choose_service,
    urgency_rank,
)
from hemlocktrestle.gateway._displaced import DisplacedReplicas
from hemlocktrestle.gateway._event_sequence import ID_DIGITS_MAX, EventSequence
from hemlocktrestle.gateway._events import (
    EVENT_BYTES_MAX,
    PART_BYTES_MAX,
    EventSplitter,
    StreamEvent,
    is_comment,
    parts_of,
)
from hemlocktrestle.gateway._fleet_demand import FleetDemand
from hemlocktrestle.gateway._idle_connections import (
    IdleConnections,
    KeptKey,
    idle_limit_ms,
    kept_per_replica,
)
from hemlocktrestle.gateway._leaving import (
    BORN_UNKNOWN,
    Incarnation,
    LeavingIncarnations,
)
from hemlocktrestle.gateway._pauses import Pause, ReplicaPauses, bounded_pause_ms
from hemlocktrestle.gateway._quota import Demand, FleetSnapshot, Quota, QuotaTracker
from hemlocktrestle.gateway._replicas import (
    STORE_RECOVERY_GRACE_MS,
    ReplicaRecord,
    ReplicaRegistry,
    ReplicaUpdate,
)
from hemlocktrestle.gateway._request import (
    AnswerMetadata,
    Headers,
    RequestMetadata,
)
from hemlocktrestle.gateway._retry_budget import RetryBudget
from hemlocktrestle.gateway._store_revision import NO_ERA, NO_REVISION, StoreRevision

__all__ = [
    "BORN_UNKNOWN",
    "EVENT_BYTES_MAX",
    "ID_DIGITS_MAX",
    "NO_ERA",
    "NO_REVISION",
    "PART_BYTES_MAX",
    "STORE_RECOVERY_GRACE_MS",
    "AnswerClass",
    "AnswerMetadata",
    "AnswerTimes",
    "AnswerVerdict",
    "CallerLimits",
    "Configuration",
    "Customer",
    "Demand",
    "DisplacedReplicas",
    "EngineLimits",
    "EventSequence",
    "EventSplitter",
    "ExpectedAnswer",
    "FleetDemand",
    "FleetSnapshot",
    "Headers",
    "IdleConnections",
    "Incarnation",
    "KeptKey",
    "LeavingIncarnations",
    "Pause",
    "Quota",
    "QuotaTracker",
    "ReplicaPauses",
    "ReplicaRecord",
    "ReplicaRegistry",
    "ReplicaUpdate",
    "RequestKind",
    "RequestMetadata",
    "RetryBudget",
    "Route",
    "Service",
    "StoreRevision",
    "StreamEvent",
    "Target",
    "answer_due_ms",
    "bounded_pause_ms",
    "choose_service",
    "classify_answer",
    "idle_limit_ms",
    "is_comment",
    "kept_per_replica",
    "part_due_ms",
    "parts_of",
    "urgency_rank",
]
