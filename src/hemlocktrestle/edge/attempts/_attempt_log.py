"""Log lines about replicas that fall silent and answers that end early."""

import logging

from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.placing._placement import Placement
from hemlocktrestle.errors import RequestError

log = logging.getLogger(__name__)


def log_replica_silent(
    progress: RequestProgress,
    placement: Placement,
    *,
    silent_ms: float,
    action: str,
) -> None:
    """Log that a replica sent nothing of use for its time limit."""
    log.info(
        "replica_silent",
        extra={
            "request": progress.request_id,
            "replica": placement.replica_id,
            "silent_ms": round(silent_ms),
            "events": progress.event_count,
            "action": action,
        },
    )


def log_answer_cut(error: RequestError, progress: RequestProgress) -> None:
    """Log that an answer that had begun ends without its end."""
    log.info(
        "answer_cut",
        extra={
            "request": progress.request_id,
            "cause": error.kind.value,
            "failure": error.message,
            "events": progress.event_count,
            "send_count": progress.send_count,
        },
    )
