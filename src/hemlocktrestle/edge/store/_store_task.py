"""Retry loop and health tracking shared by all tasks that use the platform's store."""

import logging
import math
import random
from collections.abc import Callable

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.platform import PlatformStore, StoreError, StoreErrorKind

log = logging.getLogger(__name__)

OWN_READ_MS = 700.0
"""Time in which a VM notices that its relays are cut off and reads the store, in ms."""

RETRY_S_MIN = 0.2
RETRY_S_MAX = 0.8
"""Range of the random pause before a failed store call is retried, in seconds.

Changes must be in force a few seconds after the store returns, which bounds the
pause; a store that comes back must not get calls of all VMs at short intervals.
"""


class StoreHealth:
    """Tracks whether the store answers, and informs the replica registry.

    Args:
        state: shared state of the process.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self.is_lost = False
        self.lost_count = 0
        self._answered_ms: dict[str, float] = {}

    def age_ms(self, caller: str | None = None) -> float:
        """Return the time since the store last answered one task, or any task.

        Infinite if it has not answered yet.
        """
        if caller is not None:
            return now_ms() - self._answered_ms.get(caller, -math.inf)
        return now_ms() - max(self._answered_ms.values(), default=-math.inf)

    def record_failure(self, caller: str, error: StoreError) -> None:
        """Record a failed call."""
        if not self.is_lost:
            self.is_lost = True
            self.lost_count += 1
            log.warning("store_lost", extra={"caller": caller, "reason": str(error)})
        self._state.replicas.on_store_lost()

    def on_restored(self, notify: Callable[[], None]) -> None:
        """Have a function called when the store was restored."""
        self._state.on_store_restored.append(notify)

    @property
    def era(self) -> int:
        """Highest era of the store that is known."""
        return self._state.store_era

    def observe_era(self, caller: str, era: int) -> None:
        """Record the era that an answer stated."""
        self._state.observe_store_era(era, source=caller)

    def record_answer(self, caller: str) -> None:
        """Record an answered call."""
        self._answered_ms[caller] = now_ms()
        if self.is_lost:
            self.is_lost = False
            log.info("store_back", extra={"caller": caller})
        self._state.replicas.on_store_recovered(now_ms())


_REPORTED_BY_STORE = frozenset(
    {
        StoreErrorKind.HISTORY_LOST,
        StoreErrorKind.LEASE_ENDED,
        StoreErrorKind.OUTDATED,
        StoreErrorKind.RESTORED,
    }
)
"""Errors that the store itself reported: it is reachable, so it is not lost."""


class StoreTask:
    """A task that starts again whenever a call to the store fails.

    It does so, too, when the store was restored: revisions and leases that the task
    holds belong to one era.  ``name`` identifies the task in logs and metrics.
    """

    name = ""

    def __init__(self, store: PlatformStore, health: StoreHealth) -> None:
        self.is_finished = False
        self._store = store
        self._health = health
        self._jitter = random.Random()
        self._era: int | None = None

    async def run(self) -> None:
        """Run until cancelled, or until the task is finished."""
        begun_anew_ms = -math.inf
        while not self.is_finished:
            self._era = None
            try:
                await self._run_until_error()
            except StoreError as error:
                if error.era is not None:
                    self._health.observe_era(self.name, error.era)
                if error.kind in _REPORTED_BY_STORE:
                    # The store answers, but what this task knew of it is outdated.
                    log.info(
                        "store_followed_anew",
                        extra={"caller": self.name, "reason": str(error)},
                    )
                    # The same answer may come again at once.
                    is_repeated = now_ms() - begun_anew_ms < RETRY_S_MAX * 1000
                    if error.kind is StoreErrorKind.OUTDATED or is_repeated:
                        await trio.sleep(self._jitter.uniform(RETRY_S_MIN, RETRY_S_MAX))
                    begun_anew_ms = now_ms()
                    continue
                self._health.record_failure(self.name, error)
                await trio.sleep(self._jitter.uniform(RETRY_S_MIN, RETRY_S_MAX))

    def _record_answer(self, era: int) -> None:
        """Record an answered call.

        Args:
            era: the era that the answer states.

        Raises:
            StoreError: of kind ``OUTDATED`` if another era is known to follow it, and
                ``RESTORED`` if what this task holds belongs to an earlier one.
        """
        self._health.observe_era(self.name, era)
        known = self._health.era
        if era < known:
            raise StoreError(
                StoreErrorKind.OUTDATED, f"answer of era {era}, {known} is known"
            )
        if self._era is not None and era != self._era:
            raise StoreError(
                StoreErrorKind.RESTORED, f"answer of era {era} after {self._era}"
            )
        self._era = era
        self._health.record_answer(self.name)

    async def _run_until_error(self) -> None:
        raise NotImplementedError
