"""Log lines about replicas that fall silent and answers that end early."""

import logging

import trio

from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.placing._placement import Placement
from hemlocktrestle.errors import RequestError

log = logging.getLogger(__name__)


def log_replica_silent(
    progress: RequestProgress, placement: Placement, started_ms: float, action: str
) -> None:
    """Log that a replica sent nothing of use for its time limit."""
    heard_ms = max(started_ms, progress.last_event_ms)
    silent_ms = trio.current_time() * 1000 - heard_ms
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


def log_kept_connection_dead(progress: RequestProgress, placement: Placement) -> None:
    """Log that a request got no answer because its kept connection had ended."""
    log.info(
        "kept_connection_dead",
        extra={"request": progress.request_id, "replica": placement.replica_id},
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
