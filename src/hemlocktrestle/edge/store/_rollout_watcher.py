"""Watches the operator's orders to move services to other versions."""

import logging
from collections.abc import Callable

import trio

from hemlocktrestle.edge.rollouts._rollouts import Rollouts
from hemlocktrestle.edge.store._store_task import StoreHealth, StoreTask
from hemlocktrestle.errors import RequestError
from hemlocktrestle.platform import ORDERS_PREFIX, Item, PlatformStore, decode_order
from hemlocktrestle.timers import sleep_until_multiple

log = logging.getLogger(__name__)

WAIT_MS = 5_000
"""Longest wait of one watch, in milliseconds: its answer shows that it works."""

GRACE_S = 1.0
"""Time by which its answer may be late, in seconds."""

ROLE_CHECK_S = 0.5
"""Time between checks whether this VM has to watch, in seconds."""


class RolloutWatcher(StoreTask):
    """Reads the orders while this VM schedules its region's pools.

    Another VM reads them once for each new version that nobody has explained to it:
    it places requests itself, or takes the role, while the store may be away.

    Args:
        rollouts: the orders that this VM knows.
        store: the platform's store.
        health: records whether the store answers.
        is_watching: tells whether this VM has to watch.
    """

    name = "rollouts"

    def __init__(
        self,
        rollouts: Rollouts,
        store: PlatformStore,
        health: StoreHealth,
        *,
        is_watching: Callable[[], bool],
    ) -> None:
        super().__init__(store, health)
        self._rollouts = rollouts
        self._is_watching = is_watching

    async def _run_until_error(self) -> None:
        while not (self._is_watching() or self._rollouts.has_unexplained):
            await sleep_until_multiple(ROLE_CHECK_S)
        page = await self._store.list(ORDERS_PREFIX)
        self._apply(page.items, era=page.revision.era)
        # What the store holds may be older than before: records are read again.
        self._rollouts.read_count += 1
        revision = page.revision
        while self._is_watching():
            watched = await self._store.watch(
                ORDERS_PREFIX,
                after=revision.number,
                wait_ms=WAIT_MS,
                timeout_s=GRACE_S,
            )
            revision = watched.revision
            self._apply(
                tuple(found for found in watched.events if isinstance(found, Item)),
                era=revision.era,
            )
            await trio.lowlevel.checkpoint()

    def _apply(self, items: tuple[Item, ...], *, era: int) -> None:
        self._record_answer(era)
        for item in items:
            try:
                order = decode_order(item.value, source=item.key)
            except RequestError as error:
                log.error(
                    "rollout_order_refused",
                    extra={"reason": error.message, **item.revision.log_fields()},
                )
                continue
            self._rollouts.take_order(order)
        self._rollouts.on_orders_confirmed()
