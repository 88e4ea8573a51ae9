"""Tests of refusals by forecast, and of when refused callers are told to return."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.latency._estimate import KNOWN_COUNT_MIN
from hemlocktrestle.scheduler import Outgoing, PoolScheduler, policy_named
from hemlocktrestle.wire import Ask, Permit, Refusal, Release
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of, granted, release_of

UNMEETABLE = ErrorKind.DEADLINE_UNMEETABLE.value


def new_scheduler(slots: int = 1) -> PoolScheduler:
    """Return a scheduler of one upstream with this many slots."""
    scheduler = PoolScheduler("assistant", policy=policy_named("time_left"))
    scheduler.set_upstreams([upstream("u1")._replace(slots=slots)], 0)
    return scheduler


def answered(ask_id: str, took_ms: int, *, first_ms: int | None = None) -> Release:
    """Return the release of a request that was answered."""
    first = took_ms if first_ms is None else first_ms
    return Release(ask_id, "assistant", "u1", True, "", first, took_ms, 10, 10)


def learn(scheduler: PoolScheduler, route: str, took_ms: int) -> None:
    """Let a scheduler measure the answers of a route."""
    for _ in range(KNOWN_COUNT_MIN):
        scheduler.enqueue("v1", ask_of("measured", route=route), 0)
        scheduler.release(answered("measured", took_ms), took_ms)


def refusals(sent: list[Outgoing]) -> list[Refusal]:
    """Return the refusals among messages."""
    return [item.message for item in sent if isinstance(item.message, Refusal)]


class RefusalTests(TestCase):
    """What cannot be answered within its caller's time is refused at once."""

    def setUp(self) -> None:
        """Start with one slot, which a request of one second takes."""
        super().setUp()
        self.scheduler = new_scheduler()
        learn(self.scheduler, "report", 1_000)
        self.enqueue("busy", deadline_ms=60_000)

    def enqueue(self, ask_id: str, **fields: Any) -> list[Refusal]:
        """Queue a request of one second; return what is refused."""
        ask = ask_of(ask_id, **{"route": "report", **fields})
        return refusals(self.scheduler.enqueue("v1", ask, 1_000))

    def test_a_caller_is_told_at_once_that_there_is_no_time(self) -> None:
        """Guards against a caller that is held until its deadline and then refused."""
        for number in range(5):
            self.enqueue(f"a{number}", deadline_ms=60_000)
        refused = self.enqueue("late", deadline_ms=3_000, customer="c2")
        self.assertEqual([], refused)  # It goes first: its slack is the least.
        refused = self.enqueue("behind", deadline_ms=3_000, tier=2)
        self.assertEqual([("behind", UNMEETABLE)], [item[:2] for item in refused])

    def test_a_moderate_overestimate_refuses_nothing(self) -> None:
        """Guards against a sound request that is refused by a forecast that errs.

        The request would start after 1 s and end after 2 s by the forecast.
        """
        self.assertEqual([], self.enqueue("sound", deadline_ms=1_300))
        self.assertEqual(1, len(self.enqueue("late", deadline_ms=1_100)))

    def test_a_route_that_was_not_measured_is_not_forecast(self) -> None:
        """Guards against refusals for which there is no evidence."""
        self.assertEqual([], self.enqueue("new", route="new", deadline_ms=700))

    def test_few_answers_are_no_measurement(self) -> None:
        """Guards against refusals because the first replica to answer was slow."""
        for _ in range(KNOWN_COUNT_MIN - 1):
            self.scheduler.release(answered("busy", 60_000), 1_000)
            self.enqueue("busy", route="odd", deadline_ms=60_000)
        self.assertEqual([], self.enqueue("new", route="odd", deadline_ms=3_000))

    def test_a_scheduler_that_took_over_goes_by_what_vms_measured(self) -> None:
        """Guards against slots for callers who leave, at a scheduler that is new.

        It forecast no work until it had measured answers of its own.
        """
        scheduler = new_scheduler()
        fields: dict[str, Any] = {"first_ms": 1_000, "total_ms": 1_000}
        for number in range(4):
            ask = ask_of(f"a{number}", route="report", deadline_ms=60_000, **fields)
            scheduler.enqueue("v1", ask, 0)
        late = ask_of("late", route="report", tier=2, deadline_ms=2_000, **fields)
        refused = refusals(scheduler.enqueue("v1", late, 0))
        self.assertEqual([("late", UNMEETABLE)], [item[:2] for item in refused])

    def test_its_own_measurements_go_first(self) -> None:
        """Guards against a VM that is slow itself and makes others be refused."""
        fields: dict[str, Any] = {"first_ms": 50_000, "total_ms": 50_000}
        self.assertEqual([], self.enqueue("sound", deadline_ms=4_000, **fields))

    def test_a_high_tier_keeps_its_place_while_lower_work_is_queued(self) -> None:
        """Guards against a high tier that is refused while a lower one is kept."""
        self.enqueue("low", deadline_ms=60_000, tier=2)
        self.assertEqual([], self.enqueue("high", deadline_ms=1_100, tier=0))
        sent = self.scheduler.release(release_of("busy"), 1_100)
        self.assertEqual(["high"], granted(sent))

    def test_what_becomes_hopeless_later_is_refused_then(self) -> None:
        """Guards against low-tier work that is held after higher work took its time."""
        self.assertEqual([], self.enqueue("low", deadline_ms=4_000, tier=2))
        for number in range(8):
            self.enqueue(f"high{number}", deadline_ms=60_000, tier=0)
        refused = refusals(self.scheduler.tick(1_100))
        self.assertEqual([("low", UNMEETABLE)], [item[:2] for item in refused])

    def test_a_stream_is_refused_if_its_caller_leaves_before_the_first_part(
        self,
    ) -> None:
        """Guards against a slot for a stream whose caller has left."""
        for number in range(4):
            self.enqueue(f"a{number}", deadline_ms=60_000, tier=0)
        refused = self.enqueue("stream", deadline_ms=60_000, aim_ms=2_000)
        self.assertEqual(1, len(refused))

    def test_a_begun_wait_ends_when_the_time_is_up(self) -> None:
        """Guards against a slot for an answer that can no longer come in time."""
        self.enqueue("low", deadline_ms=60_000, tier=2)
        self.enqueue("high", deadline_ms=1_500, tier=0)
        self.assertEqual([], refusals(self.scheduler.tick(1_899)))
        found = refusals(self.scheduler.tick(1_900))
        self.assertEqual(["high"], [item.ask_id for item in found])


class ReturnTests(TestCase):
    """A refused caller comes back when there will be room."""

    def refuse(self, scheduler: PoolScheduler, ask_id: str, **fields: Any) -> int:
        """Return the time after which a caller that is refused may return."""
        ask = ask_of(ask_id, route="report", **fields)
        refused = refusals(scheduler.enqueue("v1", ask, 1_000))
        self.assertEqual([ask_id], [item.ask_id for item in refused])
        return refused[0].retry_after_ms

    def busy_scheduler(self, queued_count: int) -> PoolScheduler:
        """Return a scheduler whose only slot is taken, with requests of one second."""
        scheduler = new_scheduler()
        learn(scheduler, "report", 1_000)
        for number in range(queued_count + 1):
            ask = ask_of(f"a{number}", route="report", tier=0, deadline_ms=90_000)
            scheduler.enqueue("v1", ask, 1_000)
        return scheduler

    def test_it_is_when_the_work_before_it_is_done(self) -> None:
        """Guards against a pause that is a share of what the caller has left."""
        for queued_count in (4, 8):
            scheduler = self.busy_scheduler(queued_count)
            after_ms = self.refuse(scheduler, "b", deadline_ms=30_000, aim_ms=2_000)
            self.assertEqual(1_000 * (queued_count + 1), after_ms)

    def test_the_refused_do_not_return_together(self) -> None:
        """Guards against a herd that comes back for one slot."""
        scheduler = self.busy_scheduler(4)
        after_ms = [
            self.refuse(scheduler, f"b{number}", deadline_ms=30_000, aim_ms=2_000)
            for number in range(3)
        ]
        self.assertEqual([5_000, 6_000, 7_000], after_ms)

    def test_it_leaves_the_time_that_the_answer_takes(self) -> None:
        """Guards against callers that come back when it is too late for them."""
        scheduler = self.busy_scheduler(20)
        after_ms = self.refuse(scheduler, "b", deadline_ms=8_000, aim_ms=2_000)
        self.assertEqual(7_000, after_ms)


class _Step(NamedTuple):
    """A request of a history, and the answers that come before it."""

    tier: int
    route: str
    left_ms: int
    passed_ms: int
    ended_count: int


STEPS = st.lists(
    st.builds(
        _Step,
        st.integers(0, 2),
        st.sampled_from(("short", "long")),
        st.sampled_from((200, 800, 3_000)),
        st.sampled_from((0, 10, 300)),
        st.integers(0, 2),
    ),
    min_size=4,
    max_size=40,
)
TOOK_MS = {"short": 100, "long": 900}


class PropertyTests(TestCase):
    """Over any history of requests and answers."""

    def play(
        self, steps: list[_Step], *, scale: int = 1
    ) -> Iterator[tuple[PoolScheduler, list[Outgoing]]]:
        """Yield the scheduler and what it sends at each step."""
        scheduler = new_scheduler(slots=2)
        for route, took_ms in TOOK_MS.items():
            learn(scheduler, route, took_ms * scale)
        running: list[Ask] = []
        asks: dict[str, Ask] = {}
        now_ms = 0
        for number, step in enumerate(steps):
            now_ms += step.passed_ms * scale
            sent = scheduler.tick(now_ms)
            for ask in running[: step.ended_count]:
                took_ms = TOOK_MS[ask.route] * scale
                sent += scheduler.release(answered(ask.ask_id, took_ms), now_ms)
            del running[: step.ended_count]
            ask = ask_of(
                f"a{number}",
                tier=step.tier,
                route=step.route,
                deadline_ms=step.left_ms * scale,
            )
            asks[ask.ask_id] = ask
            sent += scheduler.enqueue("v1", ask, now_ms)
            running += [asks[name] for name in granted(sent)]
            yield scheduler, sent

    @given(STEPS)
    def test_refusals_are_grounded(self, steps: list[_Step]) -> None:
        """Guards against refusals with a free slot, in time, or before lower work."""
        tiers: dict[str, int] = {}
        for number, (scheduler, sent) in enumerate(self.play(steps)):
            tiers[f"a{number}"] = steps[number].tier
            for item in sent:
                if not isinstance(item.message, Refusal):
                    continue
                assert item.forecast is not None
                if item.message.kind != UNMEETABLE:
                    continue
                self.assertTrue(item.forecast.is_hopeless)
                self.assertEqual(0, sum(m.free_slots for m in scheduler.models()))
                kept = [waiting.ask.tier for waiting in scheduler.queued_asks()]
                own = tiers[item.message.ask_id]
                later = steps[number].tier
                self.assertEqual([], [t for t in kept if t > max(own, later)])

    @given(STEPS, st.sampled_from((2, 8)))
    def test_decisions_scale_with_all_times(
        self, steps: list[_Step], scale: int
    ) -> None:
        """Guards against figures that fit one deployment's times only."""
        found = [
            [
                [type(item.message) for item in sent]
                + [getattr(item.message, "ask_id", "") for item in sent]
                for _, sent in self.play(steps, scale=factor)
            ]
            for factor in (1, scale)
        ]
        self.assertEqual(found[0], found[1])

    @given(STEPS)
    def test_nothing_is_refused_while_the_pool_idles(self, steps: list[_Step]) -> None:
        """Guards against refusals that no work goes before."""
        scheduler = new_scheduler(slots=2)
        learn(scheduler, "long", 900)
        for number, step in enumerate(steps):
            ask = ask_of(f"a{number}", route="long", deadline_ms=step.passed_ms + 1)
            sent = scheduler.enqueue("v1", ask, number * 1_000)
            self.assertEqual([Permit], [type(item.message) for item in sent])
            scheduler.release(answered(ask.ask_id, 900), number * 1_000 + 900)
