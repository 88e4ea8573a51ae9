"""Waits and checkpoints that the tasks of a process share."""

from hemlocktrestle.timers._checkpointer import STEPS_PER_CHECKPOINT, Checkpointer
from hemlocktrestle.timers._periodic import sleep_until_multiple

__all__ = ["STEPS_PER_CHECKPOINT", "Checkpointer", "sleep_until_multiple"]
