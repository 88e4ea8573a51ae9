"""Retries in the background the claim writes that the store did not confirm."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

PAUSE_S = 0.5
"""First pause before a repair is retried, in seconds; it doubles without answer."""

PAUSE_S_MAX = 30.0
"""Longest pause between retries while the store does not answer, in seconds."""

REPAIRS_MAX = 5_000
"""Most repairs in the queue, which bounds its memory."""

REPAIR_S_MAX = 3_600.0
"""Time after which a repair is abandoned, in seconds."""

Repair = Callable[[], Awaitable[bool]]
"""Attempts a repair; returns ``False`` if it must be retried later."""


class _Waiting(NamedTuple):
    repair: Repair
    size_bytes: int
    until_s: float


class RepairQueue:
    """Queue of repairs, retried with exponential back-off.

    Args:
        jitter: spreads the retries of many VMs in time.
    """

    def __init__(self, *, jitter: random.Random) -> None:
        self._jitter = jitter
        self._waiting: dict[str, _Waiting] = {}
        self._added = trio.Event()
        self._emptied = trio.Event()

    @property
    def waiting_count(self) -> int:
        """Number of queued repairs."""
        return len(self._waiting)

    @property
    def waiting_bytes(self) -> int:
        """Total size of the response bodies held by queued repairs, in bytes."""
        return sum(waiting.size_bytes for waiting in self._waiting.values())

    def add(self, name: str, repair: Repair, *, size_bytes: int = 0) -> None:
        """Queue a repair; if the queue is full, it is logged as lost and discarded."""
        if len(self._waiting) >= REPAIRS_MAX:
            log.error("claim_repair_lost", extra={"claim": name})
            return
        until_s = trio.current_time() + REPAIR_S_MAX
        self._waiting[name] = _Waiting(repair, size_bytes, until_s)
        self._added.set()

    async def emptied(self) -> None:
        """Wait until the queue is empty."""
        while self._waiting:
            self._emptied = trio.Event()
            await self._emptied.wait()

    async def run(self) -> None:
        """Attempt queued repairs until cancelled."""
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
        """Attempt each repair; stop and return ``False`` on an unavailable store."""
        for name, waiting in list(self._waiting.items()):
            try:
                is_done = await waiting.repair()
            except RequestError as error:
                if error.kind is ErrorKind.STORE_UNAVAILABLE:
                    self._give_up(name, waiting)
                    return False
                is_done = True
            except Exception:
                # A repair with a fault must not keep the others from being attempted.
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
