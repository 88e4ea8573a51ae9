"""Tests of how much time the caller of a request has."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import answer_due_ms, part_due_ms
from hemlocktrestle.gateway._caller_time import DEADLINE_DEFAULT_MS
from tests.gateway.records import route

TIMES_MS = st.floats(1, 1e6)


class AnswerDueTests(TestCase):
    """The whole answer is due at the deadline, within the route's timeout."""

    def test_the_shorter_of_deadline_and_timeout_counts(self) -> None:
        """Guards against callers that are kept waiting beyond the timeout."""
        found = route(timeout_ms=6_000.0)
        for stated_ms, due_ms in ((2_000.0, 2_100.0), (9_000.0, 6_100.0)):
            answered = answer_due_ms(found, stated_ms=stated_ms, arrived_ms=100.0)
            self.assertEqual(due_ms, answered)

    def test_a_caller_that_states_no_deadline_waits_for_the_default(self) -> None:
        """Guards against requests without a deadline that are refused at once."""
        found = route(timeout_ms=10 * DEADLINE_DEFAULT_MS)
        due_ms = answer_due_ms(found, stated_ms=None, arrived_ms=0.0)
        self.assertEqual(DEADLINE_DEFAULT_MS, due_ms)

    @given(st.floats(1, 1e6), st.floats(1, 1e6), TIMES_MS)
    def test_the_objective_decides_nothing(
        self, one_ms: float, other_ms: float, stated_ms: float
    ) -> None:
        """Guards against callers with less time on a route that aims at less."""
        due_ms = {
            part_due_ms(
                found,
                since_ms=5.0,
                answer_due_ms=answer_due_ms(found, stated_ms=stated_ms, arrived_ms=5.0),
            )
            for found in (route(objective_ms=one_ms), route(objective_ms=other_ms))
        }
        self.assertEqual(1, len(due_ms))


class PartDueTests(TestCase):
    """The next part of a stream is due before its caller leaves."""

    def test_the_callers_patience_bounds_the_wait(self) -> None:
        """Guards against events that come after the caller has left."""
        found = route(patience_ms=2_000.0)
        due_ms = part_due_ms(found, since_ms=500.0, answer_due_ms=15_000.0)
        self.assertEqual(2_500.0, due_ms)

    def test_the_deadline_bounds_it_too(self) -> None:
        """Guards against a wait beyond the deadline at the end of a stream."""
        found = route(patience_ms=2_000.0)
        due_ms = part_due_ms(found, since_ms=500.0, answer_due_ms=1_000.0)
        self.assertEqual(1_000.0, due_ms)

    def test_other_callers_wait_until_the_answer_is_due(self) -> None:
        """Guards against a limit on callers that expect no events."""
        due_ms = part_due_ms(route(), since_ms=500.0, answer_due_ms=15_000.0)
        self.assertEqual(15_000.0, due_ms)
