"""Latency that the edge adds: pairs of calls, one to a replica and one through it."""

import statistics
import sys
from typing import NamedTuple

import httpcore
import trio

from tests.edge.test_processes import running_edge

PAIRS = 300
"""Pairs of calls that are measured."""

WARM_UP = 30
"""Pairs before that, which do not count."""

GOAL_MS = 5.0
"""Added latency at the median that is the goal, in milliseconds."""


class Pair(NamedTuple):
    """Latency of one call through the edge and of one without it."""

    through_ms: float
    direct_ms: float


async def _call_ms(address: str, headers: list[tuple[str, str]]) -> float:
    # A connection a call on both ways, as the edge dials replicas.
    async with httpcore.AsyncConnectionPool() as pool:
        started_s = trio.current_time()
        response = await pool.request("GET", f"http://{address}/log/1", headers=headers)
        if response.status != 200:
            raise RuntimeError(f"status {response.status}")
        return (trio.current_time() - started_s) * 1000


async def measure() -> list[Pair]:
    """Return the measured pairs; the two calls of a pair follow each other."""
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
    """Print medians and the added latency; 1 if the goal is missed."""
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
