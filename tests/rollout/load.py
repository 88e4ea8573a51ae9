"""A service under steady load at several schedulers, before one order's deadline."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.rollout import (
    AnswerTimes,
    ExposureBounds,
    Judge,
    Phase,
    PoolRollout,
    Started,
    Verdict,
    bad_replicas,
    canary_count,
    merged,
    schedule,
)

BOUNDS = ExposureBounds(share=0.1, slack=50, stop_ms=5_000)

ROUTES = {"story": (1_500.0, 0.2), "hint": (600.0, 0.5), "check": (150.0, 0.3)}
"""Usual time of each route's answers in milliseconds, and its share of requests."""

TICK_MS = 100.0


class Answer(NamedTuple):
    """How a replica answers: with a failure, or this many times slower."""

    is_failed: bool = False
    slowness: float = 1.0


class Call(NamedTuple):
    """One request at a replica of the target, and the load that it finds there."""

    route: str
    replica: str
    elapsed_ms: float
    running: int


Behaviour = Callable[[Call, random.Random], Answer]


class Outcome(NamedTuple):
    """What became of an order: requests by version, and when it was judged bad."""

    target_count: int
    total_count: int
    stopped_ms: float | None
    phase: Phase
    verdict: Verdict | None


def play(
    behaviour: Behaviour,
    *,
    duration_ms: float = 12_000,
    rate: float = 300,
    schedulers: int = 2,
    replicas: int = 20,
    old_failing: float = 0.005,
    seed: int = 1,
) -> Outcome:
    """Return what the schedulers decide about a version that behaves like this."""
    return _Play(behaviour, rate, schedulers, replicas, old_failing, seed=seed).run(
        duration_ms
    )


class _Play:
    def __init__(
        self,
        behaviour: Behaviour,
        rate: float,
        schedulers: int,
        replicas: int,
        old_failing: float,
        *,
        seed: int,
    ) -> None:
        self._behaviour = behaviour
        self._rate = rate
        self._random = random.Random(seed)
        self._old_failing = old_failing
        self._pools = [
            PoolRollout(BOUNDS, scheduler_count=schedulers) for _ in range(schedulers)
        ]
        ready = replicas // schedulers
        self._names = {
            pool: [f"{index}-{number}" for number in range(ready)]
            for index, pool in enumerate(self._pools)
        }
        self._running: dict[str, int] = {}
        self._ends: list[tuple[float, int, str, PoolRollout, str, AnswerTimes]] = []
        self._judge = Judge()
        self._count = 0
        self.verdict: Verdict | None = None

    def run(self, duration_ms: float) -> Outcome:
        """Play until the deadline."""
        self._warm_up()
        times = schedule(duration_ms, 2_000)
        stopped_ms: float | None = None
        target_count = total_count = 0
        now_ms = 0.0
        while now_ms < times.complete_ms:
            now_ms += 1_000 / self._rate
            self._end_until(now_ms)
            if int(now_ms / TICK_MS) != int((now_ms - 1_000 / self._rate) / TICK_MS):
                count = sum(map(len, self._names.values()))
                found = [
                    pool.examine(now_ms, replica_count=count) for pool in self._pools
                ]
                whole = merged(pool.tallies for pool in self._pools)
                found.append(self._judge.examine(whole, now_ms, replica_count=count))
                if any(found) and stopped_ms is None:
                    self.verdict = next(filter(None, found))
                    stopped_ms = now_ms
            pool = self._random.choice(self._pools)
            route = self._random.choices(
                list(ROUTES), [share for _, share in ROUTES.values()]
            )[0]
            is_target = stopped_ms is None and (
                now_ms >= times.shift_ms
                or pool.ledger.has_room(route, is_ramp=now_ms >= times.ramp_ms)
            )
            is_shifted = now_ms >= times.shift_ms
            self._send(pool, route, now_ms, is_target=is_target, is_shifted=is_shifted)
            total_count += 1
            target_count += is_target
        phase = Phase.COMPLETED if stopped_ms is None else Phase.ROLLED_BACK
        return Outcome(target_count, total_count, stopped_ms, phase, self.verdict)

    def _warm_up(self) -> None:
        for pool in self._pools:
            for route, (usual_ms, _) in ROUTES.items():
                for _ in range(20):
                    total_ms = usual_ms * self._random.uniform(0.7, 1.6)
                    pool.evidence.learn_times(route, total_ms / 4, total_ms)

    def _send(
        self,
        pool: PoolRollout,
        route: str,
        now_ms: float,
        *,
        is_target: bool,
        is_shifted: bool,
    ) -> None:
        self._count += 1
        name, answer = "old", Answer(self._random.random() < self._old_failing)
        if is_target:
            names = self._names[pool]
            if not is_shifted:
                bad = bad_replicas(pool.tallies)
                names = [found for found in names if found not in bad]
                names = names[: canary_count(BOUNDS, len(names))]
            name = min(names, key=lambda found: self._running.get(found, 0))
            running = self._running[name] = self._running.get(name, 0) + 1
            answer = self._behaviour(Call(route, name, now_ms, running), self._random)
        ask_id = str(self._count)
        pool.record_started(ask_id, Started(route, name, is_target, now_ms))
        usual_ms = ROUTES[route][0] * self._random.uniform(0.7, 1.6)
        total_ms = usual_ms * (0.2 if answer.is_failed else answer.slowness)
        times = AnswerTimes(
            total_ms / 4, total_ms, answer.is_failed, not answer.is_failed
        )
        end = (now_ms + total_ms, self._count, name, pool, ask_id, times)
        heapq.heappush(self._ends, end)

    def _end_until(self, now_ms: float) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _, _, name, pool, ask_id, times = heapq.heappop(self._ends)
            pool.record_ended(ask_id, times)
            if name != "old":
                self._running[name] -= 1
