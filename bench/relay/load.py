"""A load generator: opens streams, reads them, and prints measurements as JSON."""

import argparse
import json
import re
import sys
import time
from functools import partial
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from bench.relay._cost import cost_of

HISTOGRAM_MAX_US = 60_000_000
"""Largest value of a histogram, in microseconds."""

HISTOGRAM_DIGITS = 2
RUN_TIMEOUT_S = 120.0
"""Maximum duration of a run, in seconds."""

STREAM_START_INTERVAL_S = 0.0173
"""Delay between the starts of two streams, in seconds."""

WARM_UP_S = 1.0
"""Delay between the last start and the measurement window, in seconds."""

WINDOW_S = 4.0
"""Duration of the measurement window, in seconds."""

_SENT = re.compile(rb'"sent_ns": (\d{20})')


class Plan(NamedTuple):
    """The load to generate, and its target address.

    With ``watch_pid`` set, events and the cost of that process are measured only
    in a window during which all streams are open.
    """

    address: str
    streams: int
    requests: int
    tokens: int
    spacing_ms: float
    burst_count: int
    token: str
    watch_pid: int


class LoadStats:
    """Counts, and histograms in microseconds, of one run."""

    def __init__(self) -> None:
        self.whole_count = 0
        self.broken_count = 0
        self.event_count = 0
        self.read_count = 0
        self.is_counting = True
        self.watched: dict[str, float] = {}
        self.first_us = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        self.transit_us = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        self.gap_us = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        self.total_us = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    def record_read(
        self, sent: list[bytes], now_us: int, last_us: int | None, started_us: int
    ) -> None:
        """Record one read, with the send times of the events in it."""
        if last_us is None:
            self.first_us.record_value(max(1, now_us - started_us))
        if not self.is_counting:
            return
        self.read_count += 1
        self.event_count += len(sent)
        self.transit_us.record_value(max(1, now_us - int(sent[0]) // 1000))
        if last_us is not None:
            self.gap_us.record_value(max(1, now_us - last_us))

    def summary(self) -> dict[str, float]:
        """Return the counts, and the percentiles in milliseconds."""
        fields: dict[str, float] = {
            "whole_count": self.whole_count,
            "broken_count": self.broken_count,
            "event_count": self.event_count,
            "read_count": self.read_count,
            **self.watched,
        }
        for name in ("first", "transit", "gap", "total"):
            histogram = getattr(self, f"{name}_us")
            for percentile in (50, 95, 99):
                value = histogram.get_value_at_percentile(percentile)
                fields[f"{name}_p{percentile}_ms"] = value / 1000
        return fields


def request_bytes(plan: Plan) -> bytes:
    """Return the bytes of one HTTP request."""
    body = json.dumps(
        {
            "model": "assistant",
            "messages": [{"role": "user", "content": "count the lamps"}],
            "stream": True,
            "max_tokens": plan.tokens,
            "spacing_ms": plan.spacing_ms,
            "burst_count": plan.burst_count,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nhost: bench\r\n"
        f"authorization: Bearer {plan.token}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def one_request(plan: Plan, data: bytes, seen: LoadStats) -> None:
    """Send one request on a new connection, and read the stream to its end."""
    host, port = plan.address.rsplit(":", 1)
    started_us = time.monotonic_ns() // 1000
    received = 0
    last_us = 0
    tail = b""
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(data)
        while b"\r\n0\r\n\r\n" not in tail:
            piece = await stream.receive_some(65_536)
            if not piece or b" 429 " in piece[:16]:
                break
            now_us = time.monotonic_ns() // 1000
            tail = (tail + bytes(piece))[-64:]
            sent = _SENT.findall(piece)
            if not sent:
                continue
            received += len(sent)
            seen.record_read(sent, now_us, last_us or None, started_us)
            last_us = now_us
    seen.total_us.record_value(max(1, time.monotonic_ns() // 1000 - started_us))
    is_whole = b"[DONE]" in tail and received == plan.tokens
    seen.whole_count += is_whole
    seen.broken_count += not is_whole


async def drive(plan: Plan) -> LoadStats:
    """Keep ``plan.streams`` streams open until all requests are done."""
    seen = LoadStats()
    data = request_bytes(plan)
    remaining_count = plan.requests

    async def send_in_turn(index: int) -> None:
        nonlocal remaining_count
        # Staggered starts keep the streams' events from arriving in lockstep.
        await trio.sleep(index * STREAM_START_INTERVAL_S)
        while remaining_count > 0:
            remaining_count -= 1
            await one_request(plan, data, seen)

    with trio.move_on_after(RUN_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            if plan.watch_pid:
                nursery.start_soon(_measure_window, plan, seen)
            for index in range(plan.streams):
                nursery.start_soon(send_in_turn, index)
    return seen


async def _measure_window(plan: Plan, seen: LoadStats) -> None:
    """Measure the watched process, and enable counting, while all streams are open."""
    seen.is_counting = False
    await trio.sleep(plan.streams * STREAM_START_INTERVAL_S + WARM_UP_S)
    before, own_before = cost_of(plan.watch_pid), time.process_time()
    started_s = time.monotonic()
    seen.is_counting = True
    await trio.sleep(WINDOW_S)
    seen.is_counting = False
    after = cost_of(plan.watch_pid)
    window_s = time.monotonic() - started_s
    seen.watched = {
        "window_s": window_s,
        "watched_cpu_s": after.cpu_s - before.cpu_s,
        "watched_rss_bytes": after.rss_bytes,
        "own_share": (time.process_time() - own_before) / window_s,
    }


async def pair(direct: Plan, through: Plan, pairs: int) -> tuple[LoadStats, LoadStats]:
    """Send to both addresses alternately, one request at a time."""
    seen = (LoadStats(), LoadStats())
    for index in range(2 * pairs):
        plan = (direct, through)[index % 2]
        await one_request(plan, request_bytes(plan), seen[index % 2])
    return seen


def main() -> int:
    """Generate the load described on the command line."""
    parser = argparse.ArgumentParser(prog="bench.relay.load")
    parser.add_argument("--address", required=True)
    parser.add_argument("--direct", default="", help="address to alternate with")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--requests", type=int, required=True)
    parser.add_argument("--tokens", type=int, default=1)
    parser.add_argument("--spacing-ms", type=float, default=0.0)
    parser.add_argument("--burst-count", type=int, default=1)
    parser.add_argument("--watch-pid", type=int, default=0)
    parser.add_argument("--token", default="nurse-token")
    options = vars(parser.parse_args())
    address = options.pop("direct")
    plan = Plan(**options)
    if address:
        direct = plan._replace(address=address)
        seen = trio.run(pair, direct, plan, plan.requests)
        print(json.dumps([part.summary() for part in seen]))
        return 0
    started_s = time.monotonic()
    summary = trio.run(partial(drive, plan)).summary()
    summary["wall_s"] = time.monotonic() - started_s
    summary["cpu_s"] = time.process_time()
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
