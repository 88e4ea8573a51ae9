"""Communication between VMs: links, permit requests, and the scheduler task."""

from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.peers._network import HEARTBEAT_INTERVAL_S, PeerNetwork
from hemlocktrestle.peers._permit_client import HeldPermit, PermitClient
from hemlocktrestle.peers._scheduler_task import (
    INBOX_MESSAGES_MAX,
    QuotaGate,
    SchedulerTask,
)
from hemlocktrestle.peers._version_gate import (
    AnyVersionGate,
    PermittedAsk,
    UsableUpstreams,
    VersionGate,
)

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "INBOX_MESSAGES_MAX",
    "AnyVersionGate",
    "HeldPermit",
    "Link",
    "LinkEvents",
    "PeerNetwork",
    "PermitClient",
    "PermittedAsk",
    "QuotaGate",
    "SchedulerTask",
    "UsableUpstreams",
    "VersionGate",
    "accept",
    "dial",
]
