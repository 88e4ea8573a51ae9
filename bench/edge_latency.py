"""Measures the latency added by the edge.

Calls are made in pairs, one through the edge and one directly to a replica.
"""

import statistics
import sys
from typing import NamedTuple

import httpcore
import trio

from tests.edge.test_processes import running_edge

PAIRS = 300
"""Number of measured pairs of calls."""

WARM_UP = 30
"""Number of unmeasured pairs before the measured ones."""

GOAL_MS = 5.0
"""Goal for the median of the added latency, in milliseconds."""


class Pair(NamedTuple):
    """Latency of one call through the edge and of one direct call."""

    through_ms: float
    direct_ms: float


async def _call_ms(address: str, headers: list[tuple[str, str]]) -> float:
    # A new connection per call, both ways, because the edge dials replicas so.
    async with httpcore.AsyncConnectionPool() as pool:
        started_s = trio.current_time()
        response = await pool.request("GET", f"http://{address}/log/1", headers=headers)
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
        return (trio.current_time() - started_s) * 1000


async def measure() -> list[Pair]:
    """Return the measured pairs; the calls of a pair are made one after the other."""
    pairs = []
    async with running_edge() as (edge, platform):
        callers = (await edge.logged("started"))["callers"]
        await edge.logged("replicas_changed")
        for number in range(WARM_UP + PAIRS):
            base = [("X-Attempt-Id", f"a{number}")]
            direct = [*base, ("Host", "r"), ("X-Expect-Instance", "i-1")]
            through = [*base, ("Host", "callers.example")]
            pair = Pair(
                await _call_ms(callers, through),
                await _call_ms(platform.addresses["replica"], direct),
            )
            if number >= WARM_UP:
                pairs.append(pair)
    return pairs


def main() -> int:
    """Print the latencies; return 1 if the goal is missed, else 0."""
    pairs = trio.run(measure)
    added = sorted(pair.through_ms - pair.direct_ms for pair in pairs)
    through = statistics.median(pair.through_ms for pair in pairs)
    direct = statistics.median(pair.direct_ms for pair in pairs)
    median = statistics.median(added)
    print(f"pairs {len(pairs)}, goal {GOAL_MS} ms added at the median")
    print(f"through the edge {through:.2f} ms, direct {direct:.2f} ms")
    print(f"added: median {median:.2f} ms, 99th {added[int(0.99 * PAIRS)]:.2f} ms")
    return int(median > GOAL_MS)


if __name__ == "__main__":
    sys.exit(main())
