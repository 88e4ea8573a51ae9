"""What replicas said in answers about taking work, beside what they registered.

A registration lags, and the scheduler that chooses a replica may not know yet, so
this VM's own knowledge decides before each request is sent.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hemlocktrestle.edge._placement import Placement
from hemlocktrestle.gateway import (
    AnswerMetadata,
    Incarnation,
    LeavingIncarnations,
    ReplicaRecord,
    ReplicaRegistry,
)
from hemlocktrestle.wire import LeavingReplica

log = logging.getLogger(__name__)

SHARED_COUNT_MAX = 256
"""Most leaving replicas that one heartbeat names; about 10 KB."""


class Obstacle(NamedTuple):
    """Why no request may be sent to a replica, and for how long this is known."""

    reason: str
    age_ms: float


class ReplicaNotices:
    """Notices of replicas, by incarnation.

    Args:
        registry: the replicas that are considered live.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self, registry: ReplicaRegistry, *, now_ms: Callable[[], float]
    ) -> None:
        self._registry = registry
        self._now_ms = now_ms
        self.leaving = LeavingIncarnations()
        self.on_learned: Callable[[str], None] = lambda source: None
        """Called with the VM that told, or an empty string, when a replica leaves."""

    def on_answer(
        self, placement: Placement, status: int, metadata: AnswerMetadata
    ) -> None:
        """Record what the head of a replica's answer says about the replica."""
        if metadata.is_leaving:
            incarnation = Incarnation(placement.replica_id, placement.born_ms)
            self._record_leaving(
                incarnation, request_id=metadata.request_id, status=status
            )

    def on_news(self, vm: str, replicas: Iterable[LeavingReplica]) -> None:
        """Record the replicas that leave as another VM knows."""
        for replica in replicas:
            self._record_leaving(Incarnation(*replica), source=vm)

    def shared(self) -> tuple[LeavingReplica, ...]:
        """Return the replicas that leave though their registration says ready."""
        return tuple(
            LeavingReplica(record.replica_id, record.born_ms)
            for record in self._held_back()[:SHARED_COUNT_MAX]
        )

    def unusable_ids(self, service: str) -> frozenset[str]:
        """Return a service's registered replicas that no request may be sent to."""
        return frozenset(
            record.replica_id
            for record in self._held_back()
            if record.service == service
        )

    def is_leaving(self, record: ReplicaRecord) -> bool:
        """Tell whether a registered replica said that it leaves."""
        incarnation = Incarnation(record.replica_id, record.born_ms)
        return self.leaving.learned_ms(incarnation, self._now_ms()) is not None

    def obstacle(self, replica_id: str) -> Obstacle | None:
        """Return why no request may be sent to a replica now, or ``None``."""
        now = self._now_ms()
        learned_ms = self.leaving.learned_ms(
            self._registry.incarnation(replica_id), now
        )
        if learned_ms is None:
            return None
        return Obstacle("leaving", now - learned_ms)

    def _held_back(self) -> list[ReplicaRecord]:
        """Return the replicas that are registered as ready but said that they leave."""
        names = sorted({known.replica_id for known in self.leaving})
        records = [self._registry.find(name) for name in names]
        return [
            record
            for record in records
            if record is not None and not record.is_draining and self.is_leaving(record)
        ]

    def _record_leaving(
        self,
        incarnation: Incarnation,
        *,
        source: str = "",
        request_id: str = "",
        status: int = 0,
    ) -> None:
        listed = {
            Incarnation(record.replica_id, record.born_ms)
            for record in self._registry.replicas()
        }
        if not self.leaving.record(incarnation, listed, self._now_ms()):
            return
        record = self._registry.find(incarnation.replica_id)
        log.info(
            "replica_leaving_learned",
            extra={
                "replica": incarnation.replica_id,
                "born_ms": incarnation.born_ms,
                "source": source or "answer",
                "request": request_id,
                "status": status,
                "address": record.address if record else "",
                "is_listed": incarnation in listed,
                "is_draining": record.is_draining if record else False,
            },
        )
        self.on_learned(source)
