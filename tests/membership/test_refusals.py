"""Tests of the facts about upstreams that refuse work."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.membership import ProbeResult, RefusalTracker


class RefusalBookTests(TestCase):
    """Facts are numbered, and the higher number wins."""

    def test_another_address_is_another_upstream(self) -> None:
        """One that came back elsewhere is not held to be refusing."""
        book = RefusalTracker()
        book.record_refusal("e1", "old:1", 0)
        self.assertTrue(book.is_refusing("e1", "old:1"))
        self.assertFalse(book.is_refusing("e1", "new:1"))

    def test_trials_of_one_that_cannot_tell_grow_rarer(self) -> None:
        """An upstream without a probe that refuses each trial is tried ever later."""
        book = RefusalTracker()
        now_ms, pauses = 0, []
        for _ in range(4):
            book.record_refusal("e1", "a:1", now_ms)
            since_ms = now_ms
            while book.is_refusing("e1", "a:1"):
                now_ms += 1_000
                for key in book.pop_due(now_ms):
                    book.record_probe(*key, ProbeResult.UNREPORTED, now_ms)
            pauses.append(now_ms - since_ms)
        self.assertGreaterEqual(pauses[0], 60_000)
        for early, late in itertools.pairwise(pauses):
            self.assertGreater(late, 1.5 * early)

    def test_one_that_left_the_list_is_forgotten(self) -> None:
        """The book does not grow with upstreams of the past."""
        book = RefusalTracker()
        book.record_refusal("e1", "a:1", 0)
        book.retain([("e2", "b:1")], 1)
        self.assertEqual((), book.snapshot())

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.sampled_from(["refused", "well"]), st.booleans()
            ),
            max_size=30,
        )
    )
    def test_all_agree_in_the_end(self, steps: list[tuple[int, str, bool]]) -> None:
        """Whatever was seen where, books that heard of each other agree."""
        books = [RefusalTracker() for _ in range(3)]
        for index, what, is_shared in steps:
            if what == "refused":
                books[index].record_refusal("e1", "a:1", 0)
            else:
                books[index].record_probe("e1", "a:1", ProbeResult.HEALTHY, 0)
            if is_shared:
                books[(index + 1) % 3].merge(books[index].snapshot(), 0)
        for _ in range(2):
            for book in books:
                for other in books:
                    book.merge(other.snapshot(), 0)
        self.assertEqual(1, len({book.snapshot() for book in books}))
