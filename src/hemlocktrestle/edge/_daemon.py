"""The edge daemon: builds its components, connects them and runs them until stopped."""

import logging
import random
import secrets
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

import trio

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._gauges import gauges, labelled_gauges
from hemlocktrestle.edge._handlers import register_handlers
from hemlocktrestle.edge._metrics import EdgeMetrics
from hemlocktrestle.edge._stall_monitor import StallMonitor
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._crash_monitor import CrashMonitor
from hemlocktrestle.edge.callers._answer_listener import AnswerListener
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._listeners import (
    INTERNAL_DESCRIPTORS,
    CallerListener,
    address_of,
    listen,
)
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas
from hemlocktrestle.edge.callers._request_log import log_request_ended
from hemlocktrestle.edge.callers._server import EdgeServer, ServedRequest
from hemlocktrestle.edge.placing._local_placer import LocalPlacer
from hemlocktrestle.edge.placing._permit_placer import ACK_TIMEOUT_MS, PermitPlacer
from hemlocktrestle.edge.placing._placement import AttemptReport, Placement
from hemlocktrestle.edge.placing._request_preview import RequestPreview
from hemlocktrestle.edge.placing._way_planner import WayPlanner
from hemlocktrestle.edge.rollouts._gate import RolloutGate
from hemlocktrestle.edge.rollouts._leader import RolloutLeader
from hemlocktrestle.edge.store._registration import BusyRecorder, VmEntry, VmRegistrar
from hemlocktrestle.edge.store._rollout_watcher import RolloutWatcher
from hemlocktrestle.edge.store._store_task import StoreHealth
from hemlocktrestle.edge.store._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.peers import PeerNetwork, PermitClient, SchedulerTask
from hemlocktrestle.platform import EdgeSettings, PlatformStore, read_settings
from hemlocktrestle.relay import CutReason
from hemlocktrestle.timers import sleep_until_multiple
from hemlocktrestle.wire import PROTOCOL_VERSION, Hello, Message

log = logging.getLogger(__name__)

QUEUE_POLICY = "time_left"
"""Name of the queueing policy of the pool schedulers."""

SCHEDULER_CHECK_S = 0.25
"""Time between checks whether a pool's scheduler has moved, in seconds."""

ROLLOUT_CHECK_S = 0.1
"""Time between judgements of versions that services are moved to, in seconds."""

DESCRIPTORS_PER_CALLER = 2
"""File descriptors that one caller needs: its connection and one to a replica."""

PLATFORM_DESCRIPTORS = 200
"""File descriptors that the platform reserves for files."""


class EdgeDaemon:
    """All components of one VM's edge daemon.

    Args:
        settings: the settings of the process.
        path: the settings file, which is read again on SIGHUP.
        metrics_port: where metrics are served.
        dropped_count: returns how many log lines were dropped.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        path: Path,
        *,
        metrics_port: int,
        dropped_count: Callable[[], int],
    ) -> None:
        self._metrics_port = metrics_port
        self._settings = settings
        self._path = path
        self._boot_id = secrets.token_hex(8)
        self._stop = trio.Event()
        self.state = EdgeState(settings, fleet=self._fleet)
        self._store = PlatformStore(settings.store_address)
        self._health = StoreHealth(self.state)
        self._stall_monitor = StallMonitor()
        jitter = random.Random(self._boot_id)
        entry = VmEntry(
            settings.vm,
            settings.zone,
            settings.region,
            f"{settings.ip}:{settings.peer_port}",
            self._boot_id,
            settings.cpu_cores,
            settings.link_mbps,
        )
        self._peers = EdgeFleet(self.state, entry)
        membership = self._peers.membership
        self._network = PeerNetwork(
            hello=Hello(
                PROTOCOL_VERSION,
                settings.vm,
                settings.zone,
                settings.region,
                self._boot_id,
            ),
            heartbeat=self._peers.heartbeat,
            peer_names=lambda stream: None,
        )
        self._peers.network = self._network
        quotas = EdgeQuotas(self.state)
        rollouts = self.state.rollouts
        self._scheduler_task = SchedulerTask(
            membership,
            reply=self._network.reply,
            now_ms=now_ms,
            policy=lambda: QUEUE_POLICY,
            acknowledges=True,
            gate=quotas,
            versions=RolloutGate(rollouts, now_ms=now_ms),
        )
        self._peers.scheduler_task = self._scheduler_task
        rollouts.on_changed = self._scheduler_task.refresh
        rollouts.send = self._send_to_peer
        self._rollout_leader = RolloutLeader(
            rollouts,
            self._store,
            settings.vm,
            is_leader=lambda: self._peers.leads_rollouts,
            vms=self._peers.vm_names,
            broadcast=self._network.broadcast,
            now_ms=now_ms,
        )
        self._crash_monitor = CrashMonitor(
            self._peers.quarantine, self._network, self._peers.part_gate
        )
        self._permit_client = PermitClient(
            membership,
            send=self._network.send,
            now_ms=now_ms,
            jitter=jitter,
            ack_timeout_ms=ACK_TIMEOUT_MS,
        )
        self._placer = PermitPlacer(
            self._permit_client,
            self._peers,
            LocalPlacer(self.state, jitter=jitter),
            quotas,
            WayPlanner(
                self._peers,
                self._permit_client.round_trips,
                link_mbps=lambda: self._settings.link_mbps,
            ),
        )
        self._preview = RequestPreview(
            self.state, self._peers, self._placer, self._scheduler_task
        )
        self._server = EdgeServer(
            self.state,
            self._placer,
            quotas=quotas,
            quarantine=self._peers.quarantine,
            part_gate=self._peers.part_gate,
            on_served=self._on_request_ended,
            on_replica_disconnected=self._crash_monitor.on_replica_disconnected,
            on_attempt=self._on_attempt_ended,
            jitter=jitter,
        )
        descriptors = (
            settings.descriptors_max
            - PLATFORM_DESCRIPTORS
            - INTERNAL_DESCRIPTORS
            - self.state.kept_connections.count_max
        )
        self._caller_listener = CallerListener(
            self.state,
            self._server.serve,
            connections_max=min(
                descriptors // DESCRIPTORS_PER_CALLER,
                self.state.memory_plan.connections_max,
            ),
            body_budget=self.state.request_budget,
            on_cut=self._on_connection_cut,
        )
        self.state.cut_stuck_caller = self._caller_listener.cut_stuck_caller
        self._registrar = VmRegistrar(
            entry,
            self._store,
            self._health,
            on_vms=self._peers.apply_vms,
            on_busy=self._peers.apply_busy_customers,
            is_current=self._peers.has_current_vms,
        )
        self._metrics = EdgeMetrics(
            gauges(
                self.state,
                self._peers,
                store=self._store,
                health=self._health,
                server=self._server,
                listener=self._caller_listener,
                scheduler_task=self._scheduler_task,
                stall_monitor=self._stall_monitor,
                dropped_count=dropped_count,
            ),
            labelled_gauges(self.state, self._peers, self._scheduler_task),
        )
        register_handlers(
            self._network,
            self.state,
            self._peers,
            scheduler_task=self._scheduler_task,
            permit_client=self._permit_client,
            crash_monitor=self._crash_monitor,
            rollout_leader=self._rollout_leader,
        )

    async def run(self) -> None:
        """Serve until a graceful shutdown is done."""
        settings = self._settings
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self._store)
            callers = listen(settings.callers_address)
            ready = listen(settings.ready_address)
            peers = listen(f"{settings.ip}:{settings.peer_port}")
            metrics = listen(f"{settings.ip}:{self._metrics_port}")
            nursery = await stack.enter_async_context(trio.open_nursery())
            signals = stack.enter_context(
                trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP)
            )
            nursery.start_soon(self._await_signals, signals)
            nursery.start_soon(
                ConfigurationWatcher(
                    self.state, self._store, self._health, relays=self._peers.exchange
                ).run
            )
            replicas = ReplicaWatcher(
                self.state,
                self._store,
                self._health,
                exchange=self._peers.replica_exchange,
            )
            nursery.start_soon(self._network.run)
            nursery.start_soon(
                partial(trio.serve_listeners, self._network.accept, [peers])
            )
            nursery.start_soon(self._scheduler_task.run)
            nursery.start_soon(self._peers.probe)
            nursery.start_soon(self.state.kept_connections.run)
            nursery.start_soon(self._stall_monitor.run)
            nursery.start_soon(self._report_held_permits)
            nursery.start_soon(self._crash_monitor.run)
            nursery.start_soon(replicas.run)
            nursery.start_soon(replicas.drop_unconfirmed)
            nursery.start_soon(self._registrar.run)
            if self.state.rollouts.is_active:
                nursery.start_soon(self._run_rollouts)
            nursery.start_soon(
                BusyRecorder(
                    settings.region,
                    self._store,
                    self._health,
                    busy=self._peers.customers_to_record,
                    window_ms=settings.bounds.quota_window_ms,
                ).run
            )
            on_cut = self._on_connection_cut
            checks = AnswerListener({b"/ready": self._ready_answer}, on_cut=on_cut)
            nursery.start_soon(checks.run, ready)
            nursery.start_soon(self._caller_listener.run, callers)
            scrapes = AnswerListener(
                {b"/metrics": self._metrics.text},
                queries={b"/where": self._preview.answer},
                on_cut=on_cut,
            )
            nursery.start_soon(scrapes.run, metrics)
            log.info(
                "started",
                extra={
                    "boot_id": self._boot_id,
                    "callers": address_of(callers),
                    "ready": address_of(ready),
                    "metrics": address_of(metrics),
                },
            )
            await self._stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        log.info("stopped")

    async def _run_rollouts(self) -> None:
        """Watch, judge and lead moves of services to other versions."""
        watcher = RolloutWatcher(
            self.state.rollouts,
            self._store,
            self._health,
            # Before the list of VMs is known, each VM takes itself for the scheduler.
            is_watching=lambda: self.state.has_loaded_vms and self._peers.is_scheduler,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            nursery.start_soon(self._rollout_leader.run)
            await self.state.rollouts.has_orders.wait()
            while True:
                await sleep_until_multiple(ROLLOUT_CHECK_S)
                self.state.rollouts.examine()

    def _send_to_peer(self, vm: str, message: Message) -> bool:
        """Send a message to a VM, or to this one, on either link."""
        if vm == self._settings.vm:
            self._rollout_leader.on_report(vm, message)
            return True
        return self._network.send(vm, message) or self._network.reply(vm, message)

    async def _drain(self) -> None:
        """Drain: hand over pools, deregister and answer what is open."""
        self.state.shutdown.begin()
        self._peers.membership.is_draining = True
        self._scheduler_task.hand_over()
        self._network.send_heartbeats()
        await self.state.shutdown.run(self._caller_listener, self._registrar.deregister)

    async def _await_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            log.info("signal_received", extra={"signal": number})
            if number == signal.SIGTERM:
                self._stop.set()
            else:
                self._reload()

    def _reload(self) -> None:
        """Read the settings file again; invalid settings change nothing."""
        try:
            settings = read_settings(self._path)
        except RequestError as error:
            log.error("settings_refused", extra={"reason": error.message})
            return
        self.state.settings = settings
        log.info("settings_reloaded")

    def _on_attempt_ended(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        self._metrics.record_attempt(job, placement, report)

    def _on_connection_cut(self, reason: CutReason) -> None:
        self._metrics.record_cut(reason)

    def _ready_answer(self) -> tuple[int, bytes, bytes]:
        return (200 if self.state.is_ready else 503), b"text/plain", b""

    def _fleet(self, customer: str | None = None) -> FleetSnapshot:
        return self._peers.fleet(customer)

    async def _report_held_permits(self) -> None:
        while True:
            await sleep_until_multiple(SCHEDULER_CHECK_S)
            self._permit_client.report_held_permits()

    def _on_request_ended(self, served: ServedRequest) -> None:
        self._metrics.record_request(served)
        log_request_ended(served)


async def run_edge(
    settings: EdgeSettings,
    path: Path,
    *,
    metrics_port: int,
    dropped_count: Callable[[], int],
) -> None:
    """Run an edge daemon until a graceful shutdown is done.

    Args:
        settings: the settings of the process, checked.
        path: the settings file.
        metrics_port: where metrics are served.
        dropped_count: returns how many log lines were dropped.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if an address cannot be listened on.
    """
    await EdgeDaemon(
        settings, path, metrics_port=metrics_port, dropped_count=dropped_count
    ).run()
