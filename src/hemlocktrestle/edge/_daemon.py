"""The edge daemon: it builds its parts, joins them, and runs them until told to end."""

import logging
import random
import secrets
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

import trio

from hemlocktrestle.edge._crash_monitor import CrashMonitor
from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._listeners import (
    DESCRIPTORS_KEPT,
    CallerListener,
    address_of,
    listen,
    serve_answers,
)
from hemlocktrestle.edge._local_placer import LocalPlacer
from hemlocktrestle.edge._metrics import EdgeMetrics, Gauges, LabelledGauges
from hemlocktrestle.edge._permit_placer import ANSWER_MS, PermitPlacer
from hemlocktrestle.edge._placement import AttemptReport, Placement
from hemlocktrestle.edge._quota_gate import EdgeQuotas
from hemlocktrestle.edge._registration import BusyRecorder, VmEntry, VmRegistrar
from hemlocktrestle.edge._server import EdgeServer, Served
from hemlocktrestle.edge._stall_monitor import StallMonitor
from hemlocktrestle.edge._state import NOTICE_MS, EdgeState, now_ms
from hemlocktrestle.edge._store_task import StoreHealth
from hemlocktrestle.edge._watchers import ConfigurationWatcher, ReplicaWatcher
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import FleetSnapshot
from hemlocktrestle.peers import PeerNetwork, PermitClient, SchedulerTask
from hemlocktrestle.platform import EdgeSettings, PlatformStore, read_settings
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import BodyMemoryBudget
from hemlocktrestle.wire import (
    PROTOCOL_VERSION,
    Ask,
    ConfigurationNews,
    Heartbeat,
    Hello,
    Permit,
    Pulse,
    Queued,
    Refusal,
    Release,
    ReplicaNews,
    Running,
    Suspicion,
    Withdraw,
)

log = logging.getLogger(__name__)

POLICY = "objective"
"""Name of the policy by which keepers decide."""

ROLE_CHECK_S = 0.25
"""Time between checks whether pools have another keeper, in seconds."""

FINISH_SHARE = 0.96
"""Share of the grace time after which what still runs is cut."""

DESCRIPTORS_PER_CALLER = 2
"""Descriptors that one caller needs: its connection and one to a replica."""

BODIES_SHARE = 0.25
"""Share of the process's memory that bodies of requests may take.

The process itself takes up to 40 MB, and a body is held twice while it is sent.
"""

RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""


class EdgeDaemon:
    """All parts of one VM's edge daemon.

    Args:
        settings: the settings of the process.
        path: the settings file, which is read again when it is said to have changed.
        metrics_port: where metrics are served.
        dropped_count: returns how many log lines were not written.
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
        self._stalls = StallMonitor()
        self._quarantine = QuarantineRegistry()
        jitter = random.Random(self._boot_id)
        entry = VmEntry(
            settings.vm,
            settings.zone,
            settings.region,
            f"{settings.ip}:{settings.peer_port}",
            self._boot_id,
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
        self._scheduler = SchedulerTask(
            membership,
            reply=self._network.reply,
            now_ms=now_ms,
            policy=lambda: POLICY,
            acknowledges=True,
            gate=quotas,
        )
        self._peers.scheduler = self._scheduler
        self._crashes = CrashMonitor(self._quarantine, self._network)
        self._asker = PermitClient(
            membership,
            send=self._network.send,
            now_ms=now_ms,
            jitter=jitter,
            ack_timeout_ms=ANSWER_MS,
        )
        self._placer = PermitPlacer(
            self._asker,
            self._peers,
            LocalPlacer(self.state, jitter=jitter),
            quotas,
        )
        self._server = EdgeServer(
            self.state,
            self._placer,
            quotas=quotas,
            quarantine=self._quarantine,
            on_served=self._served,
            on_crash=self._crashes.broke,
            on_attempt=self._count_attempt,
        )
        descriptors = settings.descriptors_max - RESERVED_DESCRIPTORS - DESCRIPTORS_KEPT
        self._callers = CallerListener(
            self.state,
            self._server.serve,
            connections_max=descriptors // DESCRIPTORS_PER_CALLER,
            body_budget=BodyMemoryBudget(int(settings.memory_bytes * BODIES_SHARE)),
        )
        self._registrar = VmRegistrar(
            entry,
            self._store,
            self._health,
            on_vms=self._peers.take_vms,
            on_busy=self._peers.take_busy,
        )
        self._metrics = EdgeMetrics(self._gauges(dropped_count), self._labelled())
        self._route()

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
                ConfigurationWatcher(self.state, self._store, self._health).run
            )
            replicas = ReplicaWatcher(
                self.state,
                self._store,
                self._health,
                on_change=self._peers.replicas_changed,
            )
            nursery.start_soon(self._network.run)
            nursery.start_soon(
                partial(trio.serve_listeners, self._network.accept, [peers])
            )
            nursery.start_soon(self._scheduler.run)
            nursery.start_soon(self._peers.probe)
            nursery.start_soon(self._stalls.run)
            nursery.start_soon(self._tell_schedulers)
            nursery.start_soon(self._crashes.run)
            nursery.start_soon(replicas.run)
            nursery.start_soon(replicas.settle)
            nursery.start_soon(self._registrar.run)
            nursery.start_soon(
                BusyRecorder(
                    settings.region,
                    self._store,
                    self._health,
                    busy=self._peers.busy,
                    window_ms=settings.bounds.quota_window_ms,
                ).run
            )
            nursery.start_soon(serve_answers, ready, {b"/ready": self._ready})
            nursery.start_soon(self._callers.run, callers)
            answers = {b"/metrics": self._metrics.text}
            nursery.start_soon(serve_answers, metrics, answers)
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
            await self._finish()
            nursery.cancel_scope.cancel()
        log.info("stopped")

    async def _finish(self) -> None:
        """End gracefully: no new callers, then no open connections, then stop."""
        self.state.draining_since_ms = now_ms()
        self._peers.membership.is_draining = True
        self._scheduler.hand_over()
        self._network.send_heartbeats()
        grace_s = self._settings.bounds.grace_ms / 1000
        with trio.move_on_after(grace_s * FINISH_SHARE):
            await self._registrar.leave()
            await trio.sleep(NOTICE_MS / 1000)
            while self._callers.connection_count:
                self._callers.close_idle()
                await trio.sleep(0.05)

    async def _await_signals(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            log.info("signal_received", extra={"signal": number})
            if number == signal.SIGTERM:
                self._stop.set()
            else:
                self._reload()

    def _reload(self) -> None:
        """Read the settings file again; what cannot be changed stays as it was."""
        try:
            settings = read_settings(self._path)
        except RequestError as error:
            log.error("settings_refused", extra={"reason": error.message})
            return
        self.state.settings = settings
        log.info("settings_reloaded")

    def _gauges(self, dropped_count: Callable[[], int]) -> Gauges:
        health = self._health
        return Gauges(
            running=lambda: self._server.running_count,
            connections=lambda: self._callers.connection_count,
            configuration_version=self._configuration_version,
            configuration_age_ms=lambda: health.age_ms(ConfigurationWatcher.name),
            replicas_ready=lambda: sum(
                not record.is_draining for record in self.state.replicas.replicas()
            ),
            replicas_age_ms=lambda: health.age_ms(ReplicaWatcher.name),
            store_is_lost=lambda: float(health.is_lost),
            store_answered_age_ms=health.age_ms,
            store_calls=lambda: self._store.call_count,
            vms_heard=lambda: self._fleet().reporting_count,
            stalls=lambda: self._stalls.count,
            log_lines_dropped=dropped_count,
        )

    def _labelled(self) -> LabelledGauges:
        summaries = self._scheduler.summaries
        return LabelledGauges(
            pool_queued_asks=lambda: {
                found.pool: found.queued_count for found in summaries()
            },
            pool_free_slots=lambda: {
                found.pool: found.free_slots for found in summaries()
            },
            customer_quota_left=lambda: self.state.quotas.remaining(
                self._fleet(), now_ms()
            ),
            service_repeats_left=self.state.repeats_left,
        )

    def _configuration_version(self) -> float:
        configuration = self.state.configuration
        return float(configuration.version) if configuration is not None else 0.0

    def _count_attempt(self, job: Job, place: Placement, report: AttemptReport) -> None:
        self._metrics.attempt(job, place, report)

    def _ready(self) -> tuple[int, bytes, bytes]:
        return (200 if self.state.is_ready else 503), b"text/plain", b""

    def _fleet(self, customer: str | None = None) -> FleetSnapshot:
        return self._peers.fleet(customer)

    def _route(self) -> None:
        """Lead messages and ends of links to those that they concern."""
        network = self._network
        for asked in (Ask, Release, Withdraw, Running, Pulse):
            network.register_handler(asked, self._scheduler.on_message)
        for answered in (Permit, Refusal, Queued):
            network.register_handler(answered, self._asker.on_message)
        network.register_handler(Heartbeat, self._peers.heard)
        for news in (ReplicaNews, ConfigurationNews):
            network.register_handler(news, self._peers.heard_news)
        network.register_handler(Suspicion, self._crashes.heard)
        network.on_opened(self._peers.greeting)
        self.state.on_configuration = self._peers.sync
        network.on_dialled_closed(self._asker.on_link_closed)
        network.on_dialled_closed(self._peers.membership.on_disconnected)
        network.on_accepted_closed(self._scheduler.on_requester_disconnected)
        network.on_accepted_closed(self._peers.forget)
        network.on_dialled_closed(self._peers.forget)

    async def _tell_schedulers(self) -> None:
        while True:
            await trio.sleep(ROLE_CHECK_S)
            self._asker.report_held_permits()

    def _served(self, served: Served) -> None:
        self._metrics.served(served)
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
                "deadline_ms": job.facts.deadline_ms if job else 0,
                "waited_ms": round(progress.waited_ms),
                "first_ms": round(progress.first_ms),
                "longest_gap_ms": round(progress.longest_gap_ms),
                "prompt_tokens": job.facts.prompt_tokens if job else 0,
                "output_tokens": job.facts.expected_output_tokens if job else 0,
                "events": progress.event_count,
                "replicas": progress.replicas,
                "total_ms": round(now_ms() - job.request.arrived_ms) if job else 0,
            },
        )


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
        dropped_count: returns how many log lines were not written.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if an address cannot be listened on.
    """
    await EdgeDaemon(
        settings, path, metrics_port=metrics_port, dropped_count=dropped_count
    ).run()
