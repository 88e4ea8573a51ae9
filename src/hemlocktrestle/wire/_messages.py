"""The messages that the system's own processes exchange, as frozen records."""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

PROTOCOL_VERSION = 1
"""Version sent in :class:`Hello`; a peer with another major version is refused."""

NO_OBJECTIVE = -1
"""Aim of an ask for which no time is too late before its deadline."""

_Record = TypeVar("_Record", bound=type)

MESSAGE_TYPES: dict[str, type] = {}
"""Record type by the name of its member in the schema's union."""


def message(member: str) -> Callable[[_Record], _Record]:
    """Register a record as the content of one union member of the schema.

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
    """First message on a link, both ways; ``boot_id`` changes at each start."""

    version: int
    vm: str
    zone: str
    region: str
    boot_id: str


class PoolSummary(NamedTuple):
    """What a keeper tells others about one pool."""

    pool: str
    queued_count: int
    wait_ms: int
    free_slots: int


class UpstreamRefusal(NamedTuple):
    """Whether an upstream refuses work; of two facts the higher version holds."""

    upstream: str
    address: str
    version: int
    is_refusing: bool


class CustomerDemand(NamedTuple):
    """What a customer asks for a second, and spent in one window of its quota."""

    customer: str
    asked_per_s: float
    spent: float


@message("heartbeat")
class Heartbeat(NamedTuple):
    """Sign of life; ``tree_age_ms`` is the time since the revision was confirmed.

    On the users' platform ``tree_revision`` is that of the operator's configuration.

    ``demands`` are the sender's own; ``area_demands`` are what it has heard of all
    VMs of its area, ``area_vm_count`` of them, itself included.  ``young`` is the
    share of a quota's window that lies before the start of the sender's process.
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


@message("ask")
class Ask(NamedTuple):
    """A holder asks a pool's keeper for a permit to dispatch one request.

    ``tier`` is a rank, 0 the most valuable; ``deadline_ms`` is what remains when
    the ask is sent; ``excluded`` names upstreams that the holder will not use;
    ``aim_ms`` is what remains until the first part of the answer is late, or
    ``NO_AIM``; asks of one ``route`` are alike in what they take; ``amount`` is
    what it counts against its customer's quota, 0 if it has been counted.
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
    aim_ms: int = NO_OBJECTIVE
    route: str = ""
    amount: int = 0


@message("queued")
class Queued(NamedTuple):
    """A keeper's word that it holds an ask, and will permit or refuse it."""

    ask_id: str


@message("permit")
class Permit(NamedTuple):
    """Leave to dispatch one request to one upstream, once, soon.

    ``waited_ms`` is how long the keeper held the ask; the holder compares it with
    its own clock to see how old the permit is when it is read.
    """

    ask_id: str
    pool: str
    upstream: str
    address: str
    waited_ms: int
    valid_ms: int


@message("refusal")
class Refusal(NamedTuple):
    """An ask that gets no permit; ``kind`` is the value of an error kind."""

    ask_id: str
    kind: str
    retry_after_ms: int = 0


@message("release")
class Release(NamedTuple):
    """A holder gives a permit back, with what it observed.

    ``sent`` tells whether a byte may have left; ``failure`` is the value of an
    error kind or empty.
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
    """A holder tells early how fast a stream runs, long before its release."""

    ask_id: str
    pool: str
    upstream: str
    first_token_ms: int
    decode_ms: int
    output_tokens: int


@message("withdraw")
class Withdraw(NamedTuple):
    """A holder no longer wants a permit for an ask."""

    ask_id: str
    pool: str


@message("running")
class Running(NamedTuple):
    """A holder tells a new keeper what it has running on an upstream."""

    ask_id: str
    pool: str
    upstream: str
    prompt_tokens: int
    output_tokens: int


@message("treeFetch")
class TreeFetch(NamedTuple):
    """A VM asks a peer for the changes after a revision, or for a snapshot's page.

    ``snapshot_revision`` and ``first_name`` tell where a snapshot goes on.
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
    """A holder asks the VM that issued a ticket whether it is unused."""

    request_id: str
    customer: str
    ticket: str
    fingerprint: str


@message("ticketVerdict")
class TicketVerdict(NamedTuple):
    """The issuer's answer; ``verdict`` is ``fresh`` or the value of an error kind."""

    request_id: str
    verdict: str


@message("ticketClose")
class TicketClose(NamedTuple):
    """A holder tells the issuer how the request under a ticket ended."""

    customer: str
    ticket: str
    request_id: str
    outcome: str


@message("suspicion")
class Suspicion(NamedTuple):
    """An upstream died while it ran a request with this body fingerprint."""

    pool: str
    fingerprint: str
    upstream: str
    request_id: str


@message("replicaNews")
class ReplicaNews(NamedTuple):
    """What the store says of one replica at a revision; the later one counts."""

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


@message("configurationNews")
class ConfigurationNews(NamedTuple):
    """The operator's configuration as it stands in the store at a revision."""

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
    | ConfigurationNews
)
