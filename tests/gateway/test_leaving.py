"""Tests of remembering which incarnations of replicas leave."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import BORN_UNKNOWN, Incarnation, LeavingIncarnations
from hemlocktrestle.gateway._leaving import LEAVING_COUNT_MAX, LEAVING_KEPT_MS

FIRST = Incarnation("r1", 7)


def _is_none(incarnation: Incarnation) -> bool:
    return False


class LeavingIncarnationsTests(TestCase):
    """What one incarnation said binds itself alone, and is bounded."""

    def test_it_binds_neither_another_start_nor_another_id(self) -> None:
        """Guards against capacity that is lost when a replica starts again."""
        known = LeavingIncarnations()
        self.assertTrue(known.record(FIRST, _is_none, 10))
        self.assertFalse(known.record(FIRST, _is_none, 20))
        self.assertEqual(20, known.learned_ms(FIRST, 30))
        self.assertIsNone(known.learned_ms(Incarnation("r1", 8), 30))
        self.assertIsNone(known.learned_ms(Incarnation("r2", 7), 30))

    def test_an_unknown_start_may_be_any_for_a_time(self) -> None:
        """Guards against sends to a leaving replica whose entry is not read yet."""
        for told, asked in ((BORN_UNKNOWN, 7), (7, BORN_UNKNOWN)):
            known = LeavingIncarnations()
            known.record(Incarnation("r1", told), _is_none, 0)
            found = Incarnation("r1", asked)
            self.assertEqual(0, known.learned_ms(found, LEAVING_KEPT_MS - 1))
            self.assertIsNone(known.learned_ms(found, LEAVING_KEPT_MS))

    def test_what_is_registered_is_not_forgotten(self) -> None:
        """The others are, so that memory does not grow with each replacement."""
        known = LeavingIncarnations()
        other = Incarnation("r2", 7)
        for incarnation in (FIRST, other):
            known.record(incarnation, _is_none, 0)
        known.record(Incarnation("r3", 7), (FIRST,).__contains__, LEAVING_KEPT_MS)
        self.assertEqual(0, known.learned_ms(FIRST, 10 * LEAVING_KEPT_MS))
        self.assertIsNone(known.learned_ms(other, LEAVING_KEPT_MS))
        self.assertEqual(2, len(known))

    def test_the_oldest_give_way(self) -> None:
        """Their number is bounded, whatever other VMs report."""
        known = LeavingIncarnations()
        for number in range(LEAVING_COUNT_MAX + 2):
            known.record(Incarnation(f"r{number}", 7), _is_none, number)
        self.assertEqual(LEAVING_COUNT_MAX, len(known))
        self.assertIsNone(known.learned_ms(Incarnation("r1", 7), 10_000))
        self.assertIsNotNone(known.learned_ms(Incarnation("r2", 7), 10_000))

    @given(
        steps=st.lists(
            st.tuples(
                st.sampled_from(["r1", "r2"]),
                st.integers(1, 3),
                st.floats(0, LEAVING_KEPT_MS / 4),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_the_rule_holds_over_any_sequence(
        self, steps: list[tuple[str, int, float, bool]]
    ) -> None:
        """A registered incarnation is held back exactly if it said that it leaves."""
        known = LeavingIncarnations()
        registered: dict[str, int] = {}
        told: set[Incarnation] = set()
        now = 0.0
        for replica_id, born_ms, pause_ms, is_answer in steps:
            now += pause_ms
            if is_answer and replica_id in registered:
                listed = {Incarnation(*item) for item in registered.items()}
                incarnation = Incarnation(replica_id, registered[replica_id])
                known.record(incarnation, listed.__contains__, now)
                told.add(incarnation)
            else:
                registered[replica_id] = max(
                    registered.get(replica_id, 0), born_ms + len(told)
                )
            for incarnation in (Incarnation(*item) for item in registered.items()):
                is_held_back = known.learned_ms(incarnation, now) is not None
                self.assertEqual(incarnation in told, is_held_back)
