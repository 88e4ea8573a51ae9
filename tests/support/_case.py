"""A test case whose tests may be asynchronous and run in virtual time."""

import inspect
import os
from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio.testing
from testtools import TestCase

VIRTUAL_LIMIT_S = 3600.0
SEED = int(os.environ.get("TRESTLE_SEED", "1"))
"""Seed of the scheduling order of tasks; each seed gives another interleaving."""


class TrioTestCase(TestCase):
    """Runs each asynchronous test under trio, with trio's autojump clock."""

    def _get_test_method(self) -> Callable[[], Any]:
        # The runner also creates a case without a test method, to inspect the class.
        method: Callable[[], Any] = getattr(self, self._testMethodName, _no_test)
        if not inspect.iscoroutinefunction(method):
            return method

        def run() -> None:
            run_virtual(method)

        return run


def _no_test() -> None:
    """Do nothing; the test method of a case that has none."""


def run_virtual(main: Callable[[], Awaitable[None]], *, seed: int = SEED) -> None:
    """Run an asynchronous function in virtual time, with a time limit.

    The seed determines the order of tasks that are ready at the same time, so that
    a run is reproducible.
    """
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)

    async def bounded() -> None:
        with trio.fail_after(VIRTUAL_LIMIT_S):
            await main()

    trio.run(bounded, clock=trio.testing.MockClock(autojump_threshold=0))
