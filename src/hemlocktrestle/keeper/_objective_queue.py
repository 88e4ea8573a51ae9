"""The queue that serves what can still be in time, by urgency and replica time."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from hemlocktrestle.keeper._queue import (
    NO_COSTS,
    AskClass,
    IsOpen,
    ReplicaCosts,
    Waiting,
    _Present,
    class_of,
    queue,
)
from hemlocktrestle.wire import Ask

SMOOTHING = 0.1
"""Share of a new observation in what a route's requests take."""

FIRST_MARGIN = 1.5
"""Factor on the mean time to a first part, so that most come within it."""

RANK_FACTOR = 4.0
"""How much more an ask counts than one of the next rank for the same replica time."""

COUNTED_MS = 1_000.0
"""Time over which arrivals are counted, in milliseconds."""

COUNTED_MAX = 4_096
"""Events of one kind that are remembered."""

TIERS_SEEN = (0, 1, 2)
"""Ranks of tiers for which upstreams keep room apart."""


class _RecentCount:
    """How often something happened of late."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque(maxlen=COUNTED_MAX)

    def note(self, now_ms: float) -> None:
        self._times.append(now_ms)

    def within(self, now_ms: float) -> int:
        while self._times and self._times[0] < now_ms - COUNTED_MS:
            self._times.popleft()
        return len(self._times)


class _Arrivals(NamedTuple):
    """In-time asks of one rank and route: their usual density, and how many come."""

    tier: int
    density: float
    recent: _RecentCount


_Key = tuple[bool, int, float, float]


@queue("objective")
class ObjectiveQueue(_Present):
    """In-time asks first: the highest rank, then the most urgency for the time.

    An ask whose aim can no longer be met is served when nothing else waits, so that
    it does not make others late too.
    """

    def __init__(self) -> None:
        super().__init__()
        self._first_ms: dict[str, float] = {}
        self._arrivals: dict[tuple[int, str], _Arrivals] = {}
        self._costs = NO_COSTS
        self._now_ms = 0.0

    def push(self, waiting: Waiting) -> None:
        """Add an ask; one with the same id is replaced."""
        self._number(waiting)
        if not self.is_late_after(waiting, 0.0):
            self._note_arrival(waiting)

    def _note_arrival(self, waiting: Waiting) -> None:
        ask = waiting.ask
        key = (ask.tier, ask.route)
        density = self._density(ask)
        known = self._arrivals.get(key)
        if known is None:
            known = _Arrivals(ask.tier, density, _RecentCount())
        smoothed = known.density + SMOOTHING * (density - known.density)
        known.recent.note(waiting.arrived_ms)
        self._arrivals[key] = known._replace(density=smoothed)

    def order(self, is_open: IsOpen) -> Iterator[Waiting]:
        """Yield asks that an upstream has room for, the first first."""
        if not any(is_open(AskClass((), False), tier) for tier in TIERS_SEEN):
            return
        for waiting in sorted(self.waiting(), key=self._key):
            if is_open(class_of(waiting.ask), waiting.ask.tier):
                yield waiting

    def take(self, ask_id: str) -> Waiting | None:
        """Take out an ask that is served."""
        return self.remove(ask_id)

    def remove(self, ask_id: str) -> Waiting | None:
        """Take out an ask that is not served, and return it if it was there."""
        entry = self._present.pop(ask_id, None)
        return entry.waiting if entry is not None else None

    def last(self) -> Waiting | None:
        """Return the ask to shed first, or ``None``."""
        return max(self.waiting(), key=self._key, default=None)

    def advance(self, now_ms: float) -> None:
        """Take in the time."""
        self._now_ms = now_ms

    def set_costs(self, costs: ReplicaCosts) -> None:
        """Take in what work costs on the upstreams at present."""
        self._costs = costs

    def learn(self, route: str, first_ms: float) -> None:
        """Take in the time to the first part of an answer of a route."""
        known_ms = self._first_ms.get(route, first_ms)
        self._first_ms[route] = known_ms + SMOOTHING * (first_ms - known_ms)

    def wait_ms(self, waiting: Waiting) -> float:
        """Estimate how long an ask that has just come will wait.

        Asks that go first come on arriving meanwhile and take their part of the
        places that become free.
        """
        key = self._key(waiting)
        ahead_count = sum(self._key(other) < key for other in self.waiting())
        if not ahead_count:
            return 0.0
        arrived_count = sum(
            arrived.recent.within(self._now_ms)
            for arrived in self._arrivals.values()
            if (min(arrived.tier, 1), -arrived.density) < key[1:3]
        )
        if not self._costs.ends_per_s:
            return 0.0
        free_per_s = self._costs.ends_per_s - arrived_count * 1000 / COUNTED_MS
        return ahead_count * 1000 / max(1.0, free_per_s)

    def is_late_after(self, waiting: Waiting, wait_ms: float) -> bool:
        """Tell whether an ask would miss its aim after a wait from now."""
        first_ms = self._first_ms.get(waiting.ask.route, 0.0) * FIRST_MARGIN
        return self._now_ms + wait_ms + first_ms > waiting.aim_at_ms

    def _cost_ms(self, ask: Ask) -> float:
        """Return the replica time that an ask takes from all places together.

        While a prompt is read, all requests beside it stand still.
        """
        costs = self._costs
        prefill_ms = ask.prompt_tokens * costs.prefill_ms_per_token * costs.slots
        return max(1.0, prefill_ms + ask.output_tokens * costs.decode_ms_per_token)

    def _key(self, waiting: Waiting) -> _Key:
        tier = waiting.ask.tier
        if self.is_late_after(waiting, 0.0):
            return True, tier, 0.0, waiting.arrived_ms
        return False, min(tier, 1), -self._density(waiting.ask), waiting.aim_at_ms

    def _density(self, ask: Ask) -> float:
        """Return the urgency of an ask for its replica time."""
        return RANK_FACTOR**-ask.tier * ask.weight / self._cost_ms(ask)
