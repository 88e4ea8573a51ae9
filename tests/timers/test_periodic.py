"""Tests of timers that wake a process together."""

import trio

from hemlocktrestle.timers import sleep_until_multiple
from tests.support import TrioTestCase


class PeriodicTests(TrioTestCase):
    """Periodic tasks wake at multiples of their periods."""

    async def test_tasks_with_related_periods_wake_together(self) -> None:
        """Guards against processes that spend their time on waking up."""
        wakes: dict[float, list[float]] = {0.25: [], 0.5: []}

        async def wake(period_s: float, start_s: float) -> None:
            await trio.sleep(start_s)
            while True:
                await sleep_until_multiple(period_s)
                wakes[period_s].append(trio.current_time())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wake, 0.25, 0.1)
            nursery.start_soon(wake, 0.5, 0.37)
            await trio.sleep(3.1)
            nursery.cancel_scope.cancel()
        self.assertEqual([number / 4 for number in range(1, 13)], wakes[0.25])
        self.assertEqual([number / 2 for number in range(1, 7)], wakes[0.5])

    async def test_it_never_returns_at_once(self) -> None:
        """A period that is no binary fraction must not end a sleep again and again."""
        for _ in range(1_000):
            before_s = trio.current_time()
            await sleep_until_multiple(0.1)
            self.assertTrue(0.099 < trio.current_time() - before_s < 0.101)
