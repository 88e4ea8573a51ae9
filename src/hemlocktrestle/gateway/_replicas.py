"""Which replicas are believed to take work, and since when."""

from collections.abc import Iterable
from typing import NamedTuple

STORE_RECOVERY_GRACE_MS = 2_200.0
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


class ReplicaUpdate(NamedTuple):
    """What is believed of one replica since a revision of the store.

    ``record`` is ``None`` if the replica is gone or cannot be used.
    """

    replica_id: str
    revision: int
    record: ReplicaRecord | None


class ReplicaRegistry:
    """The replicas that are believed to live.

    What the store says counts at once, with one exception: an entry that goes
    while the store is disturbed, or soon after, may only have lapsed.  It is kept
    until the replica had time to register again.
    """

    def __init__(self) -> None:
        self._facts: dict[str, ReplicaUpdate] = {}
        self._doubted: dict[str, int] = {}
        self._trusted_from_ms = float("-inf")
        self._is_store_lost = False
        self._news: list[ReplicaUpdate] = []

    def on_store_lost(self) -> None:
        """Note that the store does not answer."""
        self._is_store_lost = True

    def on_store_recovered(self, now_ms: float) -> None:
        """Note that the store answers again; entries may still be missing."""
        if self._is_store_lost:
            self._is_store_lost = False
            self._trusted_from_ms = now_ms + STORE_RECOVERY_GRACE_MS

    def apply_listing(
        self,
        entries: Iterable[ReplicaUpdate],
        *,
        revision: int,
        now_ms: float,
    ) -> None:
        """Take in all entries of the store, as of a revision or later."""
        seen = set()
        for fact in entries:
            seen.add(fact.replica_id)
            self.apply_update(fact)
        for replica_id in self._facts.keys() - seen:
            self.apply_removal(replica_id, revision, now_ms)

    def apply_update(self, fact: ReplicaUpdate) -> None:
        """Take in one fact, of the store or of another VM; older ones do not count."""
        known = self._facts.get(fact.replica_id)
        if known is not None and fact.revision <= known.revision:
            return
        self._doubted.pop(fact.replica_id, None)
        self._facts[fact.replica_id] = fact
        if known is None or known.record != fact.record:
            self._news.append(fact)

    def apply_removal(self, replica_id: str, revision: int, now_ms: float) -> None:
        """Take in that the store has no entry of a replica any more."""
        known = self._facts.get(replica_id)
        if known is None or known.record is None or revision < known.revision:
            return
        if self._is_store_lost or now_ms < self._trusted_from_ms:
            self._doubted.setdefault(replica_id, revision)
        else:
            self.apply_update(
                ReplicaUpdate(replica_id, max(revision, known.revision + 1), None)
            )

    def drop_unconfirmed(self, now_ms: float) -> None:
        """Drop entries whose time to come back has passed."""
        if self._is_store_lost or now_ms < self._trusted_from_ms:
            return
        for replica_id, revision in list(self._doubted.items()):
            del self._doubted[replica_id]
            self.apply_removal(replica_id, revision, now_ms)

    def replicas(self) -> list[ReplicaRecord]:
        """Return all replicas that are believed to live, draining ones too."""
        return [fact.record for fact in self._facts.values() if fact.record is not None]

    def all_updates(self) -> list[ReplicaUpdate]:
        """Return all that is believed, for a VM that knows less."""
        return list(self._facts.values())

    def pop_updates(self) -> list[ReplicaUpdate]:
        """Return what has changed since the last call, for the other VMs."""
        news, self._news = self._news, []
        return news
