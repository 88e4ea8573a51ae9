"""The messages that the system's own processes exchange, as immutable records.

Their names and fields are those of the schema ``peer.capnp``.
"""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

PROTOCOL_VERSION = 1
"""Protocol version sent in :class:`Hello`; a peer with another one is refused."""

TIERS: tuple[str, ...] = ("high", "normal", "low")
"""Tier names from the highest to the lowest priority; the index is the rank."""

NO_PART_LIMIT = -1
"""Value of ``aim_ms`` for a caller that waits for any part until the deadline."""

_Record = TypeVar("_Record", bound=type)

MESSAGE_TYPES: dict[str, type] = {}
"""Record type by its member name in the union ``Frame`` of the schema."""


def message(member: str) -> Callable[[_Record], _Record]:
    """Register a record type for a member of the schema's union.

    Args:
        member: name of the union member, in the schema's camel case.

    Returns:
        A decorator that returns the record type unchanged.
    """

    def register(record: _Record) -> _Record:
        MESSAGE_TYPES[member] = record
        return record

    return register


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


class PoolSummary(NamedTuple):
    """A scheduler's summary of one pool, sent in heartbeats."""

    pool: str
    queued_count: int
    wait_ms: int
    free_slots: int


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
    """An incarnation of a replica that said in an answer that it leaves.

    ``born_ms`` is the wall-clock time of its start, 0 if it is not known.
    """

    replica_id: str
    born_ms: int


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


@message("ask")
class Ask(NamedTuple):
    """Permit request: asks a pool's scheduler for leave to dispatch one request.

    ``tier`` is a priority, 0 the highest; ``deadline_ms`` is the time that remains
    to the deadline when the message is sent; ``excluded`` names upstreams that the
    requesting VM will not use; ``aim_ms`` is the time that remains until the caller
    leaves without a first part of the answer, or ``NO_PART_LIMIT``; requests of one
    ``route`` have similar cost; ``amount`` is the charge to the customer's
    quota, 0 if it was charged before.
    """

    ask_id: str
    pool: str
    customer: str
    tier: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    prefix_digest: int
    deadline_ms: int
    excluded: tuple[str, ...] = ()
    aim_ms: int = NO_PART_LIMIT
    route: str = ""
    amount: int = 0


@message("queued")
class Queued(NamedTuple):
    """Acknowledges a permit request that waits in the scheduler's queue.

    A :class:`Permit` or a :class:`Refusal` follows.
    """

    ask_id: str


@message("permit")
class Permit(NamedTuple):
    """Grants leave to dispatch one request to one upstream, once, before it expires.

    ``waited_ms`` is the time that the request was queued at the scheduler.  The
    requesting VM subtracts it from the time since it sent the request: what remains
    bounds the age of the permit without comparing the clocks of two VMs.
    ``valid_ms`` is the longest such time.
    """

    ask_id: str
    pool: str
    upstream: str
    address: str
    waited_ms: int
    valid_ms: int


@message("refusal")
class Refusal(NamedTuple):
    """Refuses a permit request; ``kind`` is the value of an error kind."""

    ask_id: str
    kind: str
    retry_after_ms: int = 0


@message("release")
class Release(NamedTuple):
    """Returns a permit, with measurements of its request.

    ``sent`` tells whether any byte of the request may have been sent; ``failure``
    is the value of an error kind, or empty.  ``upstream_silent`` with nothing sent is
    a connect that got no reply.
    """

    ask_id: str
    pool: str
    upstream: str
    sent: bool
    failure: str
    first_token_ms: int
    total_ms: int
    prompt_tokens: int
    output_tokens: int


@message("pulse")
class Pulse(NamedTuple):
    """Reports the speed of a running stream, long before its :class:`Release`."""

    ask_id: str
    pool: str
    upstream: str
    first_token_ms: int
    decode_ms: int
    output_tokens: int


@message("withdraw")
class Withdraw(NamedTuple):
    """Cancels a permit request."""

    ask_id: str
    pool: str


@message("running")
class Running(NamedTuple):
    """Reports a running request to a scheduler that has taken over its pool."""

    ask_id: str
    pool: str
    upstream: str
    prompt_tokens: int
    output_tokens: int


@message("treeFetch")
class TreeFetch(NamedTuple):
    """Requests the changes after a revision, or one page of a snapshot.

    ``snapshot_revision`` and ``first_name`` tell where the next page starts.
    """

    after_revision: int
    lineage: str
    is_snapshot: bool = False
    snapshot_revision: int = 0
    first_name: str = ""


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
    """State of one replica at a store revision; the later revision wins."""

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


@message("replicaBatch")
class ReplicaBatch(NamedTuple):
    """Changes of the sender's replicas, or all of them if ``is_full``.

    ``sequence`` grows by one with each batch of changes, so that a missing one is
    noticed; a full batch has that of the last one.  ``revision`` is the store's up to
    which the sender knows all changes.
    """

    sequence: int
    revision: int
    is_full: bool
    replicas: tuple[ReplicaNews, ...]


@message("replicaFetch")
class ReplicaFetch(NamedTuple):
    """Asks for all replicas of a VM; ``sequence`` is that of its last batch known."""

    sequence: int


@message("configurationNews")
class ConfigurationNews(NamedTuple):
    """The operator's configuration in the store at a revision."""

    revision: int
    document: bytes


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
)
