"""Choice of replicas from this VM's own view, without a pool scheduler.

It is the fallback while no scheduler answers; engines then queue excess requests.
"""

import random

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import (
    CONNECT_FAILURES,
    AttemptEnd,
    AttemptReport,
    Placement,
)
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import ReplicaRecord
from hemlocktrestle.locality import locality_of

AVOID_MS = 1_000.0
"""How long a replica is avoided after a failed attempt, in milliseconds."""

REMOTE_REGION_LOAD = 0.5
"""Load handicap of a replica in another region, as a share of its slots.

Replicas in another zone of the same region get a tenth of it.
"""


class LocalPlacer:
    """Sends each request to the replica with the lowest load from this VM.

    Args:
        state: shared state of the process.
        jitter: breaks ties at random, so that VMs do not all choose the same replica.
    """

    def __init__(self, state: EdgeState, *, jitter: random.Random) -> None:
        self._state = state
        self._jitter = jitter
        self._outstanding: dict[str, int] = {}
        self._avoided_until_ms: dict[str, float] = {}

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return the least loaded replica without waiting; see the protocol."""
        return self.choose(job, excluded=excluded)

    def choose(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return the least loaded replica.

        Raises:
            RequestError: of kind ``NO_UPSTREAM``.
        """
        excluded |= self._state.replica_notices.unusable_ids(job.service.name, excluded)
        candidates = self._state.rollouts.usable_locally(
            [
                record
                for record in self._state.replicas.replicas()
                if record.service == job.service.name
                and not record.is_draining
                and record.replica_id not in excluded
            ]
        )
        if not candidates:
            raise RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        chosen = min(candidates, key=self._load)
        replica_id = chosen.replica_id
        self._outstanding[replica_id] = self._outstanding.get(replica_id, 0) + 1
        settings = self._state.settings
        locality = locality_of(
            chosen.zone,
            settings.region_of_zone.get(chosen.zone, chosen.zone),
            own_zone=settings.zone,
            own_region=settings.region,
        )
        return Placement(
            "", replica_id, chosen.address, "", 0.0, locality=locality, zone=chosen.zone
        )

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Ignore the speed of a stream; this placer does not use it."""

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement; a replica that failed is avoided for a while."""
        count = self._outstanding.get(placement.replica_id, 0) - 1
        if count > 0:
            self._outstanding[placement.replica_id] = count
        else:
            self._outstanding.pop(placement.replica_id, None)
        if report.end in {*CONNECT_FAILURES, AttemptEnd.BROKEN}:
            self._avoided_until_ms[placement.replica_id] = now_ms() + AVOID_MS

    def _load(self, record: ReplicaRecord) -> tuple[bool, float]:
        settings = self._state.settings
        is_avoided = self._avoided_until_ms.get(record.replica_id, 0.0) > now_ms()
        load = self._outstanding.get(record.replica_id, 0) / record.slots
        if settings.region_of_zone.get(record.zone) != settings.region:
            load += REMOTE_REGION_LOAD
        elif record.zone != settings.zone:
            load += REMOTE_REGION_LOAD / 10
        return is_avoided, load + self._jitter.random() / 100
