"""The messages that the system's own processes exchange, as immutable records.

Their names and fields are those of the schema ``peer.capnp``.
"""

from typing import NamedTuple

from hemlocktrestle.wire._permit_messages import (
    Ask,
    Permit,
    Pulse,
    Queued,
    Refusal,
    Release,
    Running,
    Withdraw,
)
from hemlocktrestle.wire._registry import message
from hemlocktrestle.wire._rollout_messages import RolloutGrant, RolloutReport

PROTOCOL_VERSION = 1
"""Protocol version sent in :class:`Hello`; a peer with another one is refused."""


@message("hello")
class Hello(NamedTuple):
    """First message on a link, in both directions.

    ``boot_id`` changes each time that the process starts.
    """

    version: int
    vm: str
    zone: str
    region: str
    boot_id: str


NO_TIER = 0xFFFF_FFFF
"""Value of ``standing_tier`` for a queue that does not stand."""


class PoolSummary(NamedTuple):
    """A scheduler's summary of one pool, sent in heartbeats.

    ``standing_tier`` is the rank from which on requests are refused because the queue
    stands, or ``NO_TIER``.
    """

    pool: str
    queued_count: int
    wait_ms: int
    free_slots: int
    standing_tier: int = NO_TIER


class UpstreamRefusal(NamedTuple):
    """Whether an upstream refuses work; the update with the higher version wins."""

    upstream: str
    address: str
    version: int
    is_refusing: bool


class CustomerDemand(NamedTuple):
    """Demand of one customer.

    ``asked_per_s`` is the rate that it asks for; ``spent`` is what it has used
    within one window of its quota.
    """

    customer: str
    asked_per_s: float
    spent: float


class LeavingReplica(NamedTuple):
    """An incarnation of a replica that leaves or has gone.

    ``born_ms`` is the wall-clock time of its start, 0 if it is not known.
    ``left_address`` is where another replica answered in its place; if it is empty,
    the replica said in an answer that it leaves.
    """

    replica_id: str
    born_ms: int
    left_address: str = ""


class SoundPart(NamedTuple):
    """An accused part of prompts that was in an answered request, and how long ago."""

    part: str
    age_ms: int


class SoundRequest(NamedTuple):
    """An accused request, by its fingerprint, that was answered, and how long ago."""

    fingerprint: str
    age_ms: int


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Periodic message on each link: it shows that the sender is alive.

    ``tree_revision`` is the revision of the settings in force at the sender,
    ``tree_lineage`` identifies the history of the store that it belongs to, and
    ``tree_age_ms`` is the time since that revision was last confirmed.  On the
    users' platform, ``tree_revision`` is that of the operator's configuration.

    ``demands`` are the sender's own; ``area_demands`` are the last known demands of
    all VMs in its scheduling domain, ``area_vm_count`` of them with the sender.  Only
    the domain's scheduler sends them; from others ``area_vm_count`` is 0.
    ``young`` is the startup share: the part of the quota window that lies before
    the start of the sender's process.  ``area_young`` is the sum over the domain.

    ``follows_replicas`` tells whether the sender watches the replicas in the store;
    ``vms_digest`` is a digest of the entries of the VMs that it knows.
    ``store_era`` is the highest era of the store that the sender knows, ``tree_era``
    that of ``tree_revision``; a VM of an earlier version sends none.
    ``leaving`` are the replicas that leave though their registration does not say so.
    ``sound_parts`` are parts of prompts that crashes are blamed on, but that the
    sender saw in answered requests.  ``sound_requests`` are such requests themselves.
    """

    tree_revision: int
    tree_lineage: str
    tree_age_ms: int
    draining: bool
    pools: tuple[PoolSummary, ...] = ()
    refusals: tuple[UpstreamRefusal, ...] = ()
    demands: tuple[CustomerDemand, ...] = ()
    area_demands: tuple[CustomerDemand, ...] = ()
    area_vm_count: int = 0
    young: float = 0.0
    area_young: float = 0.0
    follows_replicas: bool = False
    vms_digest: int = 0
    leaving: tuple[LeavingReplica, ...] = ()
    sound_parts: tuple[SoundPart, ...] = ()
    sound_requests: tuple[SoundRequest, ...] = ()
    store_era: int = 0
    tree_era: int = 0


@message("treeFetch")
class TreeFetch(NamedTuple):
    """Requests the changes after a revision, or one page of a snapshot.

    ``snapshot_revision`` and ``first_name`` tell where the next page starts.
    ``after_era`` is the era of the store that the revision belongs to.
    """

    after_revision: int
    lineage: str
    is_snapshot: bool = False
    snapshot_revision: int = 0
    first_name: str = ""
    after_era: int = 0


@message("treePage")
class TreePage(NamedTuple):
    """One page of changes or of a snapshot, as JSON in ``body``."""

    revision: int
    lineage: str
    body: bytes
    is_last: bool


@message("ticketOpen")
class TicketOpen(NamedTuple):
    """Asks the VM that issued a ticket whether the ticket is unused."""

    request_id: str
    customer: str
    ticket: str
    fingerprint: str


@message("ticketVerdict")
class TicketVerdict(NamedTuple):
    """Reply to :class:`TicketOpen`.

    ``verdict`` is ``fresh`` or the value of an error kind.
    """

    request_id: str
    verdict: str


@message("ticketClose")
class TicketClose(NamedTuple):
    """Reports to the issuing VM how the request under a ticket ended."""

    customer: str
    ticket: str
    request_id: str
    outcome: str


@message("suspicion")
class Suspicion(NamedTuple):
    """An upstream crashed while it ran a request with this body fingerprint.

    ``parts`` are the parts of its prompt that may have caused the crash, in order;
    there are none if content of the answer had come.  ``is_started`` tells whether
    its head had come.  ``born_ms`` is the start of the upstream, 0 if unknown, and
    ``age_ms`` the time since the crash if the message is sent again.  ``ran_ms`` is
    for how long the request had run, 0 if the sender does not say.
    """

    pool: str
    fingerprint: str
    upstream: str
    request_id: str
    parts: tuple[str, ...] = ()
    is_started: bool = False
    born_ms: int = 0
    age_ms: int = 0
    ran_ms: int = 0


@message("partTrial")
class PartTrial(NamedTuple):
    """A request that tests suspected parts of prompts is sent, or has ended.

    ``suspects`` are the parts that no other request may test meanwhile.
    ``sound_parts`` are those that its answer acquits at the end.
    """

    request_id: str
    suspects: tuple[str, ...]
    is_running: bool
    sound_parts: tuple[str, ...] = ()


@message("replicaNews")
class ReplicaNews(NamedTuple):
    """State of one replica at a store revision; the later one in the later era wins."""

    replica_id: str
    revision: int
    is_gone: bool
    service: str = ""
    address: str = ""
    zone: str = ""
    slots: int = 0
    is_draining: bool = False
    cold_ms: float = 0.0
    born_ms: int = 0
    era: int = 0
    version: str = ""


@message("replicaBatch")
class ReplicaBatch(NamedTuple):
    """Changes of the sender's replicas, or all of them if ``is_full``.

    ``sequence`` grows by one with each batch of changes, so that a missing one is
    noticed; a full batch has that of the last one.  ``revision`` is the store's up to
    which the sender knows all changes, in the era ``era``.
    """

    sequence: int
    revision: int
    is_full: bool
    replicas: tuple[ReplicaNews, ...]
    era: int = 0


@message("replicaFetch")
class ReplicaFetch(NamedTuple):
    """Asks for all replicas of a VM; ``sequence`` is that of its last batch known."""

    sequence: int


@message("configurationNews")
class ConfigurationNews(NamedTuple):
    """The operator's configuration in the store at a revision."""

    revision: int
    document: bytes
    era: int = 0


Message = (
    Hello
    | Heartbeat
    | Ask
    | Permit
    | Refusal
    | Release
    | Withdraw
    | Running
    | TreeFetch
    | TreePage
    | TicketOpen
    | TicketVerdict
    | TicketClose
    | Suspicion
    | Queued
    | Pulse
    | ReplicaNews
    | ReplicaBatch
    | ReplicaFetch
    | ConfigurationNews
    | PartTrial
    | RolloutGrant
    | RolloutReport
)
