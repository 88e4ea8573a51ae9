"""The daemon: builds its components, connects them and runs them until shutdown."""

import logging
import math
import random
import secrets
import signal
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, ExitStack
from functools import partial
from typing import Any

import trio

from hemlocktrestle.adapters import (
    CallersApp,
    EtcdStore,
    GaugeSources,
    HttpPlatformList,
    HttpUpstreamClient,
    Metrics,
    certificate_names,
    make_tracer,
    serve_http,
)
from hemlocktrestle.claims import ClaimRegistry, TicketTable
from hemlocktrestle.daemon import _quarantine_routes  # noqa: F401 fills the routes
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._drain import FINISH_MS_DEFAULT, Drain, DrainMiddleware
from hemlocktrestle.daemon._list_follower import ListFollower
from hemlocktrestle.daemon._listeners import Listeners, address_of
from hemlocktrestle.daemon._operators import OperatorsApp
from hemlocktrestle.daemon._request_service import RequestService
from hemlocktrestle.daemon._security import Security
from hemlocktrestle.daemon._status import StatusSources, status_of
from hemlocktrestle.daemon._tickets import TicketService
from hemlocktrestle.daemon._tree_service import TREE_MESSAGES, TreeService
from hemlocktrestle.daemon._upstream_prober import UpstreamProber
from hemlocktrestle.daemon._vm_settings import VmSettings, read_secret
from hemlocktrestle.latency import Latencies
from hemlocktrestle.membership import Membership, VmRecord
from hemlocktrestle.peers._network import PeerNetwork
from hemlocktrestle.peers._permit_client import PermitClient
from hemlocktrestle.peers._scheduler_task import SchedulerTask
from hemlocktrestle.scheduler import POLICY_DEFAULT
from hemlocktrestle.wire import (
    PROTOCOL_VERSION,
    Ask,
    Heartbeat,
    Hello,
    Message,
    Permit,
    Refusal,
    Release,
    Running,
    Suspicion,
    TicketClose,
    TicketOpen,
    TicketVerdict,
    Withdraw,
)

log = logging.getLogger(__name__)

CLAIM_REPAIRS_TIMEOUT_S = 15.0
"""Longest wait at a shutdown for queued repairs of claims, in seconds."""

SCHEDULER_CHECK_INTERVAL_S = 0.25
"""Interval of checks whether pools have another scheduler, in seconds."""


def now_ms() -> float:
    """Return the monotonic time of the process in milliseconds."""
    return trio.current_time() * 1000


def wall_ms() -> int:
    """Return the time in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class Daemon:
    """All components of one VM's daemon.

    Args:
        settings: the VM's settings, validated.
        listeners: the bound sockets.
        stack: owns the resources that must be closed.
    """

    def __init__(
        self, settings: VmSettings, listeners: Listeners, stack: ExitStack
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._boot_id = secrets.token_hex(8)
        vm = settings["vm"]
        record = VmRecord(
            vm["name"], vm["zone"], vm["region"], address_of(listeners.peers), False
        )
        self.membership = Membership(record)
        self._latencies = Latencies[str]()
        self._security = Security(settings["security"])
        self._metrics = Metrics(
            self._latencies,
            GaugeSources(
                pools=lambda: self.scheduler.summaries(),  # noqa: PLW0108 assigned below
                tree_revision=lambda: self.tree.state.revision,
                tree_age_ms=lambda: self.tree.status()["age_ms"],
                running_count=lambda: len(self.request_service.running),
            ),
        )
        self._store = EtcdStore(settings["platform"]["store"])
        self._platform = HttpPlatformList(settings["platform"]["list"])
        self._upstreams = HttpUpstreamClient()
        hello = Hello(
            PROTOCOL_VERSION, vm["name"], vm["zone"], vm["region"], self._boot_id
        )
        self.network = PeerNetwork(
            hello=hello,
            heartbeat=self._heartbeat,
            tls_client=self._security.peer_client,
            peer_names=certificate_names,
        )
        self.tree = TreeService(
            self._store,
            self.membership,
            self.network,
            has_listing=lambda: self._list_follower.has_listing,
            now_ms=now_ms,
        )
        self.scheduler = SchedulerTask(
            self.membership,
            reply=self.network.reply,
            now_ms=now_ms,
            policy=lambda: self.tree.state.root.get("policy", POLICY_DEFAULT),
        )
        self.permit_client = PermitClient(
            self.membership,
            send=self.network.send,
            now_ms=now_ms,
            jitter=random.Random(self._boot_id),
        )
        self.tickets = TicketService(
            TicketTable(
                zone=vm["zone"],
                vm=vm["name"],
                boot_id=self._boot_id,
                secret=secrets.token_bytes(32),
                new_id=partial(secrets.token_hex, 12),
            ),
            send=self.network.send,
            reply=self.network.reply,
            now_ms=now_ms,
        )
        self._claims = ClaimRegistry(
            self._store,
            writer=f"{vm['name']}/{self._boot_id}",
            new_id=partial(secrets.token_hex, 16),
            wall_ms=wall_ms,
        )
        self.crash_monitor = CrashMonitor(
            upstreams=self._upstreams,
            peers=self._zone_peers,
            send=self.network.send,
            now_ms=now_ms,
        )
        telemetry = settings.get("telemetry", {})
        self.request_service = RequestService(
            tree=lambda: self.tree.state,
            membership=self.membership,
            permit_client=self.permit_client,
            upstreams=self._upstreams,
            crash_monitor=self.crash_monitor,
            claims=self._claims,
            tickets=self.tickets,
            tracer=make_tracer(
                vm["name"],
                trace_file=telemetry.get("trace_file", ""),
                otlp_endpoint=telemetry.get("otlp_endpoint", ""),
                stack=stack,
            ),
            latencies=self._latencies,
            count=self._metrics.count,
            now_ms=now_ms,
        )
        self._list_follower = ListFollower(
            self._platform,
            self.membership,
            peers_changed=self.network.sync_peers,
            now_ms=now_ms,
        )
        self._prober = UpstreamProber(self.membership, self._upstreams, now_ms=now_ms)
        self._drain = Drain(
            membership=self.membership,
            roles=self.scheduler,
            links=self.network,
            running=self.request_service.running.keys(),
            **settings.get("drain", {}),
        )
        self._register_handlers()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        return (
            self._list_follower.has_listing
            and self.tree.state.revision > 0
            and not self.membership.is_draining
        )

    def drain(self) -> None:
        """Start a graceful shutdown."""
        self._drain.begin()

    async def run(self) -> None:
        """Serve until a graceful shutdown has finished."""
        async with AsyncExitStack() as stack:
            for client in (self._store, self._platform, self._upstreams):
                await stack.enter_async_context(client)  # type: ignore[arg-type]
            nursery = await stack.enter_async_context(trio.open_nursery())
            signals = stack.enter_context(
                trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
            )
            nursery.start_soon(self._await_signal, signals)
            nursery.start_soon(self.tree.run)
            nursery.start_soon(self.scheduler.run)
            nursery.start_soon(self.network.run)
            nursery.start_soon(self._list_follower.run)
            nursery.start_soon(self._prober.run)
            nursery.start_soon(self.request_service.run)
            nursery.start_soon(self._report_held_permits)
            nursery.start_soon(self._security.follow)
            await self._listen_to_peers(nursery)
            await nursery.start(self._serve_operators)
            self._log_listening()
            await self._serve_callers()
            await self._wait_for_keyed_requests()
            await self._drain.wait_for_flush()
            nursery.cancel_scope.cancel()
        log.info("stopped", extra={"vm": self.membership.vm.name})

    def status(self) -> dict[str, Any]:
        """Return the document that the command-line tool's ``status`` shows."""
        return status_of(
            StatusSources(
                self._boot_id,
                self._settings["security"],
                lambda: self.is_ready,
                self.membership,
                self.tree,
                self.scheduler,
                self.request_service,
                self._list_follower,
                self._latencies,
                now_ms,
            )
        )

    def _register_handlers(self) -> None:
        for to_scheduler in (Ask, Release, Withdraw, Running):
            self.network.register_handler(to_scheduler, self.scheduler.on_message)
        for to_client in (Permit, Refusal):
            self.network.register_handler(to_client, self.permit_client.on_message)
        for on_ticket in (TicketOpen, TicketClose, TicketVerdict):
            self.network.register_handler(on_ticket, self.tickets.on_message)
        self.network.on_dialled_closed(self.tickets.on_link_closed)
        for on_tree in TREE_MESSAGES:
            self.network.register_handler(on_tree, self.tree.on_message)
        self.network.on_dialled_closed(self.tree.on_link_closed)
        self.network.register_handler(Heartbeat, self._on_heartbeat)
        self.network.register_handler(Suspicion, self.crash_monitor.on_message)
        self.network.on_dialled_closed(self.permit_client.on_link_closed)
        self.network.on_dialled_closed(self.membership.on_disconnected)
        self.network.on_accepted_closed(self.scheduler.on_requester_disconnected)

    def _zone_peers(self) -> list[str]:
        own = self.membership.vm
        live = self.membership.live_vms(own.zone, now_ms())
        return [name for name in live if name != own.name]

    def _heartbeat(self) -> Heartbeat:
        pools = self.scheduler.summaries()
        self.membership.record_pools(self.membership.vm.name, pools)
        return Heartbeat(
            *self.tree.heartbeat_fields(),
            self.membership.is_draining,
            pools,
            self.membership.refusals(),
        )

    def _on_heartbeat(self, vm: str, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self.membership.on_heartbeat(
                vm,
                now_ms(),
                is_draining=message.draining,
                refusals=message.refusals,
                pools=message.pools,
            )
            self.tree.on_heartbeat(vm, message)

    async def _await_signal(self, signals: AsyncIterator[int]) -> None:
        async for number in signals:
            log.info("signal_received", extra={"signal": number})
            self.drain()

    async def _report_held_permits(self) -> None:
        while True:
            await trio.sleep(SCHEDULER_CHECK_INTERVAL_S)
            self.permit_client.report_held_permits()

    async def _listen_to_peers(self, nursery: trio.Nursery) -> None:
        sock = trio.socket.from_stdlib_socket(self._listeners.peers)
        sock.listen(1024)
        listener = self._security.peer_listener(trio.SocketListener(sock))
        serve = partial(trio.serve_listeners, self.network.accept, [listener])
        await nursery.start(serve)

    async def _serve_operators(
        self, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
    ) -> None:
        security = self._settings["security"]
        app = OperatorsApp(
            token=read_secret(
                security["operator_token_file"], field="security.operator_token_file"
            ),
            is_ready=lambda: self.is_ready,
            status=self.status,
            drain=self.drain,
            tree=self.tree.local_tree.log.page,
            registry=self._metrics.registry,
        )
        app.crash_monitor = self.crash_monitor
        await serve_http(
            app,
            sock=self._listeners.operators,
            tls=self._security.public_server,
            graceful_s=1.0,
            shutdown=trio.sleep_forever,
            task_status=task_status,
        )

    async def _serve_callers(self) -> None:
        """Serve callers until a graceful shutdown has ended their requests."""
        app = DrainMiddleware(
            CallersApp(self.request_service, now_ms=now_ms),
            is_draining=lambda: self.membership.is_draining,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_after_requests, app, nursery.cancel_scope)
            await serve_http(
                app,
                sock=self._listeners.callers,
                tls=self._security.public_server,
                graceful_s=math.inf,
                shutdown=self._close_listener_when_due,
            )
            nursery.cancel_scope.cancel()

    async def _cancel_after_requests(
        self, app: DrainMiddleware, scope: trio.CancelScope
    ) -> None:
        await self._drain.wait_for_requests(app)
        scope.cancel()

    async def _close_listener_when_due(self) -> None:
        await self._drain.wait_for_listener_close()
        # The server closes its own duplicate of the socket.  While this one stays
        # open, the kernel would accept connections that nobody serves.
        self._listeners.callers.close()

    async def _wait_for_keyed_requests(self) -> None:
        """Wait for requests that run without a caller, and for claims to be closed."""
        drain = self._settings.get("drain", {})
        finish_ms = drain.get("finish_ms", FINISH_MS_DEFAULT)
        with trio.move_on_after(finish_ms / 1000):
            await self.request_service.wait_idle()
            with trio.move_on_after(CLAIM_REPAIRS_TIMEOUT_S):
                await self._claims.repairs.wait_empty()
                return
        log.warning(
            "claims_not_closed",
            extra={"claims_count": self._claims.repairs.queued_count},
        )

    def _log_listening(self) -> None:
        log.info(
            "listening",
            extra={
                "vm": self.membership.vm.name,
                "callers": address_of(self._listeners.callers),
                "operators": address_of(self._listeners.operators),
                "peers": address_of(self._listeners.peers),
                "peers_plain": self._security.peers_plain,
                "callers_plain": self._security.callers_plain,
            },
        )
