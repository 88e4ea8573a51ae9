"""Communication between VMs: links, permit requests, and the scheduler task."""

from hemlocktrestle.peers._asker import Asker, HeldPermit
from hemlocktrestle.peers._keeper_task import INBOX_COUNT, KeeperTask, QuotaGate
from hemlocktrestle.peers._link import Link, LinkEvents, accept, dial
from hemlocktrestle.peers._network import PeerNetwork

__all__ = [
    "INBOX_COUNT",
    "Asker",
    "HeldPermit",
    "KeeperTask",
    "Link",
    "LinkEvents",
    "PeerNetwork",
    "QuotaGate",
    "accept",
    "dial",
]
