"""Retries in the background the claim writes that the store did not confirm."""

import logging
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.5
"""First pause before a repair is retried, in seconds; it doubles without answer."""

RETRY_PAUSE_S_MAX = 30.0
"""Longest pause between retries while the store does not answer, in seconds."""

REPAIRS_MAX = 5_000
"""Most repairs in the queue, which bounds its memory."""

REPAIR_AGE_S_MAX = 3_600.0
"""Time after which a repair is abandoned, in seconds."""

Repair = Callable[[], Awaitable[bool]]
"""Attempts a repair; returns ``False`` if it must be retried later."""


class _QueuedRepair(NamedTuple):
    repair: Repair
    size_bytes: int
    expires_s: float


class RepairQueue:
    """Queue of repairs, retried with exponential back-off.

    Args:
        jitter: spreads the retries of many VMs in time.
    """

    def __init__(self, *, jitter: random.Random) -> None:
        self._jitter = jitter
        self._queued: dict[str, _QueuedRepair] = {}
        self._work_added = trio.Event()
        self._emptied = trio.Event()

    @property
    def queued_count(self) -> int:
        """Number of queued repairs."""
        return len(self._queued)

    @property
    def queued_bytes(self) -> int:
        """Total size of the response bodies held by queued repairs, in bytes."""
        return sum(queued.size_bytes for queued in self._queued.values())

    def add(self, name: str, repair: Repair, *, size_bytes: int = 0) -> None:
        """Queue a repair; if the queue is full, it is logged as lost and discarded."""
        if len(self._queued) >= REPAIRS_MAX:
            log.error("claim_repair_lost", extra={"claim": name})
            return
        expires_s = trio.current_time() + REPAIR_AGE_S_MAX
        self._queued[name] = _QueuedRepair(repair, size_bytes, expires_s)
        self._work_added.set()

    async def wait_empty(self) -> None:
        """Wait until the queue is empty."""
        while self._queued:
            self._emptied = trio.Event()
            await self._emptied.wait()

    async def run(self) -> None:
        """Attempt queued repairs until cancelled."""
        pause_s = RETRY_PAUSE_S
        while True:
            if not self._queued:
                self._emptied.set()
                self._work_added = trio.Event()
                await self._work_added.wait()
                pause_s = RETRY_PAUSE_S
            await trio.sleep(pause_s * self._jitter.uniform(0.5, 1.0))
            is_answered = await self._attempt_all()
            pause_s = (
                RETRY_PAUSE_S if is_answered else min(RETRY_PAUSE_S_MAX, pause_s * 2)
            )

    async def _attempt_all(self) -> bool:
        """Attempt each repair; stop and return ``False`` on an unavailable store."""
        for name, queued in list(self._queued.items()):
            try:
                is_done = await queued.repair()
            except RequestError as error:
                if error.kind is ErrorKind.STORE_UNAVAILABLE:
                    self._discard_if_expired(name, queued)
                    return False
                is_done = True
            except Exception:
                # A repair with a fault must not keep the others from being attempted.
                log.exception("claim_repair_failed", extra={"claim": name})
                is_done = False
            if is_done:
                del self._queued[name]
            else:
                self._discard_if_expired(name, queued)
        return True

    def _discard_if_expired(self, name: str, queued: _QueuedRepair) -> None:
        if trio.current_time() >= queued.expires_s:
            del self._queued[name]
            log.error("claim_repair_lost", extra={"claim": name})
