"""What calls to the platform's store return, and how they fail."""

from enum import Enum
from typing import NamedTuple

from hemlocktrestle.gateway import StoreRevision


class StoreErrorKind(Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    THROTTLED = "throttled"
    HISTORY_LOST = "history-lost"
    CONDITION_FAILED = "condition-failed"
    LEASE_ENDED = "lease-ended"
    MALFORMED = "nonsense"
    OUTDATED = "outdated"
    RESTORED = "restored"


class StoreError(Exception):
    """A failed call to the store.

    Args:
        kind: why it failed.
        message: text for the log.
        era: era of the store that the answer states, ``None`` if there was none.
    """

    def __init__(
        self, kind: StoreErrorKind, message: str, *, era: int | None = None
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.era = era


class Lease(NamedTuple):
    """A lease; its id names another one, or none, in a later era of the store."""

    lease_id: int
    era: int


class Item(NamedTuple):
    """One key with its value and the store revision of its last change."""

    key: str
    value: bytes
    revision: StoreRevision


class RemovedItem(NamedTuple):
    """A key that was removed, with the store revision of the removal."""

    key: str
    revision: StoreRevision


class Page(NamedTuple):
    """All items under a prefix, and the store revision of the first page read."""

    items: tuple[Item, ...]
    revision: StoreRevision


class WatchResult(NamedTuple):
    """Changes under a prefix, and the revision after which to watch next."""

    events: tuple[Item | RemovedItem, ...]
    revision: StoreRevision
