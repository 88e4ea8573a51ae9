"""A choice of replicas from what this VM alone sees.

It serves while no keeper answers: engines then queue what is too much for them.
"""

import random

from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import ReplicaRecord

AVOID_MS = 1_000.0
"""How long a replica that could not be reached is avoided, in milliseconds."""

FAR_LOAD = 0.5
"""Load by which a replica of another region must be better than one of the own."""


class LocalPlacer:
    """Sends each request to the replica with the least outstanding work.

    Args:
        state: what the process believes.
        jitter: breaks ties, so that VMs do not all choose alike.
    """

    def __init__(self, state: EdgeState, *, jitter: random.Random) -> None:
        self._state = state
        self._jitter = jitter
        self._outstanding: dict[str, int] = {}
        self._avoided_until_ms: dict[str, float] = {}

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return the least loaded replica at once; see the protocol."""
        return self.choose(job, excluded=excluded)

    def choose(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return the least loaded replica.

        Raises:
            RequestError: of kind ``NO_UPSTREAM``.
        """
        candidates = [
            record
            for record in self._state.replicas.replicas()
            if record.service == job.service.name
            and not record.is_draining
            and record.replica_id not in excluded
        ]
        if not candidates:
            raise RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        chosen = min(candidates, key=self._load)
        replica_id = chosen.replica_id
        self._outstanding[replica_id] = self._outstanding.get(replica_id, 0) + 1
        return Placement("", replica_id, chosen.address, "", 0.0)

    def pulse(self, job: Job, place: Placement, report: AttemptReport) -> None:
        """Take in how fast a stream runs, which does not count here."""

    def release(self, job: Job, place: Placement, report: AttemptReport) -> None:
        """Give a place back."""
        count = self._outstanding.get(place.replica_id, 0) - 1
        if count > 0:
            self._outstanding[place.replica_id] = count
        else:
            self._outstanding.pop(place.replica_id, None)
        if report.end in {AttemptEnd.UNREACHABLE, AttemptEnd.BROKEN}:
            self._avoided_until_ms[place.replica_id] = now_ms() + AVOID_MS

    def _load(self, record: ReplicaRecord) -> tuple[bool, float]:
        settings = self._state.settings
        is_avoided = self._avoided_until_ms.get(record.replica_id, 0.0) > now_ms()
        load = self._outstanding.get(record.replica_id, 0) / record.slots
        if settings.region_of_zone.get(record.zone) != settings.region:
            load += FAR_LOAD
        elif record.zone != settings.zone:
            load += FAR_LOAD / 10
        return is_avoided, load + self._jitter.random() / 100
