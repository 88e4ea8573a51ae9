"""Random request traces for each user, reproducible by their seed."""

import random
from collections.abc import Callable
from typing import NamedTuple

CAPACITY_PER_S = 15.0
"""Approximate capacity of the six replicas, in requests per second of the usual mix."""

TRACE_S = 60


class Request(NamedTuple):
    """One request of a trace."""

    number: int
    at_ms: float
    zone: str
    customer: str
    tier: int
    prompt_tokens: int
    output_tokens: int
    limit_tokens: int
    deadline_ms: float
    prefix_digest: int


class Kind(NamedTuple):
    """A kind of request: its share, lengths, limit and deadline."""

    share: float
    prompt_tokens: int
    output_tokens: int
    limit_tokens: int
    deadline_ms: float


KINDS = {
    "chama": (
        Kind(0.60, 100, 40, 256, 10_000),
        Kind(0.28, 300, 8, 64, 8_000),
        Kind(0.12, 6_000, 700, 2_048, 60_000),
    ),
    "plaine": (
        Kind(0.70, 80, 60, 256, 6_000),
        Kind(0.20, 400, 8, 64, 6_000),
        Kind(0.10, 8_000, 500, 2_048, 45_000),
    ),
}
"""By user: advice or quick answers, classification or tagging, and long reports."""

CUSTOMERS = (("c1", 0.4), ("c2", 0.3), ("c3", 0.15), ("c4", 0.1), ("c5", 0.05))
TIER_SHARES = (0.15, 0.45, 0.40)
ZONES = (("a", 0.4), ("b", 0.35), ("c", 0.25))


class Scenario(NamedTuple):
    """The load over time, and a slowdown of the first replica.

    ``load`` gives the arrival rate at a second, as a share of capacity.  ``flood``
    is the additional load by one customer in the normal tier, likewise as a share.
    ``slow`` is the factor on the first replica's times during ``slow_s``.
    """

    name: str
    load: Callable[[int], float]
    flood: float = 0.0
    slow: float = 1.0
    slow_s: tuple[int, int] = (15, 45)


PEAK_S = (20, 30)
"""Start and end of the load peak, in seconds."""

SCENARIOS = (
    Scenario("swing", lambda s: 2.5 if PEAK_S[0] <= s < PEAK_S[1] else 0.25, slow=3),
    Scenario("overload", lambda s: 1.5),
    Scenario("calm", lambda s: 0.45),
    Scenario("straggler", lambda s: 0.45, slow=10.0),
    Scenario("polite", lambda s: 0.5),
    Scenario("flood", lambda s: 0.5, flood=2.0),
)


def make_trace(user: str, scenario: Scenario, seed: int) -> list[Request]:
    """Return the requests of a user in a scenario, in order of time.

    The flood has a random generator of its own, so that the other requests are the
    same with and without it.
    """
    trace = _arrivals(user, scenario.load, random.Random(f"{user}/{seed}"))
    if scenario.flood:
        flood = _arrivals(
            user, lambda s: scenario.flood, random.Random(f"{user}/{seed}/flood")
        )
        trace += [r._replace(customer="flooder", tier=1) for r in flood]
    trace.sort(key=lambda request: request.at_ms)
    return [r._replace(number=number) for number, r in enumerate(trace)]


def _arrivals(
    user: str, load: Callable[[int], float], rng: random.Random
) -> list[Request]:
    requests: list[Request] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(max(0.01, load(int(at_s))) * CAPACITY_PER_S)
        if at_s >= TRACE_S:
            return requests
        requests.append(_request(user, at_s * 1000, rng))


def _choice(shares: tuple[tuple[str, float], ...], rng: random.Random) -> str:
    names = [name for name, _ in shares]
    return rng.choices(names, [share for _, share in shares])[0]


def _request(user: str, at_ms: float, rng: random.Random) -> Request:
    kinds = KINDS[user]
    index = rng.choices(range(len(kinds)), [kind.share for kind in kinds])[0]
    kind = kinds[index]
    customer = _choice(CUSTOMERS, rng)
    output_tokens = int(kind.output_tokens * rng.lognormvariate(0, 0.5))
    return Request(
        0,
        at_ms,
        _choice(ZONES, rng),
        customer,
        rng.choices(range(3), TIER_SHARES)[0],
        max(20, int(kind.prompt_tokens * rng.lognormvariate(0, 0.4))),
        max(1, min(kind.limit_tokens, output_tokens)),
        kind.limit_tokens,
        kind.deadline_ms,
        1_000 + 100 * index + int(customer[1:]),
    )
