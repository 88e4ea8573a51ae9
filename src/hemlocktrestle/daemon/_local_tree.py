"""This VM's copy of the settings tree; its revision never decreases."""

import logging
from collections.abc import Callable

from hemlocktrestle.tree import EMPTY_TREE, Change, TreeLog, TreeState

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._tree_holder")


class LocalTree:
    """The newest settings tree known to this VM, and whether it is in force.

    Args:
        now_ms: returns the time of the process in milliseconds.
        on_advanced: called after the revision has increased.
    """

    def __init__(
        self, *, now_ms: Callable[[], float], on_advanced: Callable[[], None]
    ) -> None:
        self._now_ms = now_ms
        self._on_advanced = on_advanced
        self._confirmed_ms: float | None = None
        self.log = TreeLog()
        self.is_active = False

    @property
    def known(self) -> TreeState:
        """The newest tree that this VM has received."""
        return self.log.state

    @property
    def state(self) -> TreeState:
        """The tree in force; empty until it is known not to be outdated."""
        return self.log.state if self.is_active else EMPTY_TREE

    @property
    def age_ms(self) -> int:
        """Time since the store or a relay confirmed the tree, in milliseconds."""
        if self._confirmed_ms is None:
            return 0
        return int(self._now_ms() - self._confirmed_ms)

    def confirm(self) -> None:
        """Record that the source knows no newer tree."""
        self._confirmed_ms = self._now_ms()

    def apply_change(self, change: Change, *, source: str) -> None:
        """Apply a change if it is newer than what is known.

        Raises:
            RequestError: ``SETTINGS_INVALID`` or ``SETTINGS_CONFLICT``; the tree
                stays as it is.
        """
        if change.revision > self.known.revision:
            self.log.advance(change)
            self._on_applied(source)

    def apply_tree(self, state: TreeState, *, source: str) -> None:
        """Replace the tree if the new one is newer than what is known."""
        if state.revision > self.known.revision:
            self.log.replace(state)
            self._on_applied(source)

    def activate(self) -> None:
        """Put the tree in force: it is known not to be outdated."""
        if not self.is_active:
            self.is_active = True
            self._log_in_force("settled")

    def _on_applied(self, source: str) -> None:
        self.confirm()
        if self.is_active:
            self._log_in_force(source)
        self._on_advanced()

    def _log_in_force(self, source: str) -> None:
        log.info(
            "tree_in_force",
            extra={
                "revision": self.known.revision,
                "lineage": self.known.lineage,
                "source": source,
            },
        )
