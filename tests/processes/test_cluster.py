"""Tests of how the tests start processes, on machines of any speed."""

import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testtools import TestCase

from tests import cluster
from tests.cluster import Process


class _JumpingTime:
    """A clock that jumps a minute with each look, while sleeps take their time."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        self._now_s += 60.0
        return self._now_s

    def sleep(self, seconds: float) -> None:
        """Sleep, but not long."""
        time.sleep(seconds)


class StartTests(TestCase):
    """A process that lives and has not spoken yet is slow, one that ended is not."""

    def _start(self, program: str) -> Process:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        process = Process("slow", [sys.executable, "-c", program], Path(folder.name))
        self.addCleanup(process.stop)
        return process

    def test_a_slow_start_is_awaited(self) -> None:
        """Guards against tests that fail because the machine is busy."""
        process = self._start("import time; time.sleep(60)")
        looks: list[dict[str, Any]] = [{"event": "starting"}] * 5

        def events() -> Any:
            yield looks.pop() if looks else {"event": "listening", "address": "here"}

        self.patch(process, "events", events)
        self.patch(process.child, "poll", lambda: None)
        self.patch(cluster, "time", _JumpingTime())
        process.await_listening()
        self.assertEqual("here", process.addresses["address"])

    def test_an_end_at_the_start_is_noticed_at_once(self) -> None:
        """The error has the exit code and the output."""
        process = self._start("import sys; print('no port'); sys.exit(3)")
        error = self.assertRaises(RuntimeError, process.await_listening)
        self.assertIn("with 3: no port", str(error))
