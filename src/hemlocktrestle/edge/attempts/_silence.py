"""Detects that a replica is silent, and ends its attempt once another one is ready."""

import math
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import trio


class SuccessorSearch(Protocol):
    """Finds the replica that takes over from a silent one."""

    async def search(self) -> None:
        """Return when another replica is ready; cancelled if it is not needed."""
        ...

    async def withdraw(self) -> None:
        """Release the replica that was found."""
        ...


class SilenceMonitor:
    """Bounds the silence of a replica during one attempt.

    Silence alone does not end the attempt, as the replica may go on.  It starts the
    search for a successor, which is cancelled when the replica sends again.

    Args:
        successors: finds the successor.
        on_silent: called with ``"search"`` when the replica falls silent, and with
            ``"abandon"`` or ``"keep"`` when a successor is ready.
    """

    def __init__(
        self,
        successors: SuccessorSearch,
        *,
        on_silent: Callable[[str], None],
    ) -> None:
        self._successors = successors
        self._on_silent = on_silent
        self._attempt_scope = trio.CancelScope()
        self._monitor_scope = trio.CancelScope()
        self._timer = trio.CancelScope()
        self._search_scope = trio.CancelScope()
        self._due_s = math.inf

    @property
    def has_ended_attempt(self) -> bool:
        """Whether the attempt was ended in favour of a successor."""
        return self._attempt_scope.cancelled_caught

    @asynccontextmanager
    async def guard(self) -> AsyncIterator[None]:
        """Cancel the body once the replica is silent and has a successor."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run)
            with self._attempt_scope:
                yield
            self._monitor_scope.cancel()

    def expect_within(self, limit_s: float) -> None:
        """Start the time limit of the next data from the replica, in seconds."""
        self._set_due(trio.current_time() + limit_s)

    async def suspend(self) -> None:
        """Remove the time limit before data is sent to the caller.

        Cancellation is delivered only at a checkpoint.  An attempt or a request that
        has already been ended is therefore left here; otherwise the cancellation
        would take effect while the answer is being sent, and cut an answer that
        counts as sent.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        self._set_due(math.inf)
        self._search_scope.cancel()

    async def stop(self) -> None:
        """Remove the time limit for good, before the last data is sent.

        The monitor ends while the data is sent, so that nothing is left to wait for
        when the caller has it and may disconnect.
        """
        await self.suspend()
        self._monitor_scope.cancel()

    def _set_due(self, due_s: float) -> None:
        self._due_s = self._timer.deadline = due_s

    async def _run(self) -> None:
        with self._monitor_scope:
            await self._watch()

    async def _watch(self) -> None:
        while True:
            with trio.CancelScope(deadline=self._due_s) as self._timer:
                await trio.sleep_forever()
            if trio.current_time() < self._due_s:
                continue
            with trio.CancelScope() as self._search_scope:
                self._on_silent("search")
                await self._successors.search()
                if not self._search_scope.cancel_called:
                    self._on_silent("abandon")
                    self._attempt_scope.cancel()
                    return
                self._on_silent("keep")
                await self._successors.withdraw()
