"""Where a request may run, and what became of it there."""

from enum import Enum
from typing import NamedTuple, Protocol

from hemlocktrestle.edge._job import Job


class AttemptEnd(Enum):
    """How one attempt at a replica ended."""

    RELAYED = "relayed"
    NOT_RUN = "not-run"
    UNREACHABLE = "unreachable"
    REFUSED_AS_FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    ABANDONED = "abandoned"


class Placement(NamedTuple):
    """A replica that a request may be sent to, once, soon.

    Args:
        permit_id: id of the permit.
        replica_id: the replica.
        address: where it takes requests.
        granted_by: the VM that gave the permit, empty if this one chose alone.
        waited_ms: how long the request waited for it.
    """

    permit_id: str
    replica_id: str
    address: str
    granted_by: str
    waited_ms: float


class AttemptReport(NamedTuple):
    """What a holder saw of an attempt.

    Args:
        end: how it ended.
        first_ms: time to the first event or the whole answer, 0 if none came.
        total_ms: time to its end.
        event_count: events of a stream that came.
    """

    end: AttemptEnd
    first_ms: float
    total_ms: float
    event_count: int


class Placer(Protocol):
    """Chooses when and where requests run."""

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return a place for a request as soon as it is its turn.

        Args:
            job: the request.
            excluded: replicas that it must not go to.

        Raises:
            RequestError: why there is none; nothing was sent.
        """
        ...

    def pulse(self, job: Job, place: Placement, report: AttemptReport) -> None:
        """Tell early how fast a stream runs."""
        ...

    def release(self, job: Job, place: Placement, report: AttemptReport) -> None:
        """Give a place back."""
        ...
