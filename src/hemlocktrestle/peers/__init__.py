"""Communication between VMs: links, permit requests, and the scheduler task."""

from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.peers._network import HEARTBEAT_INTERVAL_S, PeerNetwork
from hemlocktrestle.peers._permit_client import HeldPermit, PermitClient
from hemlocktrestle.peers._scheduler_task import (
    INBOX_MESSAGES_MAX,
    QuotaGate,
    SchedulerTask,
)

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "INBOX_MESSAGES_MAX",
    "HeldPermit",
    "Link",
    "LinkEvents",
    "PeerNetwork",
    "PermitClient",
    "QuotaGate",
    "SchedulerTask",
    "accept",
    "dial",
]
