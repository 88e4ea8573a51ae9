"""A heap whose entries lapse: one that no longer holds is dropped when met."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

SLACK_COUNT = 64
"""Entries that may have lapsed, beyond as many as hold, before a clean-up."""

_Entry = TypeVar("_Entry", bound=tuple[object, ...])


class LazyHeap(Generic[_Entry]):
    """The least entry that holds, in O(log n) an operation in the long run.

    Lapsed entries are dropped at the top when it is read, and everywhere once they
    outnumber the others, so that memory stays in proportion to what holds.

    Args:
        holds: tells whether an entry still holds.
    """

    __slots__ = ("_cleanup_count", "_entries", "_holds")

    def __init__(self, holds: Callable[[_Entry], bool]) -> None:
        self._holds = holds
        self._entries: list[_Entry] = []
        self._cleanup_count = SLACK_COUNT

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: _Entry) -> None:
        """Add an entry."""
        heapq.heappush(self._entries, entry)
        if len(self._entries) > self._cleanup_count:
            self._entries = [
                entry for entry in set(self._entries) if self._holds(entry)
            ]
            heapq.heapify(self._entries)
            self._cleanup_count = 2 * len(self._entries) + SLACK_COUNT

    def peek(self) -> _Entry | None:
        """Return the least entry that holds, or ``None``."""
        while self._entries:
            entry = self._entries[0]
            if self._holds(entry):
                return entry
            heapq.heappop(self._entries)
        return None

    def pop(self) -> _Entry | None:
        """Take out the least entry that holds, or return ``None``."""
        entry = self.peek()
        if entry is not None:
            heapq.heappop(self._entries)
        return entry
