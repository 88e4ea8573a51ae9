"""Checks each placement against what was learned while the request waited for it."""

from collections.abc import Callable
from contextlib import ExitStack

from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import (
    AttemptEnd,
    AttemptReport,
    Placement,
    Placer,
)


class QuarantinePlacer:
    """Releases the placement of a request that was quarantined while it waited.

    Args:
        placer: chooses the replicas.
        check: raises a ``RequestError`` for a quarantined request.
        part_gate: lets requests with parts in doubt through one at a time.
    """

    def __init__(
        self, placer: Placer, *, check: Callable[[Job], None], part_gate: PartGate
    ) -> None:
        self._placer = placer
        self._check = check
        self._part_gate = part_gate

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return a placement of a request that may be sent; see the protocol."""
        trials = self._part_gate.trials
        await trials.begin(job)
        with ExitStack() as undo:
            undo.callback(trials.end_attempt, job.metadata.request_id)
            placement = await self._placer.obtain(job, excluded=excluded)
            unsent = AttemptReport(AttemptEnd.UNUSED, 0.0, 0.0, 0)
            undo.callback(self._placer.release, job, placement, unsent)
            self._check(job)
            undo.pop_all()
        return placement

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Report the speed of a stream while it runs, which acquits its parts."""
        self._part_gate.acquit(job)
        self._placer.report_speed(job, placement, report)

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement after its attempt has ended.

        If the replica closed the connection, its probe ends a trial.
        """
        if report.end is not AttemptEnd.BROKEN:
            self._part_gate.trials.end_attempt(job.metadata.request_id)
        self._placer.release(job, placement, report)
