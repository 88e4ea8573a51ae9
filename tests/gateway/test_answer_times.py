"""Tests of when a replica counts as silent, and another one is worth a search."""

import math
from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import AnswerTimes
from hemlocktrestle.gateway._answer_times import SILENCE_MS_MIN

TIMES_MS = st.lists(st.integers(60, 3_000), min_size=8, max_size=30)


def measured(first_ms: Iterable[float], gap_ms: Iterable[float] = ()) -> AnswerTimes:
    """Return the times of a route whose answers were measured."""
    times = AnswerTimes()
    for value in first_ms:
        times.learn_first("r", value)
    for value in gap_ms:
        times.learn_gap("r", value)
    return times


class FirstPartTests(TestCase):
    """Another replica is searched for on measured evidence, and in time."""

    def test_an_ordinary_time_is_no_silence(self) -> None:
        """Guards against work that is begun twice because answers take long here."""
        for took_ms in (80.0, 800.0):
            limit_ms = measured([took_ms] * 50).first_limit_ms("r", 60_000)
            self.assertTrue(1.5 * took_ms < limit_ms < 4 * took_ms, limit_ms)

    def test_a_search_leaves_the_time_to_answer(self) -> None:
        """Guards against a second run whose answer would come too late."""
        times = measured([400.0] * 50)
        self.assertTrue(math.isfinite(times.first_limit_ms("r", 1_300)))
        self.assertEqual(math.inf, times.first_limit_ms("r", 1_100))

    def test_an_unknown_route_gives_both_replicas_as_long(self) -> None:
        """Guards against callers that are left with a dead replica at a start."""
        self.assertEqual(1_000.0, AnswerTimes().first_limit_ms("r", 2_000))

    def test_one_answer_is_no_evidence(self) -> None:
        """Guards against searches because the quickest replica answered first."""
        self.assertEqual(1_000.0, measured([60.0]).first_limit_ms("r", 2_000))

    def test_delays_of_this_process_are_no_silence(self) -> None:
        """Guards against a search because the event loop was late."""
        limit_ms = measured([1.0] * 50).first_limit_ms("r", 2_000)
        self.assertEqual(SILENCE_MS_MIN, limit_ms)

    @given(TIMES_MS, st.integers(500, 20_000), st.sampled_from((2, 4)))
    def test_limits_scale_with_the_times(
        self, times_ms: list[int], left_ms: int, scale: int
    ) -> None:
        """Guards against figures that fit one deployment's times only."""
        plain = measured(times_ms, times_ms)
        scaled = measured(
            [value * scale for value in times_ms], [value * scale for value in times_ms]
        )
        for limits in (
            (plain.first_limit_ms, scaled.first_limit_ms),
            (plain.gap_limit_ms, scaled.gap_limit_ms),
        ):
            found_ms = limits[0]("r", left_ms) * scale
            self.assertEqual(found_ms, limits[1]("r", left_ms * scale))


class GapTests(TestCase):
    """A stream is moved where that costs its caller less than to wait."""

    def test_a_pause_is_waited_for_while_the_caller_has_time(self) -> None:
        """Guards against streams that are moved for a pause of a tenth of a second.

        Their prompts are read again, in slots that others wait for.
        """
        times = measured([60.0] * 50, [20.0] * 50)
        self.assertEqual(1_000.0, times.gap_limit_ms("r", 2_000))

    def test_usual_pauses_are_waited_for(self) -> None:
        """Guards against streams that are moved though others pause as long."""
        times = measured([50.0] * 50, [1_000.0] * 50)
        self.assertTrue(times.gap_limit_ms("r", 2_500) >= 2_000)

    def test_a_move_must_come_before_the_caller_leaves(self) -> None:
        """Guards against a move for a caller that has left when it is done."""
        times = measured([1_200.0] * 50, [40.0] * 50)
        self.assertEqual(math.inf, times.gap_limit_ms("r", 2_000))
