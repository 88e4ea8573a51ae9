"""Detects pauses of the event loop: frozen or starved process, or blocking code."""

import logging
import time

import trio

from hemlocktrestle.timers import sleep_until_multiple

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
"""Interval at which the clock is checked, in seconds."""

STALL_MS = 250.0
"""Lateness of a check that is logged, in milliseconds.

A scheduler that is late by as much counts as silent, and callers notice the pause.
"""


class StallMonitor:
    """Logs each pause during which no task of this process ran.

    The CPU time used in the pause distinguishes a process that was frozen or starved
    (little CPU time) from one whose own code blocked the event loop (much CPU time).
    """

    def __init__(self) -> None:
        self.count = 0

    async def run(self) -> None:
        """Check for stalls until cancelled."""
        while True:
            worked_s = time.process_time()
            due_s = await sleep_until_multiple(CHECK_INTERVAL_S)
            stall_ms = (trio.current_time() - due_s) * 1000
            if stall_ms >= STALL_MS:
                self.count += 1
                log.warning(
                    "process_stalled",
                    extra={
                        "stall_ms": round(stall_ms),
                        "cpu_ms": round((time.process_time() - worked_s) * 1000),
                    },
                )
