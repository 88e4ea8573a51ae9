"""Compares early and late binding of requests to upstreams, by high-tier wait.

A simulation of three ways to assign requests to six upstreams of different speed,
on the same arrivals:

- one priority queue for the pool; a request is bound when a slot is free;
- one priority queue per upstream; a request is bound at arrival, on current load;
- one FIFO queue per upstream; a request is bound at arrival to the less loaded of
  two random upstreams, on load that is up to ``LOAD_REFRESH_S`` old.

Run with ``python -m bench.binding``.
"""

import heapq
import itertools
import random
import statistics
from collections.abc import Callable
from typing import NamedTuple

SPEEDS = (1.0, 1.0, 0.8, 0.8, 0.5, 0.25)
"""Relative speeds of the upstreams."""

SLOTS_PER_UPSTREAM = 4
"""Requests that an upstream serves concurrently."""

REQUESTS = 6_000
LOAD = 0.9
"""Mean load, as a share of the total capacity."""

LOAD_REFRESH_S = 0.5
"""Minimum interval between refreshes of the stale loads, in seconds."""

SEEDS = (1, 2, 3, 4, 5)
MEAN_WORK_S = 1.0
"""Assumed mean work of a request, from which the arrival rate is computed."""


class Request(NamedTuple):
    """One request; ``tier`` 0 is the most valuable."""

    at_s: float
    tier: int
    work_s: float


class Queues:
    """Waiting requests and load; upstream ``u`` serves queue ``queue_of[u]``."""

    def __init__(self, queue_of: tuple[int, ...], *, is_tiered: bool) -> None:
        self.queue_of = queue_of
        self.is_tiered = is_tiered
        self.waiting: list[list[tuple[int, int, Request]]] = [[] for _ in SPEEDS]
        self.running: list[int] = [0 for _ in SPEEDS]
        self.stale_loads: list[float] = [0.0 for _ in SPEEDS]
        self._order = itertools.count()

    def load(self, upstream: int) -> float:
        """Return the load of an upstream with one more request, over its speed."""
        waiting = len(self.waiting[self.queue_of[upstream]])
        return (waiting + self.running[upstream] + 1) / SPEEDS[upstream]

    def push(self, queue: int, request: Request) -> None:
        """Add a request to a queue."""
        rank = request.tier if self.is_tiered else 0
        heapq.heappush(self.waiting[queue], (rank, next(self._order), request))


ChooseQueue = Callable[[Queues, random.Random], int]


def pool_queue(queues: Queues, rng: random.Random) -> int:
    """Put every request into the pool's single queue."""
    return 0


def least_load(queues: Queues, rng: random.Random) -> int:
    """Choose the upstream with the least load now."""
    return min(range(len(SPEEDS)), key=queues.load)


def two_choices(queues: Queues, rng: random.Random) -> int:
    """Choose the less loaded of two random upstreams, by stale load."""
    return min(rng.sample(range(len(SPEEDS)), 2), key=lambda u: queues.stale_loads[u])


SINGLE_QUEUE = tuple(0 for _ in SPEEDS)
QUEUE_PER_UPSTREAM = tuple(range(len(SPEEDS)))
STRATEGIES: dict[str, tuple[ChooseQueue, tuple[int, ...], bool]] = {
    "pool, late, by tier": (pool_queue, SINGLE_QUEUE, True),
    "each, early, by tier": (least_load, QUEUE_PER_UPSTREAM, True),
    "two choices, FIFO": (two_choices, QUEUE_PER_UPSTREAM, False),
}


def arrivals(seed: int) -> list[Request]:
    """Return Poisson arrivals whose work varies by a factor of up to 100."""
    rng = random.Random(seed)
    rate = LOAD * SLOTS_PER_UPSTREAM * sum(SPEEDS) / MEAN_WORK_S
    at_s = 0.0
    requests = []
    for _ in range(REQUESTS):
        at_s += rng.expovariate(rate)
        work_s = min(10.0, max(0.1, rng.lognormvariate(-0.5, 1.0)))
        requests.append(Request(at_s, rng.choice((0, 1, 1, 2, 2, 2)), work_s))
    return requests


def simulate_waits(strategy: str, requests: list[Request], seed: int) -> list[float]:
    """Simulate one strategy, and return the waits of high-tier requests in seconds."""
    choose_queue, queue_of, is_tiered = STRATEGIES[strategy]
    queues = Queues(queue_of, is_tiered=is_tiered)
    rng = random.Random(seed)
    order = itertools.count()
    events: list[tuple[float, int, int, Request | None]] = [
        (request.at_s, next(order), -1, request) for request in requests
    ]
    heapq.heapify(events)
    waits: list[float] = []
    refreshed_s = 0.0
    while events:
        now_s, _, ended_upstream, request = heapq.heappop(events)
        if now_s - refreshed_s >= LOAD_REFRESH_S:
            refreshed_s = now_s
            queues.stale_loads = [
                queues.load(upstream) for upstream in QUEUE_PER_UPSTREAM
            ]
        if request is not None:
            queues.push(choose_queue(queues, rng), request)
        else:
            queues.running[ended_upstream] -= 1
        for upstream in sorted(QUEUE_PER_UPSTREAM, key=lambda u: -SPEEDS[u]):
            waiting = queues.waiting[queue_of[upstream]]
            while waiting and queues.running[upstream] < SLOTS_PER_UPSTREAM:
                _, _, started = heapq.heappop(waiting)
                queues.running[upstream] += 1
                end_s = now_s + started.work_s / SPEEDS[upstream]
                heapq.heappush(events, (end_s, next(order), upstream, None))
                if started.tier == 0:
                    waits.append(now_s - started.at_s)
    return waits


def main() -> None:
    """Print the median and 99th percentile wait of each strategy, for each seed."""
    print(f"seeds {SEEDS}; load {LOAD}; wait of the high tier, in seconds")
    for strategy in STRATEGIES:
        p50s, p99s = [], []
        for seed in SEEDS:
            cuts = statistics.quantiles(
                simulate_waits(strategy, arrivals(seed), seed), n=100
            )
            p50s.append(cuts[49])
            p99s.append(cuts[98])
        p50 = " ".join(f"{value:6.2f}" for value in p50s)
        p99 = " ".join(f"{value:6.2f}" for value in p99s)
        print(f"{strategy:22} p50 {p50}   p99 {p99}")


if __name__ == "__main__":
    main()
