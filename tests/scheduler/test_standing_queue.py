"""Tests of queues under bursts and under overload that lasts.

Pattern: a queue that absorbs a burst against one that stands, as CoDel (RFC 8289)
tells them apart by the time that requests spend in it.
"""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.scheduler import Outgoing
from hemlocktrestle.wire import NO_TIER, Refusal
from tests.scheduler.pool_play import Caller, PoolPlay, Served, steady

STAYS_MS = 3_000
TAKES_MS = 400


def overload(*, to_ms: int, from_ms: int = 0, tier: int = 1) -> list[Caller]:
    """Return half as many callers again as four slots can answer."""
    return steady(
        f"tier-{tier}-",
        from_ms=from_ms,
        to_ms=to_ms,
        every_ms=TAKES_MS // 4 * 2 // 3,
        stays_ms=STAYS_MS,
        takes_ms=TAKES_MS,
        tier=tier,
    )


HIGH_TIER = steady(
    "high",
    from_ms=0,
    to_ms=20_000,
    every_ms=TAKES_MS,
    stays_ms=STAYS_MS,
    takes_ms=TAKES_MS,
    tier=0,
)
"""Callers of the highest tier that a quarter of the slots can answer."""


def arrived(served: list[Served], from_ms: int, to_ms: int) -> list[Served]:
    """Return the callers that arrived within a span."""
    return [item for item in served if from_ms <= item.caller.arrives_ms < to_ms]


def started(served: list[Served]) -> list[Served]:
    """Return the callers that got a slot."""
    return [item for item in served if item.started_ms is not None]


class LastingOverloadTests(TestCase):
    """For longer than its callers stay, more of them come than slots can answer."""

    def setUp(self) -> None:
        """Play 20 s of overload, then 10 s of half the load."""
        super().setUp()
        calm = steady(
            "calm",
            from_ms=20_000,
            to_ms=30_000,
            every_ms=TAKES_MS // 2,
            stays_ms=STAYS_MS,
            takes_ms=TAKES_MS,
        )
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        self.served = play.play([*overload(to_ms=20_000), *calm])
        self.lasting = arrived(self.served, 2 * STAYS_MS, 20_000)

    def test_callers_are_not_held_in_a_queue_that_stands(self) -> None:
        """Guards against answers that all come when their callers are about to leave.

        The queue had grown to the whole time of its callers and stayed so.
        """
        waits_ms = [item.waited_ms for item in started(self.lasting)]
        self.assertLessEqual(max(waits_ms), TAKES_MS)

    def test_a_scheduler_that_measured_nothing_does_not_hold_them_either(self) -> None:
        """Guards against a queue that stands at a scheduler that took over."""
        callers = [
            caller._replace(takes_ms=TAKES_MS + number % 100)
            for number, caller in enumerate(overload(to_ms=12_000))
        ]
        served = PoolPlay(4).play(callers)
        lasting = started(arrived(served, 2 * STAYS_MS, 12_000))
        self.assertLessEqual(max(item.waited_ms for item in lasting), TAKES_MS)

    def test_as_many_are_answered_as_the_slots_can(self) -> None:
        """Guards against slots that idle because too many were refused."""
        wanted = 4 * (20_000 - 2 * STAYS_MS) // TAKES_MS
        self.assertGreaterEqual(len(started(self.lasting)), 0.95 * wanted)

    def test_those_who_get_no_slot_are_told_at_once(self) -> None:
        """Guards against callers that are held for nothing."""
        refused = [item for item in self.lasting if item.refused_ms is not None]
        self.assertGreater(len(refused), 50)
        self.assertLessEqual(max(item.waited_ms for item in refused), TAKES_MS)

    def test_they_are_told_to_come_back_when_it_may_be_over(self) -> None:
        """Guards against callers who come back to the queue that refused them."""
        refused = [item for item in self.lasting if item.refused_ms is not None]
        self.assertLessEqual(STAYS_MS, min(item.retry_after_ms for item in refused))

    def test_the_next_callers_do_not_pay_for_it(self) -> None:
        """Guards against a queue that outlives its burst."""
        calm = arrived(self.served, 20_000 + TAKES_MS, 30_000)
        self.assertEqual(len(calm), len(started(calm)))
        self.assertEqual(0, max(item.waited_ms for item in calm))


class PolicyWithoutForecastTests(TestCase):
    """The policies of the zone daemon, whose callers state a deadline only."""

    def play(self, policy: str, callers: list[Caller]) -> list[Served]:
        """Return what becomes of callers who stay until their deadline."""
        return PoolPlay(4, measured_ms=[TAKES_MS], policy=policy).play(
            [caller._replace(deadline_ms=caller.stays_ms) for caller in callers]
        )

    def test_callers_are_not_held_in_a_queue_that_stands(self) -> None:
        """Guards against the same in the zone daemon: waits of the whole deadline."""
        for policy in ("goodput", "tail"):
            served = self.play(policy, overload(to_ms=20_000))
            lasting = arrived(served, 2 * STAYS_MS, 20_000)
            waits_ms = [item.waited_ms for item in lasting]
            self.assertLessEqual(max(waits_ms), 2 * TAKES_MS, policy)

    def test_as_many_are_answered_as_the_slots_can(self) -> None:
        """Guards against slots that idle because too many were refused."""
        lasting = arrived(
            self.play("goodput", overload(to_ms=20_000)), 2 * STAYS_MS, 20_000
        )
        wanted = 4 * (20_000 - 2 * STAYS_MS) // TAKES_MS
        self.assertGreaterEqual(len(started(lasting)), 0.95 * wanted)

    def test_a_high_tier_is_kept_and_a_low_one_shed(self) -> None:
        """Guards against a refused high tier beside lower work that is kept."""
        served = self.play("goodput", [*overload(to_ms=20_000, tier=2), *HIGH_TIER])
        found = [item for item in served if item.caller.tier == 0]
        self.assertEqual(len(found), len(started(found)))

    def test_a_burst_that_drains_is_served(self) -> None:
        """Guards against callers that are refused though there is time for them."""
        callers = [Caller(f"a{i}", 0, STAYS_MS, TAKES_MS) for i in range(24)]
        served = self.play("goodput", callers)
        self.assertEqual(24, len(started(served)))


class BurstTests(TestCase):
    """A burst that can be answered within its callers' time is answered."""

    def burst(self, at_ms: int, count: int) -> list[Caller]:
        """Return callers that arrive together."""
        return [
            Caller(f"burst-{at_ms}-{number}", at_ms, STAYS_MS, TAKES_MS)
            for number in range(count)
        ]

    def test_a_burst_that_drains_is_served(self) -> None:
        """Guards against callers that are refused though there is time for them."""
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        served = play.play(self.burst(0, 28))
        self.assertEqual(28, len(started(served)))

    def test_the_first_burst_at_a_new_scheduler_is_served(self) -> None:
        """Guards against a queue that is taken to stand when it is first seen."""
        play = PoolPlay(1, measured_ms=[200])
        served = play.play(
            [
                Caller(f"a{number}", at_ms, 1_000, 200)
                for number, at_ms in enumerate((10, 10, 150, 150))
            ]
        )
        self.assertEqual(4, len(started(served)))

    def test_bursts_with_pauses_are_served(self) -> None:
        """Guards against bursts that are taken for an overload that lasts."""
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        served = play.play(
            [caller for at in (0, 3_500, 7_000) for caller in self.burst(at, 28)]
        )
        self.assertEqual(84, len(started(served)))

    def test_a_burst_after_an_overload_is_served(self) -> None:
        """Guards against refusals that outlive the overload they came from."""
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        after_ms = 10_000 + 2 * STAYS_MS
        served = play.play([*overload(to_ms=10_000), *self.burst(after_ms, 28)])
        burst = arrived(served, after_ms, after_ms + 1)
        self.assertEqual(28, len(started(burst)))

    def test_a_caller_that_can_wait_for_the_next_slot_waits(self) -> None:
        """Guards against refusals ahead of a slot that becomes free in a moment."""
        play = PoolPlay(1, measured_ms=[TAKES_MS])
        served = play.play(
            steady(
                "a",
                from_ms=0,
                to_ms=20_000,
                every_ms=TAKES_MS - 20,
                stays_ms=STAYS_MS,
                takes_ms=TAKES_MS,
            )
        )
        self.assertGreaterEqual(len(started(served)), 20_000 // TAKES_MS)


class TierTests(TestCase):
    """Lower tiers are refused before higher ones."""

    def test_a_high_tier_is_unaffected_by_an_overload_of_a_low_one(self) -> None:
        """Guards against high-tier callers that are refused for low-tier work."""
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        served = play.play([*overload(to_ms=20_000, tier=2), *HIGH_TIER])
        found = [item for item in served if item.caller.tier == 0]
        self.assertEqual(len(found), len(started(found)))
        self.assertLessEqual(max(item.waited_ms for item in found), TAKES_MS)

    @settings(max_examples=50)
    @given(
        st.lists(
            st.tuples(st.integers(0, 2), st.sampled_from((10, 30, 60))),
            min_size=200,
            max_size=300,
        )
    )
    def test_nothing_is_shed_before_lower_work_or_beside_free_slots(
        self, arrivals: list[tuple[int, int]]
    ) -> None:
        """Guards against a refused high tier beside lower work or a free slot."""
        play = _TierCheckedPlay(2, measured_ms=[100])
        callers = []
        at_ms = 0
        for number, (tier, passed_ms) in enumerate(arrivals):
            at_ms += passed_ms
            callers.append(Caller(f"a{number}", at_ms, 1_000, 100, tier))
        play.play(callers)


class SummaryTests(TestCase):
    """Other regions learn from which tier on requests are refused."""

    def standing_tier(self, callers: list[Caller], at_ms: int) -> int:
        """Return the tier that is reported after all of this happened."""
        play = PoolPlay(4, measured_ms=[TAKES_MS])
        play.play(callers)
        return play.scheduler.summary(at_ms).standing_tier

    def test_the_highest_tier_that_is_refused_is_reported(self) -> None:
        """Guards against high-tier requests that are sent to a full region."""
        tier = self.standing_tier(overload(to_ms=10_000, tier=2), 10_000)
        self.assertEqual(2, tier)

    def test_a_queue_that_no_longer_stands_is_open_to_all(self) -> None:
        """Guards against a region that is avoided after its overload."""
        calm_ms = 10_000 + 3 * STAYS_MS
        tier = self.standing_tier(overload(to_ms=10_000, tier=2), calm_ms)
        self.assertEqual(NO_TIER, tier)


class _TierCheckedPlay(PoolPlay):
    """A play that fails if a tier is shed beside a lower one or a free slot."""

    def _apply(self, sent: list[Outgoing], now_ms: int) -> None:
        super()._apply(sent, now_ms)
        kept = max(
            (waiting.ask.tier for waiting in self.scheduler.queued_asks()), default=0
        )
        for item in sent:
            message = item.message
            if isinstance(message, Refusal) and message.kind == ErrorKind.SHED.value:
                tier = self.served[message.ask_id].caller.tier
                assert tier >= kept, f"tier {tier} shed beside {kept} at {now_ms}"
                assert not self.scheduler.summary(now_ms).free_slots
