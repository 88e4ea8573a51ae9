"""The platform's key-value service: compare-and-swap, leases and watches."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol


class KeyValue(NamedTuple):
    """One key with its value and the store revision of its last write."""

    key: str
    value: bytes
    mod_revision: int


class Snapshot(NamedTuple):
    """Keys and values at one store revision."""

    store_revision: int
    items: tuple[KeyValue, ...]


class Compare(NamedTuple):
    """Condition: a key's last write was at this revision; 0 for a missing key."""

    key: str
    mod_revision: int


class Put(NamedTuple):
    """A write; the value ``None`` deletes the key; ``lease_id`` 0 means no lease."""

    key: str
    value: bytes | None
    lease_id: int = 0


class TxnResult(NamedTuple):
    """Result of a transaction: whether it was applied, and the store revision.

    ``found`` has the existing compared keys if it was not applied.
    """

    is_applied: bool
    store_revision: int
    found: tuple[KeyValue, ...] = ()


class WatchBatch(NamedTuple):
    """Writes that a watch received; a deleted key has an empty value."""

    store_revision: int
    items: tuple[KeyValue, ...]


class Store(Protocol):
    """A client of the key-value service.

    Every call raises :class:`~hemlocktrestle.errors.RequestError` of kind
    ``STORE_UNAVAILABLE`` if there is no valid answer; a write may then still have
    been applied.
    """

    async def read(self, prefix: str, *, is_prefix: bool = False) -> Snapshot:
        """Read one key, or all keys with a prefix, at a single store revision."""
        ...

    async def read_page(
        self, prefix: str, *, after: str = "", limit_count: int
    ) -> Snapshot:
        """Read the first ``limit_count`` keys with a prefix, after a key, in order."""
        ...

    async def write(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TxnResult:
        """Apply all writes if all conditions hold, else read the compared keys."""
        ...

    def watch(
        self, prefix: str, *, from_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchBatch]]:
        """Watch the writes to keys with a prefix, from a store revision on."""
        ...

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        ...

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; ``False`` if it has expired."""
        ...
