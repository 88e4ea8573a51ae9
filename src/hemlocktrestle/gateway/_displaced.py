"""Replicas whose address is taken by another replica, though they are registered.

A replica that crashes stays registered until its entry expires.  Another one may
start at its address before, and refuses what names the first one.
"""

import math
from collections.abc import Callable, Iterator
from typing import NamedTuple

from hemlocktrestle.gateway._replicas import ReplicaRecord

DISPLACED_KEPT_MS = 10_000.0
"""Time after which a displaced replica is tried again, in milliseconds.

By then the entry of a replica that has ended has usually expired.  While the store is
away, one request finds out again.
"""


class _Mark(NamedTuple):
    record: ReplicaRecord
    learned_ms: float


class DisplacedReplicas:
    """The registered replicas that are no longer at their addresses.

    A mark belongs to a registration: one that changes, or returns, is not marked.

    Args:
        find: returns the registration in force of an id, ``None`` if there is none.
    """

    def __init__(self, find: Callable[[str], ReplicaRecord | None]) -> None:
        self._find = find
        self._marks: dict[str, _Mark] = {}
        self._forgot_ms = -math.inf

    def __iter__(self) -> Iterator[str]:
        return iter(self._marks)

    def record(
        self, replica_id: str, address: str, now_ms: float, *, is_witness: bool
    ) -> bool:
        """Record that a replica is not at an address.

        Args:
            replica_id: the replica that was expected there.
            address: where another replica answered.
            now_ms: the time of the process in milliseconds.
            is_witness: whether this VM got that answer; what it hears from others
                does not extend a mark, or VMs would keep one another's alive.

        Returns:
            Whether the replica was not marked.
        """
        record = self._find(replica_id)
        if record is None or record.address != address:
            return False
        mark = self._marks.get(replica_id)
        if mark is not None and mark.record == record:
            is_expired = now_ms - mark.learned_ms >= DISPLACED_KEPT_MS
            if not (is_witness and is_expired):
                return False
        self._marks[replica_id] = _Mark(record, now_ms)
        return True

    def learned_ms(self, replica_id: str, now_ms: float) -> float | None:
        """Return when a registered replica was marked, ``None`` if it is not."""
        mark = self._marks.get(replica_id)
        if mark is None or now_ms - mark.learned_ms >= DISPLACED_KEPT_MS:
            return None
        return mark.learned_ms if self._find(replica_id) == mark.record else None

    def forget(self, now_ms: float) -> bool:
        """Forget the marks of registrations that have changed or are gone.

        Returns:
            Whether a mark has expired since the last call: its replica may be tried.
        """
        before_ms, self._forgot_ms = self._forgot_ms, now_ms
        for replica_id, mark in list(self._marks.items()):
            if self._find(replica_id) != mark.record:
                del self._marks[replica_id]
        return any(
            before_ms < mark.learned_ms + DISPLACED_KEPT_MS <= now_ms
            for mark in self._marks.values()
        )
