"""Counts the work that a task does between two checkpoints."""

from collections.abc import Callable
from functools import wraps
from typing import Any

import trio
from testtools import TestCase


class StepWork(trio.abc.Instrument):
    """Sums amounts of work, anew after each checkpoint of a task.

    A count says the same on every machine, unlike a time.
    """

    def __init__(self) -> None:
        self.largest = 0
        self.total = 0
        self._current = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Begin to count anew."""
        self._current = 0

    def add(self, amount: int) -> None:
        """Add work of the running task."""
        self.total += amount
        self._current += amount
        self.largest = max(self.largest, self._current)


def count_step_work(
    case: TestCase,
    owner: type,
    method: str,
    *,
    amount_of: Callable[..., int] = lambda *arguments: 1,
) -> StepWork:
    """Count the calls of a method in the running trio loop, until the test ends.

    Args:
        case: the test.
        owner: the class.
        method: name of the method, which is asynchronous or not.
        amount_of: returns the work of a call from its arguments, without ``self``.
    """
    work = StepWork()
    original: Callable[..., Any] = getattr(owner, method)

    @wraps(original)
    def counted(self: Any, *arguments: Any) -> Any:
        work.add(amount_of(*arguments))
        return original(self, *arguments)

    case.patch(owner, method, counted)
    trio.lowlevel.add_instrument(work)
    return work
