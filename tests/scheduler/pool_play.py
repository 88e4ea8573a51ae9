"""Plays callers against the scheduler of a pool, in virtual time."""

import heapq
from collections.abc import Iterable
from itertools import count
from typing import NamedTuple

from hemlocktrestle.scheduler import Outgoing, PoolScheduler, policy_named
from hemlocktrestle.wire import Ask, Permit, Refusal, Release, Withdraw
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of

TICK_MS = 100


class Caller(NamedTuple):
    """A request, and how its caller behaves; times in milliseconds.

    Args:
        name: id of the request.
        arrives_ms: when it arrives.
        stays_ms: how long the caller stays without a first part.
        takes_ms: how long its answer takes.
        tier: rank of its tier.
        deadline_ms: how long it waits for the whole answer.
    """

    name: str
    arrives_ms: int
    stays_ms: int
    takes_ms: int
    tier: int = 1
    deadline_ms: int = 60_000

    @property
    def route(self) -> str:
        """Route of the request: one for each time that answers take."""
        return f"takes-{self.takes_ms}"

    def ask(self) -> Ask:
        """Return its permit request."""
        return ask_of(
            self.name,
            tier=self.tier,
            route=self.route,
            deadline_ms=self.deadline_ms,
            aim_ms=self.stays_ms,
        )


class Served(NamedTuple):
    """What became of a caller.

    Args:
        caller: the caller.
        started_ms: when its request got a slot, or ``None``.
        refused_ms: when it was refused, or ``None``.
        retry_after_ms: when it was told to come back, after its refusal.
    """

    caller: Caller
    started_ms: int | None = None
    refused_ms: int | None = None
    retry_after_ms: int = 0

    @property
    def waited_ms(self) -> int:
        """How long it was kept waiting for a slot or a refusal."""
        end_ms = self.started_ms if self.started_ms is not None else self.refused_ms
        if end_ms is None:
            return self.caller.stays_ms
        return end_ms - self.caller.arrives_ms


class PoolPlay:
    """Callers, a scheduler and the slots of one pool.

    Args:
        slots: requests that the pool's upstream runs at once.
        measured_ms: times of answers that the scheduler has measured before.
        policy: name of the scheduler's policy.
    """

    def __init__(
        self,
        slots: int,
        *,
        measured_ms: Iterable[int] = (),
        policy: str = "time_left",
    ) -> None:
        self.scheduler = PoolScheduler("assistant", policy=policy_named(policy))
        record = upstream("u1")._replace(slots=slots)
        self.scheduler.set_upstreams([record], 0)
        self.served: dict[str, Served] = {}
        self._events: list[tuple[int, int, str, str]] = []
        self._numbers = count()
        for takes_ms in measured_ms:
            self._measure(takes_ms)

    def play(self, callers: Iterable[Caller]) -> list[Served]:
        """Play all callers to their end; return what became of each."""
        for caller in callers:
            self.served[caller.name] = Served(caller)
            self._at(caller.arrives_ms, "arrives", caller.name)
            self._at(caller.arrives_ms + caller.stays_ms, "leaves", caller.name)
        last_ms = max(event[0] for event in self._events)
        for tick_ms in range(0, last_ms, TICK_MS):
            self._at(tick_ms, "ticks", "")
        while self._events:
            now_ms, _, what, name = heapq.heappop(self._events)
            self._apply(getattr(self, f"_{what}")(name, now_ms), now_ms)
        return list(self.served.values())

    def _at(self, at_ms: int, what: str, name: str) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), what, name))

    def _measure(self, takes_ms: int) -> None:
        caller = Caller("measured", 0, 60_000, takes_ms)
        for _ in range(20):
            self.scheduler.enqueue("v1", caller.ask(), 0)
            self.scheduler.release(self._answer(caller), 0)

    def _answer(self, caller: Caller) -> Release:
        first_ms = caller.takes_ms // 4
        return Release(
            caller.name,
            "assistant",
            "u1",
            True,
            "",
            first_ms,
            caller.takes_ms,
            10,
            10,
        )

    def _arrives(self, name: str, now_ms: int) -> list[Outgoing]:
        return self.scheduler.enqueue("v1", self.served[name].caller.ask(), now_ms)

    def _leaves(self, name: str, now_ms: int) -> list[Outgoing]:
        served = self.served[name]
        if served.started_ms is not None or served.refused_ms is not None:
            return []
        return self.scheduler.withdraw(Withdraw(name, "assistant"), now_ms)

    def _ends(self, name: str, now_ms: int) -> list[Outgoing]:
        release = self._answer(self.served[name].caller)
        return self.scheduler.release(release, now_ms)

    def _ticks(self, name: str, now_ms: int) -> list[Outgoing]:
        return self.scheduler.tick(now_ms)

    def _apply(self, sent: list[Outgoing], now_ms: int) -> None:
        for item in sent:
            message = item.message
            if isinstance(message, Permit):
                served = self.served[message.ask_id]
                self.served[message.ask_id] = served._replace(started_ms=now_ms)
                self._at(now_ms + served.caller.takes_ms, "ends", message.ask_id)
            elif isinstance(message, Refusal):
                served = self.served[message.ask_id]
                self.served[message.ask_id] = served._replace(
                    refused_ms=now_ms, retry_after_ms=message.retry_after_ms
                )


def steady(
    prefix: str,
    *,
    from_ms: int,
    to_ms: int,
    every_ms: int,
    stays_ms: int,
    takes_ms: int,
    tier: int = 1,
) -> list[Caller]:
    """Return callers that arrive in equal intervals."""
    return [
        Caller(f"{prefix}{at_ms}", at_ms, stays_ms, takes_ms, tier)
        for at_ms in range(from_ms, to_ms, every_ms)
    ]
