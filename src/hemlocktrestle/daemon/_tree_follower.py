"""Follows the settings tree in the store if this VM is a relay of its zone."""

import logging
from collections.abc import Callable

import trio

from hemlocktrestle.daemon._local_tree import LocalTree
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import KeyValue, Store
from hemlocktrestle.tree import change_from_json
from hemlocktrestle.treestore import (
    CHANGES_PREFIX,
    Head,
    read_change,
    read_head,
    read_tree,
)

log = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.5
"""Pause before the store is read again, in seconds."""

ROLE_CHECK_INTERVAL_S = 0.25
"""Interval of checks whether this VM is still a relay, in seconds."""

HEAD_CHECK_INTERVAL_S = 5.0
"""Interval of checks whether the watch missed a change, in seconds."""

SINGLE_CHANGES_MAX = 256
"""Most changes that are read one by one; beyond that the whole tree is read."""

_INVALID_KINDS = frozenset({ErrorKind.SETTINGS_INVALID, ErrorKind.SETTINGS_CONFLICT})


class TreeFollower:
    """Watches the store while this VM is one of its zone's relays.

    At its start every VM reads the store once, if the store answers.

    Args:
        store: the key-value service.
        local_tree: this VM's copy of the tree, updated from the store.
        is_watcher: returns whether this VM must watch the store.
    """

    def __init__(
        self, store: Store, local_tree: LocalTree, *, is_watcher: Callable[[], bool]
    ) -> None:
        self._store = store
        self._local_tree = local_tree
        self._is_watcher = is_watcher
        self._seen_revision = 0
        self._last_end_reason = ""
        self.has_answered = False
        self.problem = ""
        self.store_revision = 0

    async def run(self) -> None:
        """Follow the store until cancelled, also through outages."""
        while True:
            if self._is_watcher() or not self.has_answered:
                try:
                    await self._follow()
                except* RequestError as errors:
                    self._log_end(errors)
            await trio.sleep(RETRY_PAUSE_S)

    async def _follow(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_when_not_relay, nursery.cancel_scope)
            nursery.start_soon(self._end_when_change_missed, nursery.cancel_scope)
            await self._read_and_watch()

    async def _read_and_watch(self) -> None:
        stored = await read_head(self._store)
        self._check_head(stored.head)
        self._seen_revision = stored.store_revision
        if not self.problem and stored.head.revision > self._local_tree.known.revision:
            await self._catch_up(stored.head)
        self.has_answered = True
        self._last_end_reason = ""
        self._local_tree.confirm()
        watch = self._store.watch(
            CHANGES_PREFIX, from_revision=stored.store_revision + 1
        )
        async with watch as batches:
            async for batch in batches:
                if batch.store_revision < self._seen_revision:
                    raise RequestError(
                        ErrorKind.STORE_UNAVAILABLE, "store came back older"
                    )
                self._seen_revision = batch.store_revision
                self._local_tree.confirm()
                for item in batch.items:
                    self._apply(item)

    async def _catch_up(self, head: Head) -> None:
        """Catch up with the store's head, change by change or by the whole tree."""
        known = self._local_tree.known
        if known.revision and head.revision - known.revision <= SINGLE_CHANGES_MAX:
            try:
                await self._apply_changes(head)
                return
            except RequestError as error:
                if error.kind not in _INVALID_KINDS:
                    raise
        if not await self._has_own_change():
            self._set_problem("forked", head)
            return
        stored = await read_tree(self._store)
        self._local_tree.apply_tree(stored.state, source="store")

    async def _apply_changes(self, head: Head) -> None:
        for revision in range(self._local_tree.known.revision + 1, head.revision + 1):
            change = await read_change(self._store, revision)
            if change is None:
                raise RequestError(ErrorKind.SETTINGS_CONFLICT, "a change is missing")
            self._local_tree.apply_change(change, source="store")

    async def _has_own_change(self) -> bool:
        """Return whether the store's history contains the change known here."""
        known = self._local_tree.known
        if not known.revision or not known.change_id:
            return True
        change = await read_change(self._store, known.revision)
        return change is None or change.change_id == known.change_id

    def _apply(self, item: KeyValue) -> None:
        if not item.value:
            return
        change = change_from_json(item.value)
        known = self._local_tree.known
        if change.revision <= known.revision:
            return
        self._local_tree.apply_change(change, source="store")
        self._check_head(Head(change.revision, change.lineage, change.change_id))

    def _check_head(self, head: Head) -> None:
        known = self._local_tree.known
        problem = ""
        if known.revision and head.revision < known.revision:
            problem = "older"
        elif known.revision and head.lineage != known.lineage:
            problem = "other_lineage"
        self._set_problem(problem, head)

    def _set_problem(self, problem: str, head: Head) -> None:
        self.store_revision = head.revision
        if problem and problem != self.problem:
            log.error(
                "store_tree_refused",
                extra={
                    "problem": problem,
                    "store_revision": head.revision,
                    "revision": self._local_tree.known.revision,
                },
            )
        self.problem = problem

    async def _end_when_not_relay(self, scope: trio.CancelScope) -> None:
        while self._is_watcher() or not self.has_answered:
            await trio.sleep(ROLE_CHECK_INTERVAL_S)
        scope.cancel()

    async def _end_when_change_missed(self, scope: trio.CancelScope) -> None:
        """End a watch that does not report what the store contains."""
        while True:
            await trio.sleep(HEAD_CHECK_INTERVAL_S)
            stored = await read_head(self._store)
            is_missed = stored.head.revision > self._local_tree.known.revision
            is_back = stored.store_revision < self._seen_revision
            if (is_missed and not self.problem) or is_back:
                scope.cancel()
                return

    def _log_end(self, errors: BaseExceptionGroup[RequestError]) -> None:
        reason = "; ".join(str(error) for error in errors.exceptions)
        if reason != self._last_end_reason:
            log.warning("tree_watch_ended", extra={"reason": reason})
        self._last_end_reason = reason
