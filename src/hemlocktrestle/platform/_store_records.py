"""What calls to the platform's store return, and how they fail."""

from enum import Enum
from typing import NamedTuple


class StoreErrorKind(Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    THROTTLED = "throttled"
    HISTORY_LOST = "history-lost"
    CONDITION_FAILED = "condition-failed"
    LEASE_ENDED = "lease-ended"
    MALFORMED = "nonsense"


class StoreError(Exception):
    """A failed call to the store.

    Args:
        kind: why it failed.
        message: text for the log.
    """

    def __init__(self, kind: StoreErrorKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


class Item(NamedTuple):
    """One key with its value and the store revision of its last change."""

    key: str
    value: bytes
    revision: int


class RemovedItem(NamedTuple):
    """A key that was removed, with the store revision of the removal."""

    key: str
    revision: int


class Page(NamedTuple):
    """All items under a prefix, and the store revision of the first page read."""

    items: tuple[Item, ...]
    revision: int


class WatchResult(NamedTuple):
    """Changes under a prefix, and the revision after which to watch next."""

    events: tuple[Item | RemovedItem, ...]
    revision: int
