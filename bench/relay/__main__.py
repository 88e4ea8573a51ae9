"""Prints cost and throughput of one daemon's token relay: ``make bench-relay``."""

import argparse
import sys
import time
from typing import NamedTuple

from bench.relay._testbed import RelayTestbed
from bench.relay.load import STREAM_START_INTERVAL_S, WARM_UP_S, WINDOW_S

PAIR_COUNT = 200
REQUEST_COUNT = 400
CONCURRENT_REQUESTS = 8
TOKEN_SPACING_MS = 61.0
"""Time between tokens of a stream at the capacity target, in milliseconds."""

STEPS = (50, 100, 200, 400)
BURSTS = (4,)
TARGET_TOKENS_S = 7_400
TARGET_REQUESTS_S = 30


class StepResult(NamedTuple):
    """One row of the table: the load and the measurements.

    ``joined`` is the number of events per read at the caller.
    """

    streams: int
    spacing_ms: float
    burst_count: int
    tokens_s: float
    cpu_us: float
    core_share: float
    transit_p50_ms: float
    transit_p99_ms: float
    gap_p95_ms: float
    events_per_read: float
    broken_count: int
    load_share: float
    source_share: float
    rss_mb: float


def latency_table(bed: RelayTestbed) -> None:
    """Print latency direct and through the daemon, measured alternately."""
    direct, through = bed.load(direct=bed.source, requests=PAIR_COUNT, tokens=16)
    print(f"\nLatency, {PAIR_COUNT} pairs by turns, 16 tokens at once, milliseconds")
    print(f"{'':12}{'direct':>10}{'through':>10}{'added':>10}")
    for name in ("first_p50", "first_p99", "total_p50", "total_p99"):
        one, other = direct[f"{name}_ms"], through[f"{name}_ms"]
        print(f"{name:12}{one:10.2f}{other:10.2f}{other - one:10.2f}")


def request_cost(bed: RelayTestbed) -> None:
    """Print the processor time of a request of one token."""
    before = bed.cost()
    seen = bed.load(streams=CONCURRENT_REQUESTS, requests=REQUEST_COUNT, tokens=1)
    used_s = bed.cost().cpu_s - before.cpu_s
    cost_us = used_s / REQUEST_COUNT * 1e6
    print(
        f"\nRequests of one token: {REQUEST_COUNT} in {seen['wall_s']:.2f} s, "
        f"{cost_us:.0f} us of processor time each, "
        f"{1e6 / cost_us:.0f} a second on a core, broken {seen['broken_count']:.0f}"
    )


def measure_step(
    bed: RelayTestbed,
    streams: int,
    *,
    spacing_ms: float = TOKEN_SPACING_MS,
    burst_count: int = 1,
) -> StepResult:
    """Measure the daemon while ``streams`` streams are open."""
    open_s = streams * STREAM_START_INTERVAL_S + WARM_UP_S + WINDOW_S + WARM_UP_S
    source_before, started_s = bed.cost("source-0"), time.monotonic()
    seen = bed.load(
        streams=streams,
        requests=streams,
        tokens=int(open_s * 1000 / spacing_ms) * burst_count,
        spacing_ms=spacing_ms,
        burst_count=burst_count,
        watch_pid=bed.pid,
    )
    source_s = bed.cost("source-0").cpu_s - source_before.cpu_s
    events = max(1, seen["event_count"])
    return StepResult(
        streams,
        spacing_ms,
        burst_count,
        events / seen["window_s"],
        seen["watched_cpu_s"] / events * 1e6,
        seen["watched_cpu_s"] / seen["window_s"],
        seen["transit_p50_ms"],
        seen["transit_p99_ms"],
        seen["gap_p95_ms"],
        events / max(1, seen["read_count"]),
        int(seen["broken_count"]),
        seen["own_share"],
        source_s / (time.monotonic() - started_s),
        seen["watched_rss_bytes"] / 1e6,
    )


def stream_table(bed: RelayTestbed, steps: tuple[int, ...]) -> None:
    """Print the cost per token at several numbers of streams."""
    print("\nStreams; transit is from the engine's send to the caller's read")
    print(
        f"{'streams':>8}{'spacing':>8}{'burst':>6}{'tokens/s':>9}{'us/token':>9}"
        f"{'core':>6}{'p50 ms':>8}{'p99 ms':>8}{'gap p95':>8}{'joined':>7}"
        f"{'broken':>7}{'load':>6}{'source':>7}{'MB':>7}"
    )
    plans = [(streams, TOKEN_SPACING_MS, 1) for streams in steps]
    plans += [(steps[-1], TOKEN_SPACING_MS / 2, 1)]
    plans += [(steps[-1] // 2, TOKEN_SPACING_MS * burst, burst) for burst in BURSTS]
    for streams, spacing_ms, burst_count in plans:
        step = measure_step(
            bed,
            streams,
            spacing_ms=spacing_ms,
            burst_count=burst_count,
        )
        print(
            f"{step.streams:8}{step.spacing_ms:8.1f}{step.burst_count:6}"
            f"{step.tokens_s:9.0f}{step.cpu_us:9.0f}{step.core_share:6.2f}"
            f"{step.transit_p50_ms:8.1f}{step.transit_p99_ms:8.1f}"
            f"{step.gap_p95_ms:8.1f}{step.events_per_read:7.2f}{step.broken_count:7}"
            f"{step.load_share:6.2f}{step.source_share:7.2f}"
            f"{step.rss_mb:7.1f}",
            flush=True,
        )


def main() -> int:
    """Run all measurements and print the tables."""
    parser = argparse.ArgumentParser(prog="bench.relay")
    parser.add_argument("--steps", default=",".join(map(str, STEPS)))
    options = parser.parse_args()
    steps = tuple(int(part) for part in options.steps.split(","))
    print(f"Target of a VM: {TARGET_TOKENS_S} tokens/s, {TARGET_REQUESTS_S} requests/s")
    with RelayTestbed() as bed:
        latency_table(bed)
        request_cost(bed)
        stream_table(bed, steps)
    return 0


if __name__ == "__main__":
    sys.exit(main())
