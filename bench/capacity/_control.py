"""Measurements of control traffic: permit requests, queues and heartbeats."""

import socket
import time
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from typing import Any

import trio

from bench.capacity._slopes import (
    Point,
    Slope,
    cpu_point,
    held_bytes,
    measurement,
    point,
)
from hemlocktrestle.membership import UpstreamRecord, VmRecord
from hemlocktrestle.peers import HEARTBEAT_INTERVAL_S, Link, LinkEvents
from hemlocktrestle.scheduler import PoolScheduler
from hemlocktrestle.wire import (
    PROTOCOL_VERSION,
    Ask,
    FrameReader,
    Heartbeat,
    Hello,
    Message,
    Permit,
    PoolSummary,
    Release,
    frame_bytes,
)

POOL = "assistant"
DEADLINE_MS = 30_000
UPSTREAMS_PER_POOL = 17
"""Number of upstreams of one pool in one zone at the capacity target."""

HEARTBEAT_WINDOW_S = 3.0

_ids = count()


def upstream_records(pools: int, zones: int, each: int) -> tuple[UpstreamRecord, ...]:
    """Return ``each`` upstreams for each pool and zone."""
    return tuple(
        UpstreamRecord(
            f"engine-{zone:02d}-{pool:02d}-{index:03d}",
            f"zone-{zone:02d}",
            f"region-{zone % 4}",
            f"10.{zone}.{pool}.{index}:8000",
            "engine",
            (POOL if pool == 0 else f"model-{pool:02d}",),
            "g2",
            False,
        )
        for zone in range(zones)
        for pool in range(pools)
        for index in range(each)
    )


def vm_records(vms: int, zones: int) -> tuple[VmRecord, ...]:
    """Return VMs, spread evenly over zones."""
    return tuple(
        VmRecord(
            f"vm-{index:04d}",
            f"zone-{index % zones:02d}",
            f"region-{index % zones % 4}",
            f"10.200.{index // 250}.{index % 250}:7400",
            False,
        )
        for index in range(vms)
    )


def ask(tier: int = 1) -> Ask:
    """Return a permit request of realistic encoded size."""
    number = next(_ids)
    return Ask(
        f"{number:032x}.0",
        POOL,
        f"customer-{number % 19_000:05d}",
        tier,
        1.0,
        700,
        250,
        number * 2_654_435_761 % 2**64,
        DEADLINE_MS,
    )


def release_of(permit: Permit) -> Release:
    """Return the release of a request that succeeded."""
    return Release(permit.ask_id, POOL, permit.upstream, True, "", 250, 9_000, 700, 250)


def ready_scheduler(upstreams: int = UPSTREAMS_PER_POOL) -> PoolScheduler:
    """Return a pool scheduler with upstreams."""
    scheduler = PoolScheduler(POOL)
    scheduler.set_upstreams(upstream_records(1, 1, upstreams), 0.0)
    return scheduler


def full_scheduler(queued: int, upstreams: int = UPSTREAMS_PER_POOL) -> PoolScheduler:
    """Return a pool scheduler without free slots and with a queue of some length."""
    scheduler = ready_scheduler(upstreams)
    while not scheduler.queued_asks():
        scheduler.enqueue("vm-0001", ask(), 0.0)
    while len(scheduler.queued_asks()) < queued:
        scheduler.enqueue("vm-0001", _round_trip(ask()), 0.0)
    return scheduler


def _round_trip(message: Message) -> Any:
    return next(FrameReader().feed(frame_bytes(message)))


def _one_request(scheduler: PoolScheduler) -> None:
    outgoing = scheduler.enqueue("vm-0001", _round_trip(ask()), 1.0)
    permit = _round_trip(outgoing[0].message)
    scheduler.release(_round_trip(release_of(permit)), 2.0)


@measurement("ask")
def asks() -> Iterator[Slope]:
    """Cost of ask, permit and release in codec, framing and scheduler; their size."""

    def prepare(number: int) -> Callable[[], None]:
        scheduler = ready_scheduler()

        def run() -> None:
            for _ in range(number):
                _one_request(scheduler)

        return run

    sizes = (500, 1000, 2000)
    points = tuple(cpu_point(size, partial(prepare, size)) for size in sizes)
    yield Slope("ask+permit+release, codec and keeper", "asks", "us", points)
    asked = ask()
    outgoing = ready_scheduler().enqueue("vm-0001", asked, 0.0)
    permit = outgoing[0].message
    assert isinstance(permit, Permit)
    total = sum(len(frame_bytes(m)) for m in (asked, permit, release_of(permit)))
    yield Slope(
        "ask+permit+release, framed",
        "asks",
        "bytes",
        tuple(Point(size, total * size, total * size, total * size) for size in sizes),
    )
    yield Slope(
        "ask+permit+release by upstreams of the pool",
        "upstreams",
        "us",
        tuple(
            cpu_point(size, partial(_by_upstreams, size), per=200)
            for size in (17, 68, 170)
        ),
    )


def _by_upstreams(upstreams: int) -> Callable[[], None]:
    scheduler = ready_scheduler(upstreams)

    def run() -> None:
        for _ in range(200):
            _one_request(scheduler)

    return run


@measurement("queue")
def queued_asks() -> Iterator[Slope]:
    """Memory of a queued permit request, and operation costs by queue length."""
    sizes = (500, 1000, 1900)
    yield Slope(
        "queued asks",
        "queued asks",
        "bytes",
        tuple(
            point(size, [held_bytes(partial(full_scheduler, size)) for _ in range(3)])
            for size in sizes
        ),
    )

    def prepare(queued: int) -> Callable[[], None]:
        scheduler = full_scheduler(queued)
        first_ask_id = next(iter(scheduler.models()[0].in_flight))
        first_upstream = scheduler.models()[0].record.name

        def run() -> None:
            ask_id, upstream_name = first_ask_id, first_upstream
            for _ in range(100):
                scheduler.enqueue("vm-0001", ask(), 1.0)
                permit = Permit(ask_id, POOL, upstream_name, "", 0, 0)
                granted = scheduler.release(release_of(permit), 2.0)[0].message
                assert isinstance(granted, Permit)
                ask_id, upstream_name = granted.ask_id, granted.upstream

        return run

    yield Slope(
        "ask and release at a full pool",
        "queued asks",
        "us",
        tuple(cpu_point(size, partial(prepare, size), per=100) for size in sizes),
    )
    yield Slope(
        "keeper's tick (10 a second)",
        "queued asks",
        "us",
        tuple(cpu_point(size, partial(_tick, size)) for size in sizes),
    )


def _tick(queued: int) -> Callable[[], Any]:
    return partial(full_scheduler(queued).tick, 3.0)


HEARTBEAT = Heartbeat(4_200, "a" * 32, 400, False, (PoolSummary(POOL, 12, 40, 3),))


def _hello(name: str) -> Hello:
    return Hello(PROTOCOL_VERSION, name, "zone-00", "region-0", "b" * 16)


async def _idle_links_cpu_us(pairs: int) -> float:
    """Return the processor time per second of idle links, in microseconds.

    Each pair is a real link over a socket pair; heartbeats are its only messages.
    """
    received = 0

    def count_heartbeat(vm: str, message: Message) -> None:
        nonlocal received
        received += isinstance(message, Heartbeat)

    events = LinkEvents(
        lambda hello, link: None, count_heartbeat, lambda vm, link: None
    )

    async def end(sock: socket.socket, name: str) -> None:
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        link = Link(stream, hello=_hello(name))
        links.append(link)
        await link.run(await link.exchange_hello(None), events)

    async def send_heartbeats() -> None:
        while True:
            for link in links:
                link.post(HEARTBEAT)
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    links: list[Link] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_heartbeats)
        for index in range(pairs):
            for sock in socket.socketpair():
                nursery.start_soon(end, sock, f"vm-{index:04d}")
        await trio.sleep(0.7)
        start, before_s = received, time.process_time()
        await trio.sleep(HEARTBEAT_WINDOW_S)
        used_s = time.process_time() - before_s
        heartbeat_count = received - start
        nursery.cancel_scope.cancel()
    return used_s / HEARTBEAT_WINDOW_S * 1e6 if heartbeat_count else 0.0


@measurement("heartbeat")
def heartbeats() -> Iterator[Slope]:
    """Idle links, with two heartbeats a second each way; both ends in one process."""
    yield Slope(
        "links with heartbeats, both ends",
        "links",
        "us/s",
        tuple(
            point(size, [trio.run(_idle_links_cpu_us, size)]) for size in (25, 50, 100)
        ),
    )
    size = len(frame_bytes(HEARTBEAT))
    yield Slope(
        "heartbeat, framed",
        "heartbeats",
        "bytes",
        tuple(Point(n, size * n, size * n, size * n) for n in (1, 2, 4)),
    )
