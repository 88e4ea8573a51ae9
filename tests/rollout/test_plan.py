"""Tests of when an order's phases follow each other."""

from testtools import TestCase

from hemlocktrestle.rollout import LeaderView, Phase, next_phase, schedule

TIMES = schedule(12_000, 3_000)

READY = LeaderView(
    Phase.CANARY,
    TIMES.shift_ms,
    TIMES,
    is_bad=False,
    target_slots=40,
    old_slots=40,
    old_is_unused=False,
    unheard_count=0,
)


class ScheduleTests(TestCase):
    """The times of the phases follow from the order's duration."""

    def test_a_short_order_keeps_time_for_each_phase(self) -> None:
        """Long streams at the old version do not take the canary's time."""
        times = schedule(12_000, 12_000)
        self.assertLess(4_000, times.shift_ms)
        self.assertLess(times.ramp_ms, times.shift_ms)
        self.assertLess(times.shift_ms, times.complete_ms)
        self.assertLess(times.complete_ms, 12_000)


class NextPhaseTests(TestCase):
    """The leader records one phase after the other, and one outcome."""

    def test_the_shift_waits_for_its_time_and_for_replicas(self) -> None:
        """Too few replicas of the target would make callers wait."""
        self.assertEqual(Phase.SHIFTING, next_phase(READY))
        self.assertIsNone(next_phase(READY._replace(elapsed_ms=1_000)))
        self.assertIsNone(next_phase(READY._replace(target_slots=8)))

    def test_a_service_without_old_replicas_shifts(self) -> None:
        """The order names the version that runs already."""
        self.assertEqual(Phase.SHIFTING, next_phase(READY._replace(old_slots=0)))

    def test_a_bad_version_is_rolled_back_before_it_is_completed(self) -> None:
        """Also when both would be possible."""
        late = READY._replace(elapsed_ms=11_900, old_is_unused=True, is_bad=True)
        for phase in (Phase.CANARY, Phase.SHIFTING, Phase.STOPPED):
            self.assertEqual(Phase.ROLLED_BACK, next_phase(late._replace(phase=phase)))

    def test_nothing_follows_an_outcome(self) -> None:
        """Whatever is heard afterwards."""
        for phase in (Phase.COMPLETED, Phase.ROLLED_BACK):
            self.assertIsNone(next_phase(READY._replace(phase=phase, is_bad=True)))

    def test_completion_waits_for_requests_at_the_old_version(self) -> None:
        """They would be cut: the old replicas stop at once."""
        late = READY._replace(phase=Phase.SHIFTING, elapsed_ms=20_000)
        self.assertIsNone(next_phase(late))
        unused = late._replace(old_is_unused=True)
        self.assertEqual(Phase.COMPLETED, next_phase(unused))

    def test_a_vm_that_is_cut_off_delays_completion_for_a_while(self) -> None:
        """It may still use the old replicas; the deadline goes before it."""
        cut = READY._replace(
            phase=Phase.SHIFTING,
            elapsed_ms=TIMES.complete_ms,
            old_is_unused=True,
            unheard_count=1,
        )
        self.assertIsNone(next_phase(cut))
        self.assertEqual(Phase.COMPLETED, next_phase(cut._replace(elapsed_ms=11_900)))
