"""The keeper: one queue and one set of permits in front of each pool of a zone."""

from hemlocktrestle.scheduler import _fair_queue as _fair_queue
from hemlocktrestle.scheduler import _objective_queue as _objective_queue
from hemlocktrestle.scheduler._chooser import CHOOSERS, Chooser, chooser
from hemlocktrestle.scheduler._core import PERMIT_VALID_MS, Outgoing, PoolScheduler
from hemlocktrestle.scheduler._early_refusal import (
    EARLY_REFUSALS,
    Prospect,
    early_refusal,
)
from hemlocktrestle.scheduler._policy import (
    POLICIES,
    POLICY_DEFAULT,
    QUEUED_COUNT_MAX,
    PoolPolicy,
    policy,
    policy_named,
)
from hemlocktrestle.scheduler._queue import QUEUES, AskQueue, QueuedAsk, queue
from hemlocktrestle.scheduler._slots import SLOT_BOUNDS, SlotBound, slot_bound
from hemlocktrestle.scheduler._upstream import InFlight, UpstreamModel

__all__ = [
    "CHOOSERS",
    "EARLY_REFUSALS",
    "PERMIT_VALID_MS",
    "POLICIES",
    "POLICY_DEFAULT",
    "QUEUED_COUNT_MAX",
    "QUEUES",
    "SLOT_BOUNDS",
    "AskQueue",
    "Chooser",
    "InFlight",
    "Outgoing",
    "PoolPolicy",
    "PoolScheduler",
    "Prospect",
    "QueuedAsk",
    "SlotBound",
    "UpstreamModel",
    "chooser",
    "early_refusal",
    "policy",
    "policy_named",
    "queue",
    "slot_bound",
]
