"""Tests of detecting pauses of the process."""

import time
from itertools import count
from typing import Any

import trio
import trio.testing

from hemlocktrestle.edge import _stall_monitor
from hemlocktrestle.edge._stall_monitor import STALL_MS, StallMonitor
from tests.support import TrioTestCase


class StallTests(TrioTestCase):
    """Each long pause is logged once; short ones are not logged."""

    async def test_a_pause_is_logged_with_its_cpu_time(self) -> None:
        """A jump of the clock simulates a pause; its CPU time is logged too."""
        logged: list[dict[str, Any]] = []
        worked_s = count(step=0.01)
        self.patch(time, "process_time", lambda: next(worked_s))

        def record_warning(event: str, *, extra: dict[str, Any]) -> None:
            logged.append(extra)

        self.patch(_stall_monitor.log, "warning", record_warning)
        clock: Any = trio.lowlevel.current_clock()
        monitor = StallMonitor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            for pause_ms in (STALL_MS / 2, STALL_MS * 2):
                await trio.testing.wait_all_tasks_blocked()
                interval_s = _stall_monitor.CHECK_INTERVAL_S
                due_ms = (interval_s - trio.current_time() % interval_s) * 1000
                clock.jump((due_ms + pause_ms) / 1000)
                await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        self.assertEqual([{"stall_ms": 500, "cpu_ms": 10}], logged)
        self.assertEqual(1, monitor.count)
