"""What every follower of the platform's store shares."""

import logging
import math
import random

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.platform import PlatformStore, StoreError, StoreErrorKind

log = logging.getLogger(__name__)

RETRY_S_MIN = 0.2
RETRY_S_MAX = 0.8
"""Pause before a failed call to the store is repeated, in seconds.

News must be in force a few seconds after the store's return, and calls to a store
that is down are paid for too.
"""


class StoreHealth:
    """Whether the store answers; tells the replica book of its loss and return.

    Args:
        state: what the process believes.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self.is_lost = False
        self.lost_count = 0
        self._answered_ms: dict[str, float] = {}

    def age_ms(self, caller: str | None = None) -> float:
        """Return the time since the store last answered a caller, or any of them.

        Infinite if it has not.
        """
        if caller is not None:
            return now_ms() - self._answered_ms.get(caller, -math.inf)
        return now_ms() - max(self._answered_ms.values(), default=-math.inf)

    def failed(self, caller: str, error: StoreError) -> None:
        """Note a call that brought no result."""
        if not self.is_lost:
            self.is_lost = True
            self.lost_count += 1
            log.warning("store_lost", extra={"caller": caller, "reason": str(error)})
        self._state.replicas.on_store_lost()

    def answered(self, caller: str) -> None:
        """Note a call that was answered."""
        self._answered_ms[caller] = now_ms()
        if self.is_lost:
            self.is_lost = False
            log.info("store_back", extra={"caller": caller})
        self._state.replicas.on_store_recovered(now_ms())


_ANSWERED = frozenset({StoreErrorKind.HISTORY_LOST, StoreErrorKind.LEASE_ENDED})
"""Failures that show a store that answers."""


class StoreTask:
    """Repeats a task whenever the store fails it."""

    name = ""

    def __init__(self, store: PlatformStore, health: StoreHealth) -> None:
        self.is_over = False
        self._store = store
        self._health = health
        self._jitter = random.Random()

    async def run(self) -> None:
        """Follow until cancelled, or until there is nothing left to follow."""
        while not self.is_over:
            try:
                await self._follow()
            except StoreError as error:
                if error.kind in _ANSWERED:
                    # The store is well; what was known of it is not.
                    log.info(
                        "store_followed_anew",
                        extra={"caller": self.name, "reason": str(error)},
                    )
                    continue
                self._health.failed(self.name, error)
                await trio.sleep(self._jitter.uniform(RETRY_S_MIN, RETRY_S_MAX))

    async def _follow(self) -> None:
        raise NotImplementedError
