"""State and decisions of the gateway, without I/O and without a clock."""

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
from hemlocktrestle.gateway._events import EventCutter, StreamEvent
from hemlocktrestle.gateway._fleet_demand import FleetDemand
from hemlocktrestle.gateway._quota import Demand, Fleet, Quota, QuotaBook
from hemlocktrestle.gateway._replicas import (
    RETURN_MS,
    ReplicaBook,
    ReplicaFact,
    ReplicaRecord,
)
from hemlocktrestle.gateway._request import (
    AnswerFacts,
    Headers,
    RequestFacts,
)
from hemlocktrestle.gateway._retry_budget import RetryBudget

__all__ = [
    "RETURN_MS",
    "AnswerFacts",
    "CallerLimits",
    "Configuration",
    "Customer",
    "Demand",
    "EngineLimits",
    "EventCutter",
    "Fleet",
    "FleetDemand",
    "Headers",
    "Quota",
    "QuotaBook",
    "ReplicaBook",
    "ReplicaFact",
    "ReplicaRecord",
    "RequestFacts",
    "RequestKind",
    "RetryBudget",
    "Route",
    "Service",
    "StreamEvent",
    "Target",
    "choose_service",
    "urgency_rank",
]
