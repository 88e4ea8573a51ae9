"""Functions that read the current values of one process for its metrics."""

from collections.abc import Callable

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._metrics import Gauges, LabelledGauges
from hemlocktrestle.edge._stall_monitor import StallMonitor
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.callers._listeners import CallerListener
from hemlocktrestle.edge.callers._server import EdgeServer
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.platform import PlatformStore


def gauges(
    state: EdgeState,
    fleet: EdgeFleet,
    *,
    store: PlatformStore,
    health: StoreHealth,
    server: EdgeServer,
    listener: CallerListener,
    scheduler_task: SchedulerTask,
    stall_monitor: StallMonitor,
    dropped_count: Callable[[], int],
) -> Gauges:
    """Return the functions behind the metrics without a label."""
    kept = state.kept_connections

    def configuration_version() -> float:
        configuration = state.configuration
        return float(configuration.version) if configuration is not None else 0.0

    return Gauges(
        running=lambda: server.running_count,
        connections=lambda: listener.connection_count,
        configuration_version=configuration_version,
        configuration_age_ms=lambda: health.age_ms(ConfigurationWatcher.name),
        replicas_ready=lambda: sum(
            not record.is_draining for record in state.replicas.replicas()
        ),
        replicas_age_ms=lambda: health.age_ms(ReplicaWatcher.name),
        store_is_lost=lambda: float(health.is_lost),
        store_answered_age_ms=health.age_ms,
        store_calls=lambda: store.call_count,
        store_era=lambda: max(0, state.store_era),
        vms_heard=lambda: fleet.fleet().reporting_count,
        stalls=lambda: stall_monitor.count,
        log_lines_dropped=dropped_count,
        inbox_wait_ms=lambda: scheduler_task.inbox_wait_ms,
        configuration_bytes_sent=lambda: fleet.exchange.bytes_sent,
        replicas_paused=state.replica_notices.paused_count,
        replicas_leaving=lambda: len(state.replica_notices.leaving),
        parts_quarantined=lambda: fleet.part_gate.quarantined_count,
        part_refusals=lambda: fleet.part_gate.refused_count,
        replica_connections_opened=lambda: kept.opened_count,
        replica_connections_reused=lambda: kept.reused_count,
        replica_connections_dead=lambda: kept.dead_count,
        replica_connections_idle=lambda: kept.count,
    )


def labelled_gauges(
    state: EdgeState, fleet: EdgeFleet, scheduler_task: SchedulerTask
) -> LabelledGauges:
    """Return the functions behind the metrics with one label."""
    summaries = scheduler_task.summaries
    return LabelledGauges(
        pool_queued_asks=lambda: {
            found.pool: found.queued_count for found in summaries()
        },
        pool_oldest_queued_ms=scheduler_task.oldest_queued_ms,
        pool_free_slots=lambda: {found.pool: found.free_slots for found in summaries()},
        pool_oldest_in_hand_ms=scheduler_task.oldest_in_flight_ms,
        customer_quota_left=lambda: state.quotas.remaining(fleet.fleet(), now_ms()),
        service_repeats_left=state.retries_remaining,
        service_rollout_phase=state.rollouts.phase_numbers,
        service_target_requests=lambda: {
            service: float(tally.request_count)
            for service, tally in state.rollouts.target_tallies().items()
        },
        service_target_bad=lambda: {
            service: float(tally.bad_count)
            for service, tally in state.rollouts.target_tallies().items()
        },
    )
