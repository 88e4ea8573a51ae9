"""Measurements of real daemon processes: streams, requests, tokens, idle cost."""

import time
from collections.abc import Iterator

from bench.capacity._slopes import Point, Slope, measurement, point
from bench.relay._testbed import VM, ZONE, RelayTestbed
from bench.relay.load import STREAM_START_INTERVAL_S, WARM_UP_S, WINDOW_S

TOKEN_SPACING_MS = 122.0
"""Time between tokens in ms; long enough that no size saturates the core."""

STREAMS = (50, 100, 200)
REQUESTS = (100, 200, 400)
CONCURRENT_REQUESTS = 4
VMS = (2, 4, 8)
IDLE_S = 5.0


@measurement("streams")
def streams() -> Iterator[Slope]:
    """Memory of a daemon by open streams, and processor time by relayed tokens."""
    cpu: list[Point] = []
    memory: list[Point] = []
    with RelayTestbed() as bed:
        memory.append(_exact(0, bed.cost().rss_bytes))
        for size in STREAMS:
            open_s = size * STREAM_START_INTERVAL_S + WARM_UP_S + WINDOW_S + WARM_UP_S
            seen = bed.load(
                streams=size,
                requests=size,
                tokens=int(open_s * 1000 / TOKEN_SPACING_MS),
                spacing_ms=TOKEN_SPACING_MS,
                watch_pid=bed.pid,
            )
            tokens_s = seen["event_count"] / seen["window_s"]
            core_us = seen["watched_cpu_s"] / seen["window_s"] * 1e6
            cpu.append(_exact(round(tokens_s), core_us))
            memory.append(_exact(size, seen["watched_rss_bytes"]))
    yield Slope("daemon with open streams", "streams", "bytes", tuple(memory))
    yield Slope("daemon relaying", "tokens/s", "us/s", tuple(cpu))


@measurement("requests")
def requests() -> Iterator[Slope]:
    """Processor time of a daemon for requests of one token."""
    points = []
    with RelayTestbed() as bed:
        for size in REQUESTS:
            before = bed.cost()
            bed.load(streams=CONCURRENT_REQUESTS, requests=size, tokens=1)
            points.append(_exact(size, (bed.cost().cpu_s - before.cpu_s) * 1e6))
    yield Slope("daemon, requests of one token", "requests", "us", tuple(points))


@measurement("mesh")
def mesh() -> Iterator[Slope]:
    """Processor time and memory of idle daemons, by the number of VMs in the zone."""
    cpu = []
    memory = []
    with RelayTestbed() as bed:
        names = [VM]
        for size in VMS:
            added = [f"vm-{number + 1}" for number in range(len(names), size)]
            bed.cluster.start_daemons(dict.fromkeys(added, ZONE))
            names += added
            bed.cluster.await_ready(*names, live_count=size)
            before = [bed.cost(name).cpu_s for name in names]
            time.sleep(IDLE_S)
            after = [bed.cost(name) for name in names]
            used = [
                (now.cpu_s - then) / IDLE_S * 1e6
                for now, then in zip(after, before, strict=True)
            ]
            cpu.append(point(size, used))
            memory.append(point(size, [now.rss_bytes for now in after]))
    yield Slope("idle daemon, by VMs in the mesh", "VMs", "us/s", tuple(cpu))
    yield Slope("idle daemon, by VMs in the mesh", "VMs", "bytes", tuple(memory))


def _exact(size: int, value: float) -> Point:
    return Point(size, value, value, value)
