"""Numbered steps of a run, at each of which a fault can be injected."""

from collections.abc import Callable
from contextvars import ContextVar

import trio

CURRENT_VM: ContextVar[str] = ContextVar("current_vm", default="")
"""Name of the VM to which the running task belongs."""


class Steps:
    """Counts the steps that the fakes report, and runs actions at chosen ones.

    A paused VM makes no step until its pause is over.
    """

    def __init__(self) -> None:
        self.names: list[str] = []
        self._actions: dict[int, Callable[[], None]] = {}
        self._paused_until_s: dict[str, float] = {}

    def arm(self, at: int, action: Callable[[], None]) -> None:
        """Schedule an action for the step with this number."""
        self._actions[at] = action

    def pause(self, vm: str, pause_s: float) -> None:
        """Pause a VM from now on for a time."""
        self._paused_until_s[vm] = trio.current_time() + pause_s

    def is_paused(self, vm: str) -> bool:
        """Tell whether a VM is paused."""
        return self._paused_until_s.get(vm, 0.0) > trio.current_time()

    async def reach(self, name: str) -> None:
        """Count a step, run its action, and wait while the task's VM is paused."""
        self.names.append(name)
        action = self._actions.get(len(self.names))
        if action is not None:
            action()
        await self.wait_while_paused(CURRENT_VM.get())

    async def wait_while_paused(self, vm: str) -> None:
        """Wait while a VM is paused."""
        while self.is_paused(vm):
            await trio.sleep_until(self._paused_until_s[vm])
