"""Sleeping until common points in time."""

import math

import trio

ROUNDING = 1e-6
"""Share of a period by which the clock may be short of a multiple and be at it."""


async def sleep_until_multiple(period_s: float) -> float:
    """Sleep until the clock reaches the next multiple of a period.

    Tasks whose periods are multiples of each other then wake at the same time, which
    costs the process one wake-up rather than one for each task.  The clocks of
    processes start at random, so that they do not wake together.

    Args:
        period_s: the period, in seconds.

    Returns:
        The time at which the sleep was due to end.
    """
    passed_count = math.floor(trio.current_time() / period_s + ROUNDING)
    due_s = (passed_count + 1) * period_s
    await trio.sleep_until(due_s)
    return due_s
