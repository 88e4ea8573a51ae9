"""The last log line of each request."""

import logging

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.callers._server import ServedRequest

log = logging.getLogger(__name__)


def log_request_ended(served: ServedRequest) -> None:
    """Log how a request ended, with what decided it."""
    job, progress = served.job, served.progress
    log.info(
        "request_ended",
        extra={
            "request": progress.request_id,
            "route": progress.route,
            "service": job.service.name if job else "",
            "customer": job.customer_name if job else "",
            "rank": job.rank if job else None,
            "outcome": served.outcome,
            "status": served.status,
            "deadline_ms": job.metadata.deadline_ms if job else 0,
            "waited_ms": round(progress.waited_ms),
            "first_ms": round(progress.first_ms),
            "longest_gap_ms": round(progress.longest_gap_ms),
            "prompt_tokens": job.metadata.prompt_tokens if job else 0,
            "output_tokens": job.metadata.expected_output_tokens if job else 0,
            "events": progress.event_count,
            "replicas": progress.replicas,
            "total_ms": round(now_ms() - job.request.arrived_ms) if job else 0,
        },
    )
