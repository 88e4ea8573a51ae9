"""Pool scheduler: queues permit requests and grants permits for a pool's slots.

A permit is the leave to dispatch one request to one upstream, a lease on one slot.
One VM of a scheduling domain (a zone or a region) schedules each pool; the VMs that
took the requests ask it for permits.
"""

from hemlocktrestle.scheduler import _fair_queue as _fair_queue
from hemlocktrestle.scheduler import _slack_queue as _slack_queue
from hemlocktrestle.scheduler._chooser import CHOOSERS, Chooser, chooser
from hemlocktrestle.scheduler._core import PoolScheduler, Preview
from hemlocktrestle.scheduler._early_refusal import (
    EARLY_REFUSALS,
    DeadlineForecast,
    early_refusal,
)
from hemlocktrestle.scheduler._forecast import Forecast
from hemlocktrestle.scheduler._outgoing import Outgoing
from hemlocktrestle.scheduler._permits import PERMIT_VALID_MS
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
from hemlocktrestle.scheduler._work import WorkEstimates

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
    "DeadlineForecast",
    "Forecast",
    "InFlight",
    "Outgoing",
    "PoolPolicy",
    "PoolScheduler",
    "Preview",
    "QueuedAsk",
    "SlotBound",
    "UpstreamModel",
    "WorkEstimates",
    "chooser",
    "early_refusal",
    "policy",
    "policy_named",
    "queue",
    "slot_bound",
]
