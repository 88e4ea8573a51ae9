"""Tests of the memory of buffered answers."""

import trio

from hemlocktrestle.edge.callers._answer_body import ROOM_TIMEOUT_S, AnswerBody
from hemlocktrestle.errors import RequestError
from hemlocktrestle.relay import BodyMemoryBudget
from tests.support import TrioTestCase

BUDGET_BYTES = 1_000


class AnswerMemoryTests(TrioTestCase):
    """An answer waits for memory that callers hold who read nothing."""

    def setUp(self) -> None:
        """Set up a budget that another answer has taken."""
        super().setUp()
        self.budget = BodyMemoryBudget(BUDGET_BYTES)
        self.budget.reserve(BUDGET_BYTES)
        self.cut_count = 0

    def make_room(self) -> bool:
        """Free the memory of the other answer at the third call."""
        self.cut_count += 1
        if self.cut_count == 3:
            self.budget.release(BUDGET_BYTES)
        return True

    async def test_memory_that_a_cut_frees_is_used(self) -> None:
        """The answer is whole, and its memory is returned."""
        with AnswerBody(self.budget, bytes_max=BUDGET_BYTES) as body:
            await body.add(b"x" * 900, make_room=self.make_room)
            self.assertEqual([b"x" * 900], body.blocks)
        self.assertEqual(BUDGET_BYTES, self.budget.available_bytes)

    async def test_an_answer_that_never_fits_is_given_up_at_once(self) -> None:
        """Guards against callers that are cut for it, and a slot that it holds."""
        body = AnswerBody(self.budget, bytes_max=2 * BUDGET_BYTES)
        with body, self.assertRaises(RequestError):
            await body.add(b"x" * (BUDGET_BYTES + 1), make_room=self.make_room)
        self.assertEqual((0, 0), (self.cut_count, trio.current_time()))

    async def test_the_wait_is_bounded(self) -> None:
        """Without memory in time the answer is given up."""
        body = AnswerBody(self.budget, bytes_max=BUDGET_BYTES)
        with body, self.assertRaises(RequestError):
            await body.add(b"x", make_room=lambda: False)
        self.assertEqual(0, self.budget.available_bytes)
        self.assertTrue(ROOM_TIMEOUT_S <= trio.current_time() < ROOM_TIMEOUT_S + 0.2)
