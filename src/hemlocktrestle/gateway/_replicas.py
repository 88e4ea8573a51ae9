"""Registry of the replicas that are considered live, at revisions of the store."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.documents import (
    Id,
    IpAddress,
    Name,
    PositiveCount,
    Revision,
    SignedMilliseconds,
    Text,
)
from hemlocktrestle.gateway._leaving import BORN_UNKNOWN, Incarnation
from hemlocktrestle.gateway._store_revision import NO_ERA, StoreRevision

STORE_RECOVERY_GRACE_MS = 2_200.0
"""Time after the store's recovery in which expired entries return, in milliseconds.

The platform states about two seconds; the rest covers the propagation of updates.
"""


class ReplicaRecord(NamedTuple):
    """One replica as it registered itself.

    Args:
        replica_id: its id; a replica may restart under the same id.
        service: the service that it belongs to.
        address: where it takes requests.
        zone: its availability zone.
        slots: requests that it serves concurrently.
        is_draining: whether it takes no new work.
        cold_ms: remaining time for which it is slow after its start.
        born_ms: wall-clock time of its start, 0 if not stated.
        version: version of its software, empty if not stated.
    """

    replica_id: Id
    service: Name
    address: IpAddress
    zone: Name
    slots: PositiveCount
    is_draining: bool
    cold_ms: SignedMilliseconds
    born_ms: Revision
    version: Text = ""


class ReplicaUpdate(NamedTuple):
    """The state of one replica at a revision of the store.

    ``record`` is ``None`` if the replica is gone or cannot be used.
    """

    replica_id: str
    revision: StoreRevision
    record: ReplicaRecord | None

    @property
    def is_ready(self) -> bool:
        """Whether the replica takes new work."""
        return self.record is not None and not self.record.is_draining


class ReplicaRegistry:
    """The replicas that are considered live.

    Changes in the store apply at once, with one exception: an entry that disappears
    while the store is unavailable, or soon after, may only have expired.
    It is kept until the replica had time to register again.

    After a restore of the store, the facts of the era before hold as long, whether
    the older copy lacks a replica or lists one that has left since.  Then the new era
    alone counts, except that a start which drains is not taken for ready again.
    """

    def __init__(self) -> None:
        self._updates: dict[str, ReplicaUpdate] = {}
        self._last_born_ms: dict[str, int] = {}
        self._unconfirmed: dict[str, StoreRevision] = {}
        self._held: dict[str, ReplicaUpdate] = {}
        self._era = NO_ERA
        self._settled_from_ms: float | None = None
        self._trusted_from_ms = float("-inf")
        self._is_store_lost = False
        self._pending_updates: list[ReplicaUpdate] = []

    def on_store_lost(self) -> None:
        """Defer removals, because the store does not answer."""
        self._is_store_lost = True

    def on_store_recovered(self, now_ms: float) -> None:
        """Start the grace period for entries that are missing after a failure."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._trusted_from_ms = now_ms + STORE_RECOVERY_GRACE_MS

    def begin_era(self, era: int, now_ms: float) -> int:
        """Take note that the store was restored; facts of earlier eras are refused.

        Args:
            era: the era that has begun, above the last one.
            now_ms: the time.

        Returns:
            The number of replicas that the new era has to confirm.
        """
        # Another VM may have sent facts before the store answered here.
        is_first = self._era == NO_ERA and all(
            update.revision.era == era for update in self._updates.values()
        )
        self._era = era
        if is_first:
            return 0
        # What was missing or held in an era that is over is read again.
        self._unconfirmed.clear()
        self._held.clear()
        self._settled_from_ms = now_ms + STORE_RECOVERY_GRACE_MS
        self._trusted_from_ms = max(self._trusted_from_ms, self._settled_from_ms)
        return len(self.replicas())

    def apply_listing(
        self,
        entries: Iterable[ReplicaUpdate],
        *,
        revision: StoreRevision,
        now_ms: float,
    ) -> None:
        """Apply a full listing of the store, read at a revision or later."""
        if revision.era < self._era:
            return
        seen = set()
        for update in entries:
            seen.add(update.replica_id)
            self.apply_update(update)
        for replica_id in self._updates.keys() - seen:
            self.apply_removal(replica_id, revision, now_ms)

    def apply_update(self, update: ReplicaUpdate) -> None:
        """Apply an update of the store or of another VM, unless it is older."""
        known = self._updates.get(update.replica_id)
        if update.revision.era < self._era:
            return
        if known is not None and update.revision <= known.revision:
            return
        if known is not None and self._has_to_wait(update, known):
            self._held[update.replica_id] = update
            return
        if known is not None and known.revision.era < update.revision.era:
            update = _still_draining(update, known)
        self._held.pop(update.replica_id, None)
        self._unconfirmed.pop(update.replica_id, None)
        self._updates[update.replica_id] = update
        if update.record is not None:
            self._last_born_ms[update.replica_id] = update.record.born_ms
        if known is None or known.record != update.record:
            self._pending_updates.append(update)

    def apply_removal(
        self, replica_id: str, revision: StoreRevision, now_ms: float
    ) -> None:
        """Apply the removal of a replica's entry from the store."""
        known = self._updates.get(replica_id)
        if known is None or revision.era < self._era or revision < known.revision:
            return
        self._held.pop(replica_id, None)
        if known.record is None:
            self._updates[replica_id] = known._replace(revision=revision)
            return
        if self._is_store_lost or now_ms < self._trusted_from_ms:
            self._unconfirmed.setdefault(replica_id, revision)
        else:
            self.apply_update(
                ReplicaUpdate(replica_id, max(revision, known.revision.next()), None)
            )

    def drop_unconfirmed(self, now_ms: float) -> None:
        """Remove the missing entries once their grace period is over.

        What the store has listed against earlier facts is applied then, too.
        """
        if self._settled_from_ms is not None and now_ms >= self._settled_from_ms:
            self._settled_from_ms = None
            held, self._held = self._held, {}
            for update in held.values():
                self.apply_update(update)
        if self._is_store_lost or now_ms < self._trusted_from_ms:
            return
        for replica_id, revision in list(self._unconfirmed.items()):
            del self._unconfirmed[replica_id]
            self.apply_removal(replica_id, revision, now_ms)

    def _has_to_wait(self, update: ReplicaUpdate, known: ReplicaUpdate) -> bool:
        """Tell whether the store's older copy may list what has changed since.

        That is so for a replica that is known to leave, or to have started later;
        what was written since the copy is written again.
        """
        is_unsettled = (
            self._settled_from_ms is not None
            and known.revision.era < update.revision.era
        )
        if not is_unsettled or update.record is None:
            return False
        last_born_ms = self._last_born_ms.get(update.replica_id, BORN_UNKNOWN)
        if known.is_ready:
            return update.record.born_ms < last_born_ms
        return update.is_ready and update.record.born_ms <= last_born_ms

    def replicas(self) -> list[ReplicaRecord]:
        """Return all replicas that are considered live, including draining ones."""
        return [
            update.record
            for update in self._updates.values()
            if update.record is not None
        ]

    def find(self, replica_id: str) -> ReplicaRecord | None:
        """Return the live replica with an id, or ``None``."""
        update = self._updates.get(replica_id)
        return update.record if update is not None else None

    def departure(self, replica_id: str, address: str) -> str:
        """Return why a replica takes no requests at an address, or an empty string.

        One that has never registered here may be too new to be known.
        """
        update = self._updates.get(replica_id)
        if update is None:
            return ""
        if update.record is None:
            return "gone"
        if update.record.is_draining:
            return "draining"
        return "moved" if update.record.address != address else ""

    def incarnation(self, replica_id: str) -> Incarnation:
        """Return the last known incarnation of an id, also of one that is gone."""
        born_ms = self._last_born_ms.get(replica_id, BORN_UNKNOWN)
        return Incarnation(replica_id, born_ms)

    def all_updates(self) -> list[ReplicaUpdate]:
        """Return the latest update of every replica, for a newly connected VM."""
        return list(self._updates.values())

    def pop_updates(self) -> list[ReplicaUpdate]:
        """Return the updates since the last call, to forward to the other VMs."""
        updates, self._pending_updates = self._pending_updates, []
        return updates


def _still_draining(update: ReplicaUpdate, known: ReplicaUpdate) -> ReplicaUpdate:
    """Return an update as draining if the same start was draining before.

    A start that drains only ends after it, however old the store's copy is.
    """
    record, before = update.record, known.record
    if record is None or before is None or not before.is_draining:
        return update
    if record.born_ms == BORN_UNKNOWN or record.born_ms != before.born_ms:
        return update
    return update._replace(record=record._replace(is_draining=True))
