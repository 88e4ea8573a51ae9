"""The values that the metrics of an edge process show by pool, customer or service."""

from hemlocktrestle.edge._metrics import LabelledGauges
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.peers import SchedulerTask


def labelled_gauges(state: EdgeState, scheduler_task: SchedulerTask) -> LabelledGauges:
    """Return the functions that read the current values."""
    summaries = scheduler_task.summaries
    return LabelledGauges(
        pool_queued_asks=lambda: {
            found.pool: found.queued_count for found in summaries()
        },
        pool_oldest_queued_ms=scheduler_task.oldest_queued_ms,
        pool_free_slots=lambda: {found.pool: found.free_slots for found in summaries()},
        pool_oldest_in_hand_ms=scheduler_task.oldest_in_flight_ms,
        customer_quota_left=lambda: state.quotas.remaining(state.fleet(), now_ms()),
        service_repeats_left=state.retries_remaining,
    )
