"""Log lines about the decisions of pool schedulers."""

import logging

from hemlocktrestle.locality import ZoneReason
from hemlocktrestle.scheduler import Outgoing, PoolScheduler
from hemlocktrestle.wire import Refusal

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.peers._keeper_task")


def log_queue(scheduler: PoolScheduler, now_ms: float) -> None:
    """Log what became of the requests that waited since the last line."""
    for report in scheduler.report_queue(now_ms):
        log.info(
            "pool_queue",
            extra={
                "pool": scheduler.pool,
                "tier": report.tier,
                "queued_count": report.queued_count,
                "oldest_ms": round(report.oldest_ms),
                "granted_count": report.granted_count,
                "waited_ms": round(report.waited_ms),
                "forecast_ms": round(report.forecast_ms),
                "left_ms": round(report.left_ms),
                "refused_count": report.refused_count,
            },
        )


def log_zones(scheduler: PoolScheduler) -> None:
    """Log how many requests stayed in their zones or left them since the last line."""
    reported = scheduler.report_zones()
    if not reported:
        return
    log.info(
        "pool_zones",
        extra={
            "pool": scheduler.pool,
            **{reason.name.lower(): reported[reason] for reason in ZoneReason},
        },
    )


def log_refusal(
    scheduler: PoolScheduler,
    refused: Outgoing,
    *,
    inbox_wait_ms: float,
    now_ms: float,
) -> None:
    """Log a refusal with what it follows from.

    Args:
        scheduler: the scheduler that refuses.
        refused: the refusal, its requester and its forecast.
        inbox_wait_ms: time that the last message waited in the inbox.
        now_ms: the time of the process.
    """
    refusal, forecast = refused.message, refused.forecast
    if not isinstance(refusal, Refusal):
        return
    inputs = {}
    if forecast is not None:
        inputs = {
            "wait_ms": round(forecast.wait_ms),
            "work_ms": round(forecast.work.total_ms),
            "left_ms": round(forecast.left_ms),
            "retry_after_ms": refusal.retry_after_ms,
        }
    log.info(
        "ask_refused",
        extra={
            "ask": refusal.ask_id,
            "holder": refused.vm,
            "reason": refusal.kind,
            "pool": scheduler.pool,
            "queued_count": scheduler.queued_count,
            **inputs,
            "inbox_ms": round(inbox_wait_ms),
            "oldest_in_hand_ms": round(scheduler.oldest_in_flight_ms(now_ms)),
            "in_hand": {
                model.record.name: f"{len(model.in_flight)}/{model.slots}"
                for model in scheduler.models()
            },
        },
    )
