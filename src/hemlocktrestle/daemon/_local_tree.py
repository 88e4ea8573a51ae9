"""Owns the tree of settings in force on this VM; its revision never falls."""

import logging
from collections.abc import Callable

from hemlocktrestle.tree import EMPTY_TREE, Change, TreeLog, TreeState

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._tree_holder")


class LocalTree:
    """The tree, as far as this VM knows it, and whether it may be served under.

    Args:
        now_ms: returns the time of the process in milliseconds.
        advanced: called when the revision has risen.
    """

    def __init__(
        self, *, now_ms: Callable[[], float], advanced: Callable[[], None]
    ) -> None:
        self._now_ms = now_ms
        self._advanced = advanced
        self._confirmed_ms: float | None = None
        self.log = TreeLog()
        self.is_settled = False

    @property
    def known(self) -> TreeState:
        """The newest tree that reached this VM."""
        return self.log.state

    @property
    def state(self) -> TreeState:
        """The tree in force; empty until it is known not to be an older one."""
        return self.log.state if self.is_settled else EMPTY_TREE

    @property
    def age_ms(self) -> int:
        """Time since the store or a relay confirmed the tree, in milliseconds."""
        if self._confirmed_ms is None:
            return 0
        return int(self._now_ms() - self._confirmed_ms)

    def confirm(self) -> None:
        """Note that nothing newer is known at the source."""
        self._confirmed_ms = self._now_ms()

    def take_change(self, change: Change, *, source: str) -> None:
        """Apply a change if it is newer than what is known.

        Raises:
            RequestError: ``SETTINGS_INVALID`` or ``SETTINGS_CONFLICT``; the tree
                stays as it is.
        """
        if change.revision > self.known.revision:
            self.log.advance(change)
            self._tell(source)

    def take_tree(self, state: TreeState, *, source: str) -> None:
        """Take a whole tree if it is newer than what is known."""
        if state.revision > self.known.revision:
            self.log.replace(state)
            self._tell(source)

    def settle(self) -> None:
        """Put the tree in force: it is known not to be an older one."""
        if not self.is_settled:
            self.is_settled = True
            self._log_in_force("settled")

    def _tell(self, source: str) -> None:
        self.confirm()
        if self.is_settled:
            self._log_in_force(source)
        self._advanced()

    def _log_in_force(self, source: str) -> None:
        log.info(
            "tree_in_force",
            extra={
                "revision": self.known.revision,
                "lineage": self.known.lineage,
                "source": source,
            },
        )
