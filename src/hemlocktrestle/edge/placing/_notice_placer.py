"""Checks each placement against what this VM knows of its replica."""

import logging

from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.attempts._attempt import SPEED_REPORT_EVENTS
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import (
    AttemptEnd,
    AttemptReport,
    Placement,
    Placer,
)
from hemlocktrestle.edge.replicas._replica_notices import Obstacle
from hemlocktrestle.errors import ErrorKind, RequestError

log = logging.getLogger(__name__)

_ANSWERED_ENDS = frozenset({AttemptEnd.RELAYED, AttemptEnd.ABANDONED})
"""Ends with which the replica has succeeded if a part of its answer came.

A caller may leave as soon as it has the answer.
"""

_VERSION_OBSTACLE = Obstacle("version", 0.0)
"""The replica's version may get nothing more, or nothing without a permit."""

HELD_BACK_MAX = 8
"""Placements that are held back for one attempt before the request is refused.

Each is released and asked for again, without the replica; more of them mean that
the scheduler grants what it was asked not to grant.
"""


class NoticePlacer:
    """Holds back placements on replicas that want no work, whoever chose them.

    A placement that is held back was not sent: it counts neither as an attempt nor
    against the retry budget.

    Args:
        state: shared state of the process.
        placer: chooses the replicas.
    """

    def __init__(self, state: EdgeState, placer: Placer) -> None:
        self._notices = state.replica_notices
        self._rollouts = state.rollouts
        self._placer = placer

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return a placement on a replica that takes work; see the protocol."""
        for _ in range(HELD_BACK_MAX):
            try:
                placement = await self._placer.obtain(job, excluded=excluded)
            except RequestError as error:
                self._notices.explain(job, error)
                raise
            # The connection is opened without another wait in between.
            obstacle = self._notices.obstacle(placement, job.service.name, excluded)
            forbidden = self._rollouts.forbidden_ids(
                placement.replica_id, has_permit=bool(placement.permit_id)
            )
            if obstacle is None and not forbidden:
                self._rollouts.on_attempt_started(placement.replica_id)
                return self._notices.start_attempt(placement)
            self._hold_back(job, placement, obstacle or _VERSION_OBSTACLE)
            excluded |= forbidden | {placement.replica_id}
        raise RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Report the speed of a stream while it runs."""
        self._notices.pauses.record_success(placement.replica_id, placement.round_id)
        self._placer.report_speed(job, placement, report)

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement after its attempt has ended."""
        self._rollouts.on_attempt_ended(placement.replica_id)
        pauses = self._notices.pauses
        pauses.record_ended(placement.replica_id, placement.round_id)
        # The success of a longer stream was recorded with its speed.
        if (
            report.end in _ANSWERED_ENDS
            and report.first_ms
            and report.event_count < SPEED_REPORT_EVENTS
        ):
            pauses.record_success(placement.replica_id, placement.round_id)
        self._placer.release(job, placement, report)

    def _hold_back(self, job: Job, placement: Placement, obstacle: Obstacle) -> None:
        log.info(
            "request_held_back",
            extra={
                "request": job.metadata.request_id,
                "replica": placement.replica_id,
                "address": placement.address,
                "permit": placement.permit_id,
                "keeper": placement.granted_by,
                "reason": obstacle.reason,
                "known_ms": round(obstacle.age_ms),
                "left_ms": round(obstacle.left_ms or 0.0),
            },
        )
        unsent = AttemptReport(AttemptEnd.HELD_BACK, 0.0, 0.0, 0)
        self._placer.release(job, placement, unsent)
