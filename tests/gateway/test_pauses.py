"""Tests of the pauses that replicas ask for, and of their return to work."""

import math
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import (
    BORN_UNKNOWN,
    Incarnation,
    ReplicaPauses,
    bounded_pause_ms,
)
from hemlocktrestle.gateway._pauses import (
    PAUSE_COUNT_MAX,
    PAUSE_MS_MAX,
    RETURN_COUNT_MAX,
    RETURN_MS_MAX,
)

FIRST = Incarnation("r1", 7)

REACH_MS = 500.0
"""Time after a refusal in which what was sent before still reaches the replica."""

SENDS_MAX = 2
"""Requests that may reach a replica during its pause, by the platform's rule."""


class BoundTests(TestCase):
    """A pause is a sensible time, whatever a replica states."""

    def test_what_is_no_time_is_none(self) -> None:
        """Negative values and what is no number ask for nothing."""
        for stated_ms in (-1.0, math.nan, math.inf, -math.inf):
            self.assertEqual(0.0, bounded_pause_ms(stated_ms))

    def test_hours_are_bounded(self) -> None:
        """Guards against a replica that is lost for a day by a wrong unit."""
        self.assertEqual(1_500.0, bounded_pause_ms(1_500.0))
        self.assertEqual(PAUSE_MS_MAX, bounded_pause_ms(7_200_000.0))


class PauseTests(TestCase):
    """A pause binds one incarnation until its end."""

    def test_it_binds_neither_another_start_nor_another_id(self) -> None:
        """Guards against capacity that is lost when a replica starts again."""
        pauses = ReplicaPauses()
        pauses.record(FIRST, 1_000, 0)
        found = pauses.find(FIRST, 999)
        assert found is not None
        self.assertTrue(found.is_paused(999))
        self.assertFalse(found.is_paused(1_000))
        self.assertIsNone(pauses.find(Incarnation("r1", 8), 10))
        self.assertIsNone(pauses.find(Incarnation("r2", 7), 10))

    def test_an_unknown_start_may_be_the_one(self) -> None:
        """Guards against sends to a replica whose entry is not read yet."""
        for told, asked in ((BORN_UNKNOWN, 7), (7, BORN_UNKNOWN)):
            pauses = ReplicaPauses()
            pauses.record(Incarnation("r1", told), 1_000, 0)
            self.assertIsNotNone(pauses.find(Incarnation("r1", asked), 10))

    def test_an_earlier_incarnation_does_not_end_the_pause_of_a_later_one(
        self,
    ) -> None:
        """The refusal of an earlier start may come late."""
        pauses = ReplicaPauses()
        pauses.record(Incarnation("r1", 8), 1_000, 0)
        pauses.record(FIRST, 100, 10)
        found = pauses.find(Incarnation("r1", 8), 500)
        self.assertEqual(1_000, found.until_ms if found else 0)

    def test_their_number_is_bounded(self) -> None:
        """Those that end first give way; those that are over are forgotten."""
        pauses = ReplicaPauses()
        for number in range(PAUSE_COUNT_MAX + 1):
            pauses.record(Incarnation(f"r{number}", 7), 1_000 + number, 0)
        self.assertEqual(PAUSE_COUNT_MAX, len(pauses))
        self.assertIsNone(pauses.find(Incarnation("r0", 7), 10))
        pauses.record(FIRST, 1_000, PAUSE_MS_MAX)
        self.assertEqual(1, len(pauses))


class ReturnTests(TestCase):
    """Work returns by degrees: the requests in flight double with each success."""

    def test_only_what_was_sent_after_the_pause_counts(self) -> None:
        """A request that ran before, or after an earlier pause, allows no more."""
        pauses = ReplicaPauses()
        pauses.record(FIRST, 1_000, 0)
        earlier = pauses.record_sent(FIRST, 1_000)
        pauses.record(FIRST, 1_000, 1_100)
        for round_id in (0, earlier):
            pauses.record_ended("r1", round_id)
            pauses.record_success("r1", round_id)
        found = pauses.find(FIRST, 2_200)
        assert found is not None
        self.assertEqual((1, 0), (found.return_count, found.in_flight_count))

    def test_success_or_time_ends_it(self) -> None:
        """Afterwards nothing is known of the replica."""
        pauses = ReplicaPauses()
        pauses.record(FIRST, 1_000, 0)
        self.assertIsNone(pauses.find(FIRST, 1_000 + RETURN_MS_MAX))
        for _ in range(int(math.log2(RETURN_COUNT_MAX))):
            round_id = pauses.record_sent(FIRST, 1_000)
            pauses.record_ended("r1", round_id)
            pauses.record_success("r1", round_id)
        self.assertIsNone(pauses.find(FIRST, 1_001))
        self.assertEqual((0, 0), (len(pauses), pauses.record_sent(FIRST, 1_001)))


class RuleTests(TestCase):
    """The rule of the platform, over any sequence of answers and starts."""

    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["r1", "r2"]),
                st.sampled_from(["send", "refuse", "restart", "late refusal"]),
                st.floats(0, 900),
                st.floats(0, 4_000),
            ),
            max_size=40,
        )
    )
    def test_no_request_reaches_a_replica_during_its_pause(
        self, steps: list[tuple[str, str, float, float]]
    ) -> None:
        """At most two do from half a second after the refusal until the end."""
        pauses = ReplicaPauses()
        starts = Counter({"r1": 1, "r2": 1})
        asked: list[tuple[Incarnation, float, float]] = []
        sent: list[tuple[Incarnation, float]] = []
        now = 0.0
        for replica_id, action, wait_ms, pause_ms in steps:
            now += wait_ms
            incarnation = Incarnation(replica_id, starts[replica_id])
            if action == "restart":
                starts[replica_id] += 1
            elif action == "refuse":
                pauses.record(incarnation, pause_ms, now)
                asked.append((incarnation, now, pause_ms))
            elif action == "late refusal":
                earlier = incarnation._replace(born_ms=max(1, incarnation.born_ms - 1))
                pauses.record(earlier, pause_ms, now)
                asked.append((earlier, now, pause_ms))
            else:
                pause = pauses.find(incarnation, now)
                if pause is None or not pause.is_paused(now):
                    pauses.record_sent(incarnation, now)
                    sent.append((incarnation, now))
                    continue
                bound = [it for it in asked if it[0] == incarnation]
                self.assertTrue(
                    any(at_ms <= now < at_ms + last_ms for _, at_ms, last_ms in bound)
                )
        for incarnation, at_ms, pause_ms in asked:
            reached = [
                sent_ms
                for other, sent_ms in sent
                if other == incarnation
                and at_ms + REACH_MS < sent_ms < at_ms + pause_ms
            ]
            self.assertTrue(len(reached) <= SENDS_MAX, reached)
