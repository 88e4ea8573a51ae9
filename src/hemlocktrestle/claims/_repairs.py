"""Claims whose last write got no answer, settled in the background."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

PAUSE_S = 0.5
"""First pause before a repair is tried again, in seconds."""

PAUSE_S_MAX = 30.0
"""Longest pause between tries while the store gives no answer, in seconds."""

REPAIRS_MAX = 5_000
"""Repairs that may wait at once."""

REPAIR_S_MAX = 3_600.0
"""Longest time for which a repair is tried, in seconds."""

Repair = Callable[[], Awaitable[bool]]
"""Tries a repair; ``False`` if it must be tried again later."""


class _Waiting(NamedTuple):
    repair: Repair
    size_bytes: int
    until_s: float


class RepairQueue:
    """Repairs that wait for the store, tried again with growing pauses.

    Args:
        jitter: spreads the tries of many VMs.
    """

    def __init__(self, *, jitter: random.Random) -> None:
        self._jitter = jitter
        self._waiting: dict[str, _Waiting] = {}
        self._added = trio.Event()
        self._emptied = trio.Event()

    @property
    def waiting_count(self) -> int:
        """How many repairs wait."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """How much the answers that wait take up."""
        return sum(waiting.size_bytes for waiting in self._waiting.values())

    def add(self, name: str, repair: Repair, *, size_bytes: int = 0) -> None:
        """Have a repair tried until it is done; one that finds no room is lost."""
        if len(self._waiting) >= REPAIRS_MAX:
            log.error("claim_repair_lost", extra={"claim": name})
            return
        until_s = trio.current_time() + REPAIR_S_MAX
        self._waiting[name] = _Waiting(repair, size_bytes, until_s)
        self._added.set()

    async def emptied(self) -> None:
        """Return when no repair waits."""
        while self._waiting:
            self._emptied = trio.Event()
            await self._emptied.wait()

    async def run(self) -> None:
        """Try repairs until cancelled."""
        pause_s = PAUSE_S
        while True:
            if not self._waiting:
                self._emptied.set()
                self._added = trio.Event()
                await self._added.wait()
                pause_s = PAUSE_S
            await trio.sleep(pause_s * self._jitter.uniform(0.5, 1.0))
            is_answered = await self._try_all()
            pause_s = PAUSE_S if is_answered else min(PAUSE_S_MAX, pause_s * 2)

    async def _try_all(self) -> bool:
        """Try each repair; stop and return ``False`` if the store is silent."""
        for name, waiting in list(self._waiting.items()):
            try:
                is_done = await waiting.repair()
            except RequestError as error:
                if error.kind is ErrorKind.STORE_UNAVAILABLE:
                    self._give_up(name, waiting)
                    return False
                is_done = True
            except Exception:
                # One broken repair must not keep the others from being tried.
                log.exception("claim_repair_failed", extra={"claim": name})
                is_done = False
            if is_done:
                del self._waiting[name]
            else:
                self._give_up(name, waiting)
        return True

    def _give_up(self, name: str, waiting: _Waiting) -> None:
        if trio.current_time() >= waiting.until_s:
            del self._waiting[name]
            log.error("claim_repair_lost", extra={"claim": name})
