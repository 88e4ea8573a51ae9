"""Checks each placement against what was learned while the request waited for it."""

from collections.abc import Callable

from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import AttemptEnd, AttemptReport, Placement, Placer
from hemlocktrestle.errors import RequestError


class QuarantinePlacer:
    """Releases the placement of a request that was quarantined while it waited.

    Args:
        placer: chooses the replicas.
        check: raises a ``RequestError`` for a quarantined request.
    """

    def __init__(self, placer: Placer, *, check: Callable[[Job], None]) -> None:
        self._placer = placer
        self._check = check

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return a placement of a request that may be sent; see the protocol."""
        placement = await self._placer.obtain(job, excluded=excluded)
        try:
            self._check(job)
        except RequestError:
            unsent = AttemptReport(AttemptEnd.UNUSED, 0.0, 0.0, 0)
            self._placer.release(job, placement, unsent)
            raise
        return placement

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Report the speed of a stream while it runs."""
        self._placer.report_speed(job, placement, report)

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement after its attempt has ended."""
        self._placer.release(job, placement, report)
