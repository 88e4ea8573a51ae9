"""Registers what handles each message, and each link that opens or closes."""

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState
from hemlocktrestle.edge.attempts._crash_monitor import CrashMonitor
from hemlocktrestle.edge.rollouts._leader import RolloutLeader
from hemlocktrestle.peers import PeerNetwork, PermitClient, SchedulerTask
from hemlocktrestle.wire import (
    Ask,
    ConfigurationNews,
    Heartbeat,
    PartTrial,
    Permit,
    Pulse,
    Queued,
    Refusal,
    Release,
    ReplicaBatch,
    ReplicaFetch,
    ReplicaNews,
    RolloutGrant,
    RolloutReport,
    Running,
    Suspicion,
    TreeFetch,
    Withdraw,
)


def register_handlers(
    network: PeerNetwork,
    state: EdgeState,
    fleet: EdgeFleet,
    *,
    scheduler_task: SchedulerTask,
    permit_client: PermitClient,
    crash_monitor: CrashMonitor,
    rollout_leader: RolloutLeader,
) -> None:
    """Register the handlers of messages and of opened and closed links."""
    for request_type in (Ask, Release, Withdraw, Running, Pulse):
        network.register_handler(request_type, scheduler_task.on_message)
    for reply_type in (Permit, Refusal, Queued):
        network.register_handler(reply_type, permit_client.on_message)
    network.register_handler(Heartbeat, fleet.on_heartbeat)
    replicas = fleet.replica_exchange
    network.register_handler(ReplicaNews, replicas.on_news)
    network.register_handler(ReplicaBatch, replicas.on_batch)
    network.register_handler(ReplicaFetch, replicas.on_fetch)
    network.register_handler(ConfigurationNews, fleet.exchange.on_news)
    network.register_handler(TreeFetch, fleet.exchange.on_fetch)
    for crash_type in (Suspicion, PartTrial):
        network.register_handler(crash_type, crash_monitor.on_message)
    network.register_handler(RolloutGrant, state.rollouts.on_grant)
    network.register_handler(RolloutReport, rollout_leader.on_report)
    state.on_configuration = fleet.on_configuration_changed
    network.on_opened(crash_monitor.on_link_opened)
    network.on_dialled_closed(permit_client.on_link_closed)
    network.on_dialled_closed(fleet.membership.on_disconnected)
    network.on_dialled_closed(replicas.on_link_closed)
    network.on_accepted_closed(scheduler_task.on_requester_disconnected)
    network.on_accepted_closed(replicas.on_link_closed)
