"""Tests of checkpoints in loops that do not wait."""

from itertools import pairwise

import trio

from hemlocktrestle.timers import STEPS_PER_CHECKPOINT, Checkpointer
from tests.support import TrioTestCase


class CheckpointerTests(TrioTestCase):
    """Other tasks run after a bounded number of steps."""

    async def test_other_tasks_run_after_some_steps(self) -> None:
        """Another task that is always ready sees the loop at every few steps."""
        seen: list[int] = []
        step_count = 0

        async def watch() -> None:
            while True:
                seen.append(step_count)
                await trio.lowlevel.checkpoint()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.lowlevel.checkpoint()
            checkpointer = Checkpointer()
            for _ in range(3 * STEPS_PER_CHECKPOINT):
                step_count += 1
                await checkpointer.step()
            nursery.cancel_scope.cancel()
        gaps = [late - early for early, late in pairwise(seen)]
        # A task that is ready may run first or last in its round.
        self.assertLessEqual(max(gaps), 2 * STEPS_PER_CHECKPOINT)

    async def test_a_loop_can_be_cancelled(self) -> None:
        """A loop over data without end ends with its scope."""
        checkpointer = Checkpointer()
        with trio.move_on_after(1) as scope:
            scope.cancel()
            for _ in range(STEPS_PER_CHECKPOINT):
                await checkpointer.step()
        self.assertTrue(scope.cancelled_caught)
