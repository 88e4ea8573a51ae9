"""Pool scheduler: queues permit requests and grants permits for a pool's slots.

A permit is the leave to dispatch one request to one upstream, a lease on one slot.
One VM of a scheduling domain (a zone or a region) schedules each pool; the VMs that
took the requests ask it for permits.
"""

from hemlocktrestle.keeper import _fair_queue as _fair_queue
from hemlocktrestle.keeper import _objective_queue as _objective_queue
from hemlocktrestle.keeper._chooser import CHOOSERS, Chooser, chooser
from hemlocktrestle.keeper._core import PERMIT_VALID_MS, Outgoing, PoolKeeper
from hemlocktrestle.keeper._early_refusal import (
    EARLY_REFUSALS,
    Prospect,
    early_refusal,
)
from hemlocktrestle.keeper._policy import (
    POLICIES,
    POLICY_DEFAULT,
    QUEUED_COUNT_MAX,
    PoolPolicy,
    policy,
    policy_named,
)
from hemlocktrestle.keeper._queue import QUEUES, AskQueue, Waiting, queue
from hemlocktrestle.keeper._slots import SLOT_BOUNDS, SlotBound, slot_bound
from hemlocktrestle.keeper._upstream import InHand, UpstreamModel

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
    "InHand",
    "Outgoing",
    "PoolKeeper",
    "PoolPolicy",
    "Prospect",
    "SlotBound",
    "UpstreamModel",
    "Waiting",
    "chooser",
    "early_refusal",
    "policy",
    "policy_named",
    "queue",
    "slot_bound",
]
