"""The capacity target, and the cost of each role there: measured slope times count."""

from collections.abc import Callable
from typing import NamedTuple

from bench.capacity._slopes import Slope

VMS = 430
ZONES = 10
REPLICAS = 1_700
POOLS = 10
CUSTOMERS = 19_000
REQUESTS_S = 13_000
TOKENS_S = 3_200_000
CHANGES_S = 4_200 / 86_400
BOOTS_S = (36 + 730) / 86_400
TOKEN_SPACING_S = 0.061
QUEUED_ASKS = 2_000
"""Limit of the number of permit requests queued for one pool."""

RELAY_VMS = 2 * ZONES
"""Number of VMs that watch the settings in the store: two in each zone."""

CPU_BUDGET = 0.023
"""Maximum share of a core used by the control plane of a VM."""

BYTES_BUDGET = 26_000
"""Maximum bytes per second sent by the control plane of a VM."""

MEMORY_BUDGET = 128_000_000
"""Maximum memory used by the control plane of a VM, in bytes."""

STORE_WRITES_BUDGET = 300
STORE_READS_BUDGET = 2_000

VM_REQUESTS_S = REQUESTS_S / VMS
VM_TOKENS_S = TOKENS_S / VMS
VM_STREAMS = VM_TOKENS_S * TOKEN_SPACING_S
ZONE_VMS = VMS // ZONES
POOL_REQUESTS_S = REQUESTS_S / ZONES / POOLS

Slopes = dict[str, Slope]


class Row(NamedTuple):
    """The cost of one activity on one VM; ``None`` where there is no such cost.

    ``is_data`` marks the data path: its cost grows with the relayed requests and
    tokens, and does not count against the budgets of the control plane.
    """

    role: str
    activity: str
    is_data: bool
    core_share: float | None
    bytes_s: float | None
    memory_bytes: float | None
    formula: str


RowMaker = Callable[[Slopes], Row]
ROWS: list[RowMaker] = []


def row(maker: RowMaker) -> RowMaker:
    """Register the decorated function; rows are printed in order of definition."""
    ROWS.append(maker)
    return maker


def by_key(found: dict[str, list[Slope]]) -> Slopes:
    """Return slopes by measurement, name and unit."""
    return {
        f"{slope.name} | {slope.value_unit}": slope
        for slopes in found.values()
        for slope in slopes
    }


@row
def _tokens(slopes: Slopes) -> Row:
    slope = slopes["daemon relaying | us/s"]
    share = slope.per_size * VM_TOKENS_S / 1e6
    return Row(
        "entry",
        "relay of tokens",
        True,
        share,
        None,
        None,
        f"{slope.per_size:.0f} us x {VM_TOKENS_S:.0f} tokens/s",
    )


@row
def _requests(slopes: Slopes) -> Row:
    slope = slopes["daemon, requests of one token | us"]
    share = slope.per_size * VM_REQUESTS_S / 1e6
    return Row(
        "entry",
        "requests, from accept to release",
        True,
        share,
        None,
        None,
        f"{slope.per_size:.0f} us x {VM_REQUESTS_S:.1f} requests/s",
    )


@row
def _streams(slopes: Slopes) -> Row:
    slope = slopes["daemon with open streams | bytes"]
    return Row(
        "entry",
        "open streams",
        True,
        None,
        None,
        slope.per_size * VM_STREAMS,
        f"{slope.per_size / 1000:.0f} KB x {VM_STREAMS:.0f} streams at 61 ms",
    )


@row
def _base(slopes: Slopes) -> Row:
    slope = slopes["daemon with open streams | bytes"]
    return Row(
        "daemon",
        "interpreter, libraries, small tree",
        False,
        None,
        None,
        slope.fixed,
        "resident memory with no stream",
    )


@row
def _asks(slopes: Slopes) -> Row:
    cpu = slopes["ask+permit+release, codec and keeper | us"]
    size = slopes["ask+permit+release, framed | bytes"]
    # The requesting VM handles one of the two ends of each message.
    share = cpu.per_size / 2 * VM_REQUESTS_S / 1e6
    return Row(
        "entry",
        "asks as the holder",
        False,
        share,
        size.per_size * VM_REQUESTS_S,
        None,
        f"{cpu.per_size / 2:.0f} us, {size.per_size:.0f} bytes x {VM_REQUESTS_S:.1f}/s",
    )


@row
def _find_scheduler(slopes: Slopes) -> Row:
    slope = slopes["finding a pool's keeper | us"]
    models = slopes["naming the models served (each request) | us"]
    each_us = slope.at(VMS) + models.at(REPLICAS)
    return Row(
        "entry",
        "finding the keeper and the models of a request",
        False,
        each_us * VM_REQUESTS_S / 1e6,
        None,
        None,
        f"{each_us:.0f} us at {VMS} VMs, {REPLICAS} upstreams x {VM_REQUESTS_S:.1f}/s",
    )


@row
def _check_schedulers(slopes: Slopes) -> Row:
    slope = slopes["checking keepers of permits in hand (4 a second) | us"]
    return Row(
        "entry",
        "checking the keepers of permits in hand",
        False,
        slope.at(VM_STREAMS) * 4 / 1e6,
        None,
        None,
        f"{slope.per_size:.1f} us x {VM_STREAMS:.0f} permits x 4/s",
    )


@row
def _scheduler(slopes: Slopes) -> Row:
    cpu = slopes["ask+permit+release, codec and keeper | us"]
    size = slopes["ask+permit+release, framed | bytes"]
    return Row(
        "keeper",
        "asks of one pool",
        False,
        cpu.per_size / 2 * POOL_REQUESTS_S / 1e6,
        size.per_size * POOL_REQUESTS_S,
        None,
        f"{cpu.per_size / 2:.0f} us, {size.per_size:.0f} bytes "
        f"x {POOL_REQUESTS_S:.0f}/s",
    )


@row
def _queue(slopes: Slopes) -> Row:
    memory = slopes["queued asks | bytes"]
    tick = slopes["keeper's tick (10 a second) | us"]
    return Row(
        "keeper",
        "a full queue of one pool",
        False,
        tick.at(QUEUED_ASKS) * 10 / 1e6,
        None,
        memory.per_size * QUEUED_ASKS,
        f"{memory.per_size:.0f} bytes x {QUEUED_ASKS} asks; "
        f"{tick.per_size:.2f} us x {QUEUED_ASKS} x 10/s",
    )


@row
def _refresh(slopes: Slopes) -> Row:
    slope = slopes["reading a pool's upstreams (10 a second for each pool kept) | us"]
    return Row(
        "keeper",
        "reading the upstreams of one pool",
        False,
        slope.at(REPLICAS) * 10 / 1e6,
        None,
        None,
        f"{slope.at(REPLICAS):.0f} us at {REPLICAS} upstreams x 10/s",
    )


def _heartbeat_row(slopes: Slopes, peers: int, matter: str) -> Row:
    cpu = slopes["links with heartbeats, both ends | us/s"]
    size = slopes["heartbeat, framed | bytes"]
    # A VM has two links with each peer, one dialled and one accepted, and one end
    # of each; the measured cost of a link includes both ends.
    ends = 2 * peers
    return Row(
        "membership",
        matter,
        False,
        cpu.per_size / 2 * ends / 1e6,
        size.per_size * 2 * ends,
        None,
        f"{cpu.per_size / 2:.0f} us/s, {2 * size.per_size:.0f} bytes/s "
        f"x {ends} ends of links",
    )


@row
def _full_mesh(slopes: Slopes) -> Row:
    return _heartbeat_row(slopes, VMS - 1, "heartbeats, mesh over all zones")


@row
def _zone_mesh(slopes: Slopes) -> Row:
    return _heartbeat_row(slopes, ZONE_VMS - 1, "(if in its own zone alone)")


@row
def _list(slopes: Slopes) -> Row:
    entries = VMS + REPLICAS
    size = slopes["platform's list, one read | bytes"]
    cpu = slopes["platform's list, taking in one read | us"]
    memory = slopes["platform's list in memory | bytes"]
    return Row(
        "membership",
        "platform's list, read each second",
        False,
        cpu.at(entries) / 1e6,
        size.at(entries),
        2 * memory.at(entries),
        f"{size.per_size:.0f} bytes, {cpu.per_size:.1f} us x {entries} entries x 1/s",
    )


@row
def _changes(slopes: Slopes) -> Row:
    cpu = slopes["taking in a change of one customer | us"]
    size = slopes["change on a watch | bytes"]
    return Row(
        "settings",
        "changes taken in",
        False,
        cpu.at(CUSTOMERS) * CHANGES_S / 1e6,
        size.at(1) * CHANGES_S,
        None,
        f"{cpu.at(CUSTOMERS) / 1000:.1f} ms, {size.at(1):.0f} bytes "
        f"x {CHANGES_S:.3f}/s",
    )


@row
def _relay(slopes: Slopes) -> Row:
    size = slopes["change on a watch | bytes"]
    return Row(
        "settings relay",
        "changes passed to the zone's VMs",
        False,
        None,
        size.at(1) * CHANGES_S * (ZONE_VMS - 1),
        None,
        f"{size.at(1):.0f} bytes x {CHANGES_S:.3f}/s x {ZONE_VMS - 1} VMs",
    )


@row
def _tree(slopes: Slopes) -> Row:
    slope = slopes["tree in memory | bytes"]
    return Row(
        "settings",
        "the tree",
        False,
        None,
        None,
        slope.at(CUSTOMERS),
        f"{slope.per_size:.0f} bytes x {CUSTOMERS} customers",
    )


def rows(slopes: Slopes) -> list[Row]:
    """Return all rows."""
    return [maker(slopes) for maker in ROWS]
