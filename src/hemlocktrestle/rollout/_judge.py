"""Decides from counts of answers whether a version is worse than the old one."""

import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.rollout._evidence import Tallies, Tally, TallyKey

FALSE_ALARM = 1e-4
"""Probability of a verdict on one comparison if the versions are alike.

A roll-out makes some dozens of comparisons that depend on each other: about one
good version in a hundred is rolled back, at most.
"""

REST_FALSE_ALARM = 0.02
"""The same for the replicas without the worst one, which only confirm a verdict."""

BAD_COUNT_MIN = 3
"""Bad answers without which no version is judged."""

USUAL_BAD_SHARE_MIN = 0.01
"""Share of bad answers that is always taken for ordinary."""

BAD_SHARE_MIN = 0.05
"""Share of bad answers without which no version is judged."""

BAD_SHARE_FACTOR = 2.0
"""Factor on the old version's share that it has to reach.

With many answers a small difference is certain, which is no reason to go back.
"""

RECENT_MS = 3_000.0
"""Window in which badness that begins late is looked for, in milliseconds."""

SNAPSHOT_MS = 250.0
"""Time between the counts that are kept for this window, in milliseconds."""


class Verdict(NamedTuple):
    """Why a version is bad; ``route`` is empty if it is bad on all routes together."""

    route: str
    is_recent: bool
    target: Tally
    usual_share: float
    probability: float


def tail_probability(tally: Tally, share: float) -> float:
    """Return the probability of at least so many bad answers at a share of them."""
    count, bad_count = tally.request_count, tally.bad_count
    if bad_count <= 0 or share >= 1.0:
        return 1.0
    log_share, log_rest = math.log(share), math.log1p(-share)
    probability = sum(
        math.exp(
            math.lgamma(count + 1)
            - math.lgamma(found + 1)
            - math.lgamma(count - found + 1)
            + found * log_share
            + (count - found) * log_rest
        )
        for found in range(bad_count, count + 1)
    )
    return min(1.0, probability)


class Judge:
    """Compares a target version with the old one, over all and recent answers."""

    def __init__(self) -> None:
        self._history: deque[tuple[float, Tallies]] = deque()

    def examine(
        self, tallies: Tallies, now_ms: float, *, replica_count: int
    ) -> Verdict | None:
        """Return the verdict on the target, or ``None`` while none is certain.

        Args:
            tallies: all counts since the order.
            now_ms: the time of the process.
            replica_count: ready replicas of the target; a single one is its version.
        """
        recent = self._recent(tallies, now_ms)
        for is_recent, counted in ((False, tallies), (True, recent)):
            routes = sorted({key.route for key in counted if key.is_target})
            for route in ("", *routes):
                verdict = _compare(
                    counted,
                    tallies,
                    route,
                    is_recent=is_recent,
                    is_single=replica_count <= 1,
                )
                if verdict is not None:
                    return verdict
        return None

    def _recent(self, tallies: Tallies, now_ms: float) -> Tallies:
        history = self._history
        if not history or now_ms - history[-1][0] >= SNAPSHOT_MS:
            history.append((now_ms, dict(tallies)))
        while len(history) > 1 and history[1][0] <= now_ms - RECENT_MS:
            history.popleft()
        before = history[0][1]
        return {
            key: tally.since(before.get(key, Tally()))
            for key, tally in tallies.items()
            # A scheduler that started anew has counted less than before.
            if tally.ended_count >= before.get(key, Tally()).ended_count
        }


def _compare(
    counted: Tallies, whole: Tallies, route: str, *, is_recent: bool, is_single: bool
) -> Verdict | None:
    by_replica: dict[str, Tally] = {}
    for key, tally in counted.items():
        if key.is_target and _matches(key, route):
            known = by_replica.get(key.replica, Tally())
            by_replica[key.replica] = known.plus(tally)
    target = _total(by_replica.values())
    if target.bad_count < BAD_COUNT_MIN:
        return None
    usual = max(_usual_share(counted, route), _usual_share(whole, route))
    needed = max(BAD_SHARE_MIN, usual * BAD_SHARE_FACTOR)
    if target.bad_count < needed * target.request_count:
        return None
    probability = tail_probability(target, usual)
    if probability > FALSE_ALARM:
        return None
    if not is_single:
        # One bad replica explains its own failures, not those of the others.
        worst = max(by_replica, key=lambda name: by_replica[name].bad_count)
        rest = target.minus(by_replica[worst])
        if tail_probability(rest, usual) > REST_FALSE_ALARM:
            return None
    return Verdict(route, is_recent, target, usual, probability)


def _usual_share(tallies: Tallies, route: str) -> float:
    """Return the old version's share of bad answers, higher if little is known."""
    old = _total(
        tally
        for key, tally in tallies.items()
        if not key.is_target and _matches(key, route)
    )
    if not old.request_count:
        return USUAL_BAD_SHARE_MIN
    margin = math.sqrt(old.bad_count) / old.request_count
    return max(USUAL_BAD_SHARE_MIN, old.bad_count / old.request_count + margin)


def _matches(key: TallyKey, route: str) -> bool:
    return not route or key.route == route


def _total(tallies: Iterable[Tally]) -> Tally:
    total = Tally()
    for tally in tallies:
        total = total.plus(tally)
    return total


def bad_replicas(tallies: Tallies) -> frozenset[str]:
    """Return the target's replicas that are worse than the old version by themselves.

    They get no more of the canary's requests, whatever their version is.
    """
    found: dict[str, Tally] = {}
    for key, tally in tallies.items():
        if key.is_target:
            found[key.replica] = found.get(key.replica, Tally()).plus(tally)
    usual = _usual_share(tallies, "")
    return frozenset(
        name
        for name, tally in found.items()
        if tally.bad_count >= BAD_COUNT_MIN
        and tail_probability(tally, usual) <= FALSE_ALARM
    )
