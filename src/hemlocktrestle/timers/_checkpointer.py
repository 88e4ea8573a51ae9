"""Checkpoints in loops over data that has already arrived."""

import trio

STEPS_PER_CHECKPOINT = 64
"""Steps after which other tasks run; one step takes some tens of microseconds."""


class Checkpointer:
    """Lets other tasks run while a loop has data and does not wait.

    A peer decides into how many parts it cuts its data, down to single bytes.
    """

    def __init__(self) -> None:
        self._step_count = 0

    async def step(self) -> None:
        """Count one step of the loop, and pass a checkpoint after some of them."""
        self._step_count += 1
        if self._step_count >= STEPS_PER_CHECKPOINT:
            self._step_count = 0
            await trio.lowlevel.checkpoint()
