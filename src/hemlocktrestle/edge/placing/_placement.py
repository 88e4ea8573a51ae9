"""Placements of requests on replicas, and reports of the attempts there."""

from enum import Enum
from typing import NamedTuple, Protocol

from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.gateway import BORN_UNKNOWN
from hemlocktrestle.locality import Locality


class AttemptEnd(Enum):
    """How one attempt at a replica ended."""

    RELAYED = "relayed"
    NOT_RUN = "not-run"
    UNREACHABLE = "unreachable"
    CONNECT_TIMEOUT = "connect-timeout"
    FAILED = "failed"
    BROKEN = "broken"
    SILENT = "silent"
    ABANDONED = "abandoned"
    UNUSED = "unused"
    HELD_BACK = "held-back"


class Placement(NamedTuple):
    """The replica chosen for one attempt, with its permit.

    Args:
        permit_id: id of the permit, empty if this VM chose without one.
        replica_id: the replica.
        address: where it takes requests.
        granted_by: the VM that granted the permit, empty if there is none.
        waited_ms: how long the request waited for the permit.
        born_ms: start of the replica, as this VM knew it when it was chosen.
        round_id: the pause of the replica after which this is sent, 0 for none.
        locality: how far the replica is, ``None`` if that is not known.
        zone: its zone, empty if that is not known.
    """

    permit_id: str
    replica_id: str
    address: str
    granted_by: str
    waited_ms: float
    born_ms: int = BORN_UNKNOWN
    round_id: int = 0
    locality: Locality | None = None
    zone: str = ""


CONNECT_FAILURES = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.CONNECT_TIMEOUT})
"""Ends of attempts that got no connection to the replica."""

UNSENT_ENDS = CONNECT_FAILURES | {AttemptEnd.UNUSED, AttemptEnd.HELD_BACK}
"""Ends of attempts that sent nothing to the replica."""


class AttemptReport(NamedTuple):
    """Result and timings of an attempt.

    Args:
        end: how it ended.
        first_ms: time to the first event or the whole answer, 0 if none came.
        total_ms: time to its end.
        event_count: number of stream events received.
        status: status of the answer, 0 if its head did not come.
        answer_bytes: bytes of the answer's body that came.
        connect_ms: time that its connection took to open, 0 if none was opened.
    """

    end: AttemptEnd
    first_ms: float
    total_ms: float
    event_count: int
    status: int = 0
    answer_bytes: int = 0
    connect_ms: float = 0.0


class Placer(Protocol):
    """Decides when a request is sent, and to which replica."""

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Wait until a request may be sent and return its placement.

        Args:
            job: the request.
            excluded: replicas that it must not be sent to.

        Raises:
            RequestError: if there is no placement; nothing was sent.
        """
        ...

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Report the speed of a stream while it runs."""
        ...

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement after its attempt has ended."""
        ...
