"""Tests of the exponential backoff."""

import random

from testtools import TestCase

from hemlocktrestle.membership import Backoff
from hemlocktrestle.membership._backoff import FIRST_LIMIT_S, LIMIT_MAX_S


class BackoffTests(TestCase):
    """Pauses grow to a limit, differ between clients, and can be reset."""

    def test_pauses_grow_to_the_limit(self) -> None:
        """After enough failures every pause is between half the limit and it."""
        backoff = Backoff(random.Random(1))
        pauses = [backoff.next_s() for _ in range(12)]
        self.assertLessEqual(pauses[0], FIRST_LIMIT_S)
        for pause_s in pauses[-4:]:
            self.assertTrue(LIMIT_MAX_S / 2 <= pause_s <= LIMIT_MAX_S)

    def test_success_starts_over(self) -> None:
        """The pause after a success is a first pause again."""
        backoff = Backoff(random.Random(1))
        for _ in range(12):
            backoff.next_s()
        backoff.reset()
        self.assertLessEqual(backoff.next_s(), FIRST_LIMIT_S)

    def test_parties_spread(self) -> None:
        """A hundred clients that fail at once have different pauses."""
        pauses = {Backoff(random.Random(seed)).next_s() for seed in range(100)}
        self.assertEqual(100, len(pauses))
