"""Which replicas are believed to take work, and since when."""

from collections.abc import Iterable
from typing import NamedTuple

RETURN_MS = 2_200.0
"""Time after the store's return in which lapsed entries come back, in milliseconds.

The platform states about two seconds; the rest covers the way of the news.
"""


class ReplicaRecord(NamedTuple):
    """One replica as it registered itself.

    Args:
        replica_id: its id; a replica may start again under the id that it had.
        service: the service that it belongs to.
        address: where it takes requests.
        zone: its availability zone.
        slots: requests that it works on at once.
        is_draining: whether it takes no new work.
        cold_ms: how much longer it is slow after its start.
        born_ms: wall-clock time of its start, 0 if not stated.
    """

    replica_id: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool
    cold_ms: float
    born_ms: int


class ReplicaBook:
    """The replicas that are believed to live.

    What the store says counts at once, with one exception: an entry that goes
    while the store is disturbed, or soon after, may only have lapsed.  It is kept
    until the replica had time to register again.
    """

    def __init__(self) -> None:
        self._records: dict[str, ReplicaRecord] = {}
        self._revisions: dict[str, int] = {}
        self._doubted_until_ms: dict[str, float] = {}
        self._trusted_from_ms = float("-inf")
        self._is_store_lost = False
        self.changed_count = 0

    def store_lost(self) -> None:
        """Note that the store does not answer."""
        self._is_store_lost = True

    def store_returned(self, now_ms: float) -> None:
        """Note that the store answers again; entries may still be missing."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._trusted_from_ms = now_ms + RETURN_MS

    def listed(
        self, entries: Iterable[tuple[str, int, ReplicaRecord | None]], now_ms: float
    ) -> None:
        """Take in all entries: key, revision, and the record if it can be read."""
        seen = set()
        for key, revision, record in entries:
            seen.add(key)
            self.put(key, revision, record)
        for key in self._records.keys() - seen:
            self._gone(key, now_ms)

    def put(self, key: str, revision: int, record: ReplicaRecord | None) -> None:
        """Take in one entry; ``None`` is an entry that names no replica to use."""
        if revision < self._revisions.get(key, 0):
            return
        self._revisions[key] = revision
        self._doubted_until_ms.pop(key, None)
        if record is None:
            if self._records.pop(key, None) is not None:
                self.changed_count += 1
        elif self._records.get(key) != record:
            self._records[key] = record
            self.changed_count += 1

    def removed(self, key: str, revision: int, now_ms: float) -> None:
        """Take in that an entry was removed."""
        if revision < self._revisions.get(key, 0):
            return
        self._revisions[key] = revision
        if key in self._records:
            self._gone(key, now_ms)

    def settle(self, now_ms: float) -> None:
        """Drop entries whose time to come back has passed."""
        if self._is_store_lost:
            return
        due = [key for key, at in self._doubted_until_ms.items() if at <= now_ms]
        for key in due:
            del self._doubted_until_ms[key]
            self._forget(key)

    def replicas(self) -> list[ReplicaRecord]:
        """Return all replicas that are believed to live, draining ones too."""
        return list(self._records.values())

    def _gone(self, key: str, now_ms: float) -> None:
        if self._is_store_lost or now_ms < self._trusted_from_ms:
            self._doubted_until_ms.setdefault(key, max(now_ms, self._trusted_from_ms))
        else:
            self._forget(key)

    def _forget(self, key: str) -> None:
        if self._records.pop(key, None) is not None:
            self.changed_count += 1
