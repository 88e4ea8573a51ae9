"""What VMs say to each other: links, asks for permits, and the keeper's task."""

from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.peers._network import PeerNetwork
from hemlocktrestle.peers._permit_client import HeldPermit, PermitClient
from hemlocktrestle.peers._scheduler_task import (
    INBOX_MESSAGES_MAX,
    QuotaGate,
    SchedulerTask,
)

__all__ = [
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
