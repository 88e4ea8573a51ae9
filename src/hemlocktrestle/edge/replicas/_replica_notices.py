"""What replicas said in answers about taking work, and what they registered.

A registration lags, and the scheduler that chooses a replica may know neither yet, so
this VM's own knowledge decides before each request is sent.
"""

import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple

from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import Placement
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    AnswerMetadata,
    DisplacedReplicas,
    Incarnation,
    KeptKey,
    LeavingIncarnations,
    Pause,
    ReplicaPauses,
    ReplicaRecord,
    ReplicaRegistry,
    bounded_pause_ms,
)
from hemlocktrestle.wire import LeavingReplica

log = logging.getLogger(__name__)

SHARED_COUNT_MAX = 256
"""Most leaving replicas that one heartbeat names; about 10 KB."""


PAUSE_STATUS = 503
"""Status of a refusal that may ask for a pause."""

MISDIRECTED_STATUS = 421
"""Status with which another replica refuses what names the one before it."""


class Obstacle(NamedTuple):
    """Why no request may be sent to a replica.

    Args:
        reason: ``draining``, ``gone`` or ``moved`` as registered, ``leaving`` or
            ``paused`` as it said itself, ``displaced`` as another replica at its
            address said, or ``returning`` after a pause.
        age_ms: for how long this is known, 0 if it was registered.
        left_ms: how long a pause lasts, ``None`` for a replica that leaves.
    """

    reason: str
    age_ms: float
    left_ms: float | None = None


class ReplicaNotices:
    """Notices of replicas, by incarnation.

    Args:
        registry: the replicas that are considered live.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        *,
        now_ms: Callable[[], float],
    ) -> None:
        self._registry = registry
        self._now_ms = now_ms
        self.leaving = LeavingIncarnations()
        self.pauses = ReplicaPauses()
        self.displaced = DisplacedReplicas(registry.find)
        self.on_learned: Callable[[str], None] = lambda source: None
        """Called with the VM that told, or an empty string, when a replica leaves.

        Also when it turns out to be gone.
        """

    def on_answer(
        self, placement: Placement, status: int, metadata: AnswerMetadata
    ) -> None:
        """Record what the head of a replica's answer says about the replica."""
        if metadata.is_leaving:
            incarnation = Incarnation(placement.replica_id, placement.born_ms)
            self._record_leaving(
                incarnation, request_id=metadata.request_id, status=status
            )
        if status == MISDIRECTED_STATUS and metadata.replica_id not in {
            "",
            placement.replica_id,
        }:
            self._record_displaced(
                placement.replica_id,
                placement.address,
                successor=metadata.replica_id,
                request_id=metadata.request_id,
            )
        if status == PAUSE_STATUS and metadata.pause_ms is not None:
            self._record_pause(placement, metadata.pause_ms, metadata.request_id)

    def on_news(self, vm: str, replicas: Iterable[LeavingReplica]) -> None:
        """Record the replicas that leave or are gone as another VM knows."""
        for replica_id, born_ms, left_address in replicas:
            if not left_address:
                self._record_leaving(Incarnation(replica_id, born_ms), source=vm)
            elif self._registry.incarnation(replica_id).born_ms == born_ms:
                self._record_displaced(replica_id, left_address, source=vm)

    def shared(self) -> tuple[LeavingReplica, ...]:
        """Return the replicas that leave or are gone, but are registered as ready."""
        leaving = [
            LeavingReplica(record.replica_id, record.born_ms)
            for record in self._leaving_records()
        ]
        gone = [
            LeavingReplica(record.replica_id, record.born_ms, record.address)
            for record in self._displaced_records()
        ]
        return tuple([*leaving, *gone][:SHARED_COUNT_MAX])

    def unusable_ids(self, service: str, excluded: frozenset[str]) -> frozenset[str]:
        """Return a service's registered replicas that no request may be sent to.

        Those that drain are among them: whoever chooses may not know yet.

        Args:
            service: name of the service.
            excluded: replicas that the request must not be sent to anyway.
        """
        draining = {
            record.replica_id
            for record in self._registry.replicas()
            if record.service == service and record.is_draining
        }
        return frozenset(draining.union(self._obstacles(service, excluded)))

    def explain(self, job: Job, error: RequestError) -> None:
        """Let a refusal state when the first replica returns, if all of them pause."""
        if error.kind is not ErrorKind.NO_UPSTREAM or not self.pauses:
            return
        service = job.service.name
        obstacles = self._obstacles(service)
        left_ms = [found.left_ms for found in obstacles.values() if found.left_ms]
        if not left_ms or not obstacles.keys() >= self._ready_names(service):
            return
        error.retry_after_ms = min(left_ms)
        log.info(
            "request_finds_all_paused",
            extra={
                "request": job.metadata.request_id,
                "service": service,
                "left_ms": round(min(left_ms)),
                "obstacles": {name: found[0] for name, found in obstacles.items()},
            },
        )

    def is_leaving(self, record: ReplicaRecord) -> bool:
        """Tell whether a registered replica said that it leaves, or is gone."""
        incarnation = Incarnation(record.replica_id, record.born_ms)
        now = self._now_ms()
        return (
            self.leaving.learned_ms(incarnation, now) is not None
            or self.displaced.learned_ms(record.replica_id, now) is not None
        )

    def forget_displaced(self) -> bool:
        """Forget outdated marks; return whether a replica is to be tried again."""
        return self.displaced.forget(self._now_ms())

    def obstacle(
        self, placement: Placement, service: str, excluded: frozenset[str]
    ) -> Obstacle | None:
        """Return why no request may be sent to a chosen replica now, or ``None``.

        A replica that returns after a pause takes more if no other one does.
        """
        replica_id = placement.replica_id
        departure = self._registry.departure(replica_id, placement.address)
        if departure:
            return Obstacle(departure, 0.0)
        found = self._lasting_obstacle(replica_id)
        if found is None and self._returning(replica_id) is not None:
            found = self._obstacles(service, excluded).get(replica_id)
        return found

    def is_usable(self, key: KeptKey) -> bool:
        """Tell whether a replica still runs, as connected to, and takes requests."""
        incarnation = self._registry.incarnation(key.replica_id)
        return (
            self._registry.find(key.replica_id) is not None
            and incarnation.born_ms == key.born_ms
            and not self._registry.departure(key.replica_id, key.address)
            and self._lasting_obstacle(key.replica_id) is None
        )

    def start_attempt(self, placement: Placement) -> Placement:
        """Return a placement that is about to be used, with what it is sent to."""
        incarnation = self._registry.incarnation(placement.replica_id)
        round_id = self.pauses.record_sent(incarnation, self._now_ms())
        return placement._replace(born_ms=incarnation.born_ms, round_id=round_id)

    def paused_count(self) -> int:
        """Return how many replicas pause now."""
        now = self._now_ms()
        found = (self._pause(name) for name in self.pauses.names())
        return sum(pause is not None and pause.is_paused(now) for pause in found)

    def _pause(self, replica_id: str) -> Pause | None:
        incarnation = self._registry.incarnation(replica_id)
        return self.pauses.find(incarnation, self._now_ms())

    def _lasting_obstacle(self, replica_id: str) -> Obstacle | None:
        now = self._now_ms()
        incarnation = self._registry.incarnation(replica_id)
        learned_ms = self.leaving.learned_ms(incarnation, now)
        if learned_ms is not None:
            return Obstacle("leaving", now - learned_ms)
        learned_ms = self.displaced.learned_ms(replica_id, now)
        if learned_ms is not None:
            return Obstacle("displaced", now - learned_ms)
        pause = self._pause(replica_id)
        if pause is not None and pause.is_paused(now):
            left_ms = pause.until_ms - now
            return Obstacle("paused", now - pause.learned_ms, left_ms)
        return None

    def _returning(self, replica_id: str) -> Obstacle | None:
        """Return the obstacle of a replica that has got enough after its pause."""
        pause = self._pause(replica_id)
        if pause is None or not pause.is_full:
            return None
        return Obstacle("returning", self._now_ms() - pause.learned_ms)

    def _obstacles(
        self, service: str, excluded: frozenset[str] = frozenset()
    ) -> dict[str, Obstacle]:
        """Return the obstacles of a service's registered replicas, by id."""
        noticed = {known.replica_id for known in self.leaving}
        noticed.update(self.pauses.names())
        noticed.update(self.displaced)
        lasting: dict[str, Obstacle] = {}
        returning: dict[str, Obstacle] = {}
        for name in sorted(noticed):
            record = self._registry.find(name)
            if record is None or record.service != service or record.is_draining:
                continue
            if (obstacle := self._lasting_obstacle(name)) is not None:
                lasting[name] = obstacle
            elif (obstacle := self._returning(name)) is not None:
                returning[name] = obstacle
        found = lasting | returning
        closed = excluded.union(found)
        if returning and closed.issuperset(self._ready_names(service)):
            return lasting
        return found

    def _ready_names(self, service: str) -> set[str]:
        return {
            record.replica_id
            for record in self._registry.replicas()
            if record.service == service and not record.is_draining
        }

    def _leaving_records(self) -> list[ReplicaRecord]:
        """Return the replicas that are registered as ready but said that they leave."""
        names = sorted({known.replica_id for known in self.leaving})
        records = [self._registry.find(name) for name in names]
        return [
            record
            for record in records
            if record is not None and not record.is_draining and self.is_leaving(record)
        ]

    def _displaced_records(self) -> list[ReplicaRecord]:
        """Return the replicas that are registered as ready but are gone."""
        now = self._now_ms()
        records = [
            self._registry.find(name)
            for name in self.displaced
            if self.displaced.learned_ms(name, now) is not None
        ]
        return [
            record
            for record in records
            if record is not None and not record.is_draining
        ]

    def _is_listed(self, incarnation: Incarnation) -> bool:
        record = self._registry.find(incarnation.replica_id)
        return record is not None and record.born_ms == incarnation.born_ms

    def _record_leaving(
        self,
        incarnation: Incarnation,
        *,
        source: str = "",
        request_id: str = "",
        status: int = 0,
    ) -> None:
        if not self.leaving.record(incarnation, self._is_listed, self._now_ms()):
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
                "is_listed": self._is_listed(incarnation),
                "is_draining": record.is_draining if record else False,
            },
        )
        self.on_learned(source)

    def _record_displaced(
        self,
        replica_id: str,
        address: str,
        *,
        successor: str = "",
        request_id: str = "",
        source: str = "",
    ) -> None:
        """Record that another replica answers at the address of a registered one."""
        if not self.displaced.record(
            replica_id, address, self._now_ms(), is_witness=not source
        ):
            return
        log.info(
            "replica_displaced",
            extra={
                "replica": replica_id,
                "address": address,
                "successor": successor,
                "source": source or "answer",
                "request": request_id,
            },
        )
        self.on_learned(source)

    def _record_pause(
        self, placement: Placement, stated_ms: float, request_id: str
    ) -> None:
        pause_ms = bounded_pause_ms(stated_ms)
        incarnation = Incarnation(placement.replica_id, placement.born_ms)
        extra = {
            "replica": placement.replica_id,
            "born_ms": placement.born_ms,
            "address": placement.address,
            "request": request_id,
            "pause_ms": round(pause_ms),
        }
        if pause_ms != stated_ms:
            log.warning(
                "replica_pause_bounded", extra={**extra, "stated_ms": str(stated_ms)}
            )
        if not pause_ms:
            return
        now = self._now_ms()
        pause = self.pauses.record(incarnation, pause_ms, now)
        left_ms = round(pause.until_ms - now)
        log.info("replica_pause_learned", extra={**extra, "left_ms": left_ms})
