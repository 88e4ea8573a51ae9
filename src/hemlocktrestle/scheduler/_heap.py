"""A heap with lazy deletion: stale entries are dropped when they reach the top."""

import heapq
from collections.abc import Callable
from typing import Generic, TypeVar

STALE_COUNT_SLACK = 64
"""Stale entries allowed beyond the number of valid ones before a clean-up."""

_Entry = TypeVar("_Entry", bound=tuple[object, ...])


class LazyHeap(Generic[_Entry]):
    """Finds the least valid entry, in amortized O(log n) an operation.

    Stale entries are dropped from the top when it is read, and everywhere once
    they outnumber the valid ones, so that memory is proportional to the latter.

    Args:
        is_valid: tells whether an entry is still valid.
    """

    __slots__ = ("_cleanup_count", "_entries", "_is_valid")

    def __init__(self, is_valid: Callable[[_Entry], bool]) -> None:
        self._is_valid = is_valid
        self._entries: list[_Entry] = []
        self._cleanup_count = STALE_COUNT_SLACK

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: _Entry) -> None:
        """Add an entry."""
        heapq.heappush(self._entries, entry)
        if len(self._entries) > self._cleanup_count:
            self._entries = [
                entry for entry in set(self._entries) if self._is_valid(entry)
            ]
            heapq.heapify(self._entries)
            self._cleanup_count = 2 * len(self._entries) + STALE_COUNT_SLACK

    def peek(self) -> _Entry | None:
        """Return the least valid entry, or ``None``."""
        while self._entries:
            entry = self._entries[0]
            if self._is_valid(entry):
                return entry
            heapq.heappop(self._entries)
        return None

    def pop(self) -> _Entry | None:
        """Remove and return the least valid entry, or return ``None``."""
        entry = self.peek()
        if entry is not None:
            heapq.heappop(self._entries)
        return entry
