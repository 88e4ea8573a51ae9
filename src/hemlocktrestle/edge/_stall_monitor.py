"""Notices when this process did not run: frozen, starved, or busy with itself."""

import logging
import time

import trio

log = logging.getLogger(__name__)

LOOK_S = 0.1
"""Time between two looks at the clock, in seconds."""

STALL_MS = 250.0
"""Lateness of a look that is logged, in milliseconds: much of an ordinary aim."""


class StallMonitor:
    """Logs each time for which nothing in this process ran.

    The processor time in between tells a machine that stood still, or had no time
    for the process, from code of the process that did not let others run.
    """

    def __init__(self) -> None:
        self.count = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            looked_s, worked_s = trio.current_time(), time.process_time()
            await trio.sleep(LOOK_S)
            stall_ms = (trio.current_time() - looked_s - LOOK_S) * 1000
            if stall_ms >= STALL_MS:
                self.count += 1
                log.warning(
                    "process_stalled",
                    extra={
                        "stall_ms": round(stall_ms),
                        "cpu_ms": round((time.process_time() - worked_s) * 1000),
                    },
                )
