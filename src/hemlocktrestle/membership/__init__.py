"""Membership: live VMs, upstreams that take work, and roles by rendezvous hashing."""

from hemlocktrestle.membership._backoff import Backoff
from hemlocktrestle.membership._listing_guard import (
    MASS_LOSS_RETENTION_MS,
    ListingGuard,
)
from hemlocktrestle.membership._records import (
    Listing,
    UpstreamKind,
    UpstreamRecord,
    VmRecord,
    VmSize,
)
from hemlocktrestle.membership._refusals import ProbeResult, RefusalTracker
from hemlocktrestle.membership._table import (
    PEER_TIMEOUT_MS,
    Membership,
    highest_ranked,
    region_of,
)
from hemlocktrestle.membership._zone_choice import (
    ZoneLoad,
    expected_wait_ms,
    order_zones,
)

__all__ = [
    "MASS_LOSS_RETENTION_MS",
    "PEER_TIMEOUT_MS",
    "Backoff",
    "Listing",
    "ListingGuard",
    "Membership",
    "ProbeResult",
    "RefusalTracker",
    "UpstreamKind",
    "UpstreamRecord",
    "VmRecord",
    "VmSize",
    "ZoneLoad",
    "expected_wait_ms",
    "highest_ranked",
    "order_zones",
    "region_of",
]
