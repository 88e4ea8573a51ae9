"""Tests of slots that go to answers which end within their callers' time.

Failure: on an upstream that is a fifth as fast as the others, each slot was taken by a
long stream until its caller left, and callers whose answers are short were refused.
"""

import heapq
from itertools import count
from typing import Any, NamedTuple

from testtools import TestCase

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.scheduler import Outgoing, PoolScheduler, policy_named
from hemlocktrestle.scheduler._upstream import LEARNED_COUNT_MIN
from hemlocktrestle.wire import Ask, Permit, Refusal, Release
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted

SLOTS = 4
TOKEN_MS = {"fast": 4, "slow": 20}
FIRST_MS = 100
DEADLINE_MS = 13_000
STAYS_MS = 2_400
TICK_MS = 100


class Size(NamedTuple):
    """A kind of answer, and how often it is asked for."""

    name: str
    tokens: int
    every_ms: int


SHORT = Size("short", 50, 200)
LONG = Size("long", 1_000, 1_500)
"""It takes 4 s on the fast upstream and 20 s on the slow one."""


class Ended(NamedTuple):
    """A request that held a slot."""

    size: str
    upstream: str
    held_ms: float
    is_whole: bool


def new_scheduler(*names: str) -> PoolScheduler:
    """Return a scheduler that knows the speed of these upstreams."""
    scheduler = PoolScheduler("assistant", policy=policy_named("time_left"))
    scheduler.set_upstreams([upstream(name)._replace(slots=SLOTS) for name in names], 0)
    for name in names:
        others = tuple(other for other in names if other != name)
        for _ in range(10 * LEARNED_COUNT_MIN):
            ask = size_ask("measured", SHORT, excluded=others)
            scheduler.enqueue("v1", ask, 0)
            scheduler.release(answered(ask, name), 0)
    scheduler.tick(0)
    return scheduler


def size_ask(ask_id: str, size: Size, **fields: Any) -> Ask:
    """Return the permit request of an answer of a size."""
    values: dict[str, Any] = {
        "deadline_ms": DEADLINE_MS,
        "aim_ms": STAYS_MS,
        **fields,
    }
    return ask_of(ask_id, route=size.name, output_tokens=size.tokens, **values)


def takes_ms(ask: Ask, name: str) -> int:
    """Return how long an answer takes on an upstream."""
    return FIRST_MS + ask.output_tokens * TOKEN_MS[name]


def answered(ask: Ask, name: str) -> Release:
    """Return the release of a request that was answered whole."""
    took_ms = takes_ms(ask, name)
    return Release(
        ask.ask_id,
        "assistant",
        name,
        True,
        "",
        FIRST_MS,
        took_ms,
        10,
        ask.output_tokens,
    )


class PacePlay:
    """Callers of a pool whose upstreams differ in speed; they leave at the deadline."""

    def __init__(self, *names: str) -> None:
        self._scheduler = new_scheduler(*names)
        self._asks: dict[str, Ask] = {}
        self._events: list[tuple[float, int, str, object]] = []
        self._numbers = count()
        self.ended: list[Ended] = []
        self.refused: list[Refusal] = []

    def play(self, *sizes: Size, to_ms: int) -> None:
        """Play callers of these sizes until all have an answer or have left."""
        for size in sizes:
            for at_ms in range(1, to_ms, size.every_ms):
                self._at(at_ms, "arrives", size_ask(f"{size.name}-{at_ms}", size))
        for at_ms in range(0, to_ms, TICK_MS):
            self._at(at_ms, "ticks", None)
        while self._events:
            now_ms, _, what, item = heapq.heappop(self._events)
            self._apply(getattr(self, f"_{what}")(item, now_ms), now_ms)

    def _at(self, at_ms: float, what: str, item: object) -> None:
        heapq.heappush(self._events, (at_ms, next(self._numbers), what, item))

    def _arrives(self, ask: Ask, now_ms: float) -> list[Outgoing]:
        self._asks[ask.ask_id] = ask
        return self._scheduler.enqueue("v1", ask, now_ms)

    def _ticks(self, item: None, now_ms: float) -> list[Outgoing]:
        return self._scheduler.tick(now_ms)

    def _ends(self, release: Release, now_ms: float) -> list[Outgoing]:
        return self._scheduler.release(release, now_ms)

    def _apply(self, sent: list[Outgoing], now_ms: float) -> None:
        for item in sent:
            if isinstance(item.message, Permit):
                self._run(item.message, now_ms)
            elif isinstance(item.message, Refusal):
                self.refused.append(item.message)

    def _run(self, permit: Permit, now_ms: float) -> None:
        ask = self._asks[permit.ask_id]
        release = answered(ask, permit.upstream)
        left_ms = DEADLINE_MS - permit.waited_ms
        is_whole = release.total_ms <= left_ms
        held_ms = min(release.total_ms, left_ms)
        if not is_whole:
            failure = ErrorKind.CALLER_GONE.value
            release = release._replace(failure=failure, total_ms=held_ms)
        self.ended.append(Ended(ask.route, permit.upstream, held_ms, is_whole))
        self._at(now_ms + held_ms, "ends", release)


class SlowUpstreamTests(TestCase):
    """More callers come than the slots can answer, and one upstream is slow."""

    def setUp(self) -> None:
        """Play long and short answers on a fast and a slow upstream."""
        super().setUp()
        self.plays = PacePlay("fast", "slow")
        self.plays.play(
            SHORT._replace(every_ms=60), LONG._replace(every_ms=700), to_ms=60_000
        )

    def test_slots_are_not_held_for_callers_who_leave(self) -> None:
        """Guards against a slow upstream whose slots all go to long streams."""
        held_ms = sum(item.held_ms for item in self.plays.ended)
        vain_ms = sum(item.held_ms for item in self.plays.ended if not item.is_whole)
        self.assertLessEqual(vain_ms, 0.05 * held_ms)


class SlowPoolTests(TestCase):
    """A pool, such as that of a region, has slow upstreams only."""

    def test_while_callers_are_refused_long_streams_are(self) -> None:
        """Guards against a region that answers only a few, and these too late."""
        plays = PacePlay("slow")
        plays.play(SHORT, LONG, to_ms=60_000)
        whole_count = sum(item.is_whole for item in plays.ended)
        self.assertGreaterEqual(whole_count, 0.8 * 60_000 * SLOTS / 1_100)

    def test_in_calm_a_free_slot_is_given_all_the_same(self) -> None:
        """Guards against refusals beside free slots: the estimate may be wrong."""
        scheduler = new_scheduler("slow")
        sent = scheduler.enqueue("v1", size_ask("long", LONG), 1)
        self.assertEqual(["long"], granted(sent))
