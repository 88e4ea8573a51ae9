"""VMs in one process, connected by simulated links that can be cut."""

import heapq
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

import trio
from opentelemetry.trace import NoOpTracer

from hemlocktrestle.adapters import Responder
from hemlocktrestle.claims import ClaimRegistry, TicketTable
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._request_service import RequestService
from hemlocktrestle.daemon._tickets import TicketService
from hemlocktrestle.daemon._upstream_prober import UpstreamProber
from hemlocktrestle.entry import CallerRequest
from hemlocktrestle.latency import Latencies
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers._permit_client import PermitClient
from hemlocktrestle.peers._scheduler_task import SchedulerTask
from hemlocktrestle.ports import UpstreamClient
from hemlocktrestle.tree import EMPTY_TREE, TreeState, token_digest, with_documents
from hemlocktrestle.wire import (
    Ask,
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
    decode,
    encode,
)
from tests.support._answer import Answer, Collector
from tests.support._steps import CURRENT_VM, Steps
from tests.support._store import FakeStore
from tests.support._upstream import FakeUpstreams

LINK_S = 0.0005
LinkFault = Callable[[int, Message], tuple[float, ...]]
HEARTBEAT_INTERVAL_S = 0.5
LINK_TIMEOUT_S = 2.0
MODEL = "assistant"
TIERS_BY_CALLER = {"nurse": "high", "wiper": "normal", "pupil": "low"}


def sample_state() -> TreeState:
    """Return a tree with one caller of each tier and a ledger."""
    callers = {
        caller: {"rules": {"tier": tier}} for caller, tier in TIERS_BY_CALLER.items()
    }
    tokens = {token_digest(f"{caller}-token"): {"caller": caller} for caller in callers}
    documents = {
        "root": {"services": {"ledger": {"is_repeatable": False}}},
        "customers/clinics": {
            "services": {"chat": {"callers": callers}},
            "tokens": tokens,
        },
    }
    return with_documents(EMPTY_TREE, documents, revision=1, lineage="test")


class FakeVm:
    """The components and tasks of one VM, without sockets."""

    def __init__(self, world: "World", record: VmRecord) -> None:
        self.world = world
        self.name = record.name
        self.state = sample_state()
        self.membership = Membership(record)
        self.scheduler = SchedulerTask(
            self.membership, reply=self._send, now_ms=world.now_ms
        )
        self.permit_client = PermitClient(
            self.membership,
            send=self._send,
            now_ms=world.now_ms,
            jitter=random.Random(record.name),
        )
        boot_id = world.new_id()
        self.tickets = TicketService(
            TicketTable(
                zone=record.zone,
                vm=record.name,
                boot_id=boot_id,
                secret=boot_id.encode(),
                new_id=world.new_id,
            ),
            send=self._send,
            reply=self._send,
            now_ms=world.now_ms,
        )
        self.crash_monitor = CrashMonitor(
            upstreams=world.client,
            peers=lambda: [name for name in world.vms if name != record.name],
            send=self._send,
            now_ms=world.now_ms,
        )
        self.request_service = RequestService(
            tree=lambda: self.state,
            membership=self.membership,
            permit_client=self.permit_client,
            upstreams=world.client,
            crash_monitor=self.crash_monitor,
            claims=ClaimRegistry(
                world.store,
                writer=record.name,
                new_id=world.new_id,
                wall_ms=lambda: int(world.now_ms()),
            ),
            tickets=self.tickets,
            tracer=NoOpTracer(),
            latencies=Latencies[str](),
            now_ms=world.now_ms,
        )
        self.prober = UpstreamProber(
            self.membership, world.upstreams, now_ms=world.now_ms
        )
        self.scope = trio.CancelScope()
        self.call_scopes: set[trio.CancelScope] = set()
        self._handlers = {
            Ask: self.scheduler.on_message,
            Release: self.scheduler.on_message,
            Withdraw: self.scheduler.on_message,
            Running: self.scheduler.on_message,
            Permit: self.permit_client.on_message,
            Refusal: self.permit_client.on_message,
            Suspicion: self.crash_monitor.on_message,
            TicketOpen: self.tickets.on_message,
            TicketVerdict: self.tickets.on_message,
            TicketClose: self.tickets.on_message,
        }

    def receive(self, vm: str, message: Message) -> None:
        """Handle a message from a VM."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(vm, message)

    async def run(self) -> None:
        """Run the VM's tasks until it is killed."""
        CURRENT_VM.set(self.name)
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.scheduler.run)
                nursery.start_soon(self.request_service.run)
                nursery.start_soon(self._watch_roles)
                nursery.start_soon(self.prober.run)

    def drain(self) -> None:
        """Begin a graceful shutdown: give up the pools and return queued requests."""
        self.membership.is_draining = True
        self.scheduler.hand_over()

    def kill(self) -> None:
        """End the VM without notice: its calls, tasks and links end at once."""
        for scope in (self.scope, *self.call_scopes):
            scope.cancel()
        self.world.remove_vm(self.name)

    def on_link_closed(self, vm: str) -> None:
        """Handle the end of the links from and to a VM."""
        self.membership.on_disconnected(vm)
        self.permit_client.on_link_closed(vm)
        self.tickets.on_link_closed(vm)
        self.scheduler.on_requester_disconnected(vm)

    def _send(self, vm: str, message: Message) -> bool:
        if self.scope.cancel_called:
            return False
        return self.world.deliver(self.name, vm, message)

    async def _watch_roles(self) -> None:
        while True:
            await trio.sleep(HEARTBEAT_INTERVAL_S / 2)
            self.permit_client.report_held_permits()


class World:
    """VMs, upstreams and the store of one test; call :meth:`start` first.

    Args:
        vms: zone by VM name.
        upstreams: upstream records.
        client: dials upstreams in place of the fakes.
    """

    def __init__(
        self,
        *,
        vms: dict[str, str],
        upstreams: tuple[UpstreamRecord, ...],
        client: UpstreamClient | None = None,
    ) -> None:
        self.store = FakeStore()
        self.upstreams = FakeUpstreams()
        self.steps = self.store.steps = self.upstreams.steps = Steps()
        self.client = client or self.upstreams
        self.records = tuple(
            VmRecord(name, zone, "region", name, False) for name, zone in vms.items()
        )
        self.listing = Listing(self.records, upstreams)
        self.link_fault: LinkFault = lambda number, message: (LINK_S,)
        self.message_count = 0
        self._in_transit: dict[tuple[str, str], list[tuple[float, int, Message]]] = {}
        self._message_numbers = itertools.count()
        self.cut_links: set[frozenset[str]] = set()
        self._silence_s: dict[tuple[str, str], float] = {}
        self._ids = itertools.count(1)
        self.vms = {record.name: FakeVm(self, record) for record in self.records}
        self._nursery: trio.Nursery | None = None

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return trio.current_time() * 1000

    def new_id(self) -> str:
        """Return a new id; the sequence is the same in each run."""
        return f"id{next(self._ids)}"

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all VMs, and wait until they have exchanged heartbeats."""
        self._nursery = nursery
        for vm in self.vms.values():
            vm.membership.apply_listing(self.listing)
            nursery.start_soon(vm.run)
        nursery.start_soon(self._exchange_heartbeats)
        await trio.sleep(0.01)

    def set_listing(self, listing: Listing) -> None:
        """Give every VM a new version of the platform's list."""
        self.listing = listing
        for vm in self.vms.values():
            vm.membership.apply_listing(listing)

    def deliver(self, sender: str, receiver: str, message: Message) -> bool:
        """Deliver a message; ``False`` if there is no link."""
        target = self.vms.get(receiver)
        if target is None or self._nursery is None:
            return False
        if frozenset((sender, receiver)) in self.cut_links:
            return False
        carried = decode(encode(message))
        self.message_count += 1
        link = self._in_transit.setdefault((sender, receiver), [])
        for delay_s in self.link_fault(self.message_count, carried):
            waits_s = delay_s if sender != receiver or delay_s != LINK_S else 0
            due_s = trio.current_time() + waits_s
            heapq.heappush(link, (due_s, next(self._message_numbers), carried))
            self._nursery.start_soon(
                self._deliver_later, sender, receiver, carried, waits_s
            )
        return True

    def boot(self, name: str) -> None:
        """Start a killed VM again, under the same name."""
        assert self._nursery is not None
        record = next(record for record in self.records if record.name == name)
        vm = FakeVm(self, record)
        vm.membership.apply_listing(self.listing)
        self.vms[name] = vm
        self._nursery.start_soon(vm.run)

    def remove_vm(self, name: str) -> None:
        """Remove a killed VM and break its links."""
        self.vms.pop(name, None)
        for vm in self.vms.values():
            vm.on_link_closed(name)

    async def call(
        self, vm: str, target: str, body: bytes, *, caller: str, **headers: str
    ) -> Answer:
        """Make one call to a VM and return its answer.

        Args:
            vm: the VM's name.
            target: path of the call.
            body: the body.
            caller: name of the caller, whose token is sent.
            headers: more headers, with ``_`` for ``-``.

        Returns:
            The answer; its status is 0 if the VM is gone.
        """
        collected = Collector()
        request_id = self.new_id()
        lines = [("authorization", f"Bearer {caller}-token")]
        lines += [(name.replace("_", "-"), value) for name, value in headers.items()]
        request = CallerRequest(
            request_id, "POST", target, tuple(lines), body, self.now_ms()
        )
        target_vm = self.vms.get(vm)
        if target_vm is None:
            return collected.answer()
        CURRENT_VM.set(vm)
        with trio.CancelScope() as scope:
            target_vm.call_scopes.add(scope)
            try:
                await target_vm.request_service.serve(
                    request, Responder(collected.send, request_id)
                )
            finally:
                target_vm.call_scopes.discard(scope)
        return collected.answer()

    async def chat(self, vm: str, caller: str, text: str, **fields: Any) -> Answer:
        """Make one model call."""
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 8,
            **fields,
        }
        return await self.call(
            vm, "/v1/chat/completions", json.dumps(body).encode(), caller=caller
        )

    async def _deliver_later(
        self, sender: str, receiver: str, message: Message, delay_s: float
    ) -> None:
        """Wait for a message's delay, then deliver the next message of its link.

        The messages of a link arrive in the order of their due times, as over a
        connection, whatever the order in which the waiting tasks run.
        """
        await trio.sleep(delay_s)
        await self.steps.reach(f"{type(message).__name__} arrives")
        await self.steps.wait_while_paused(receiver)
        _, _, first = heapq.heappop(self._in_transit[(sender, receiver)])
        target = self.vms.get(receiver)
        if target is not None and frozenset((sender, receiver)) not in self.cut_links:
            target.receive(sender, first)

    async def _exchange_heartbeats(self) -> None:
        while True:
            for vm in self.vms.values():
                vm.membership.record_pools(vm.name, vm.scheduler.summaries())
            for one, other in itertools.permutations(list(self.vms), 2):
                is_cut = frozenset((one, other)) in self.cut_links
                if is_cut or self.steps.is_paused(other):
                    self._miss_heartbeat(one, other)
                    continue
                self._silence_s[(one, other)] = 0.0
                self.vms[one].membership.on_heartbeat(
                    other,
                    self.now_ms(),
                    is_draining=self.vms[other].membership.is_draining,
                    refusals=self.vms[other].membership.refusals(),
                    pools=self.vms[other].scheduler.summaries(),
                )
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _miss_heartbeat(self, one: str, other: str) -> None:
        """Count a missed heartbeat; close the link after ``LINK_TIMEOUT_S``."""
        silence_s = self._silence_s.get((one, other), 0.0) + HEARTBEAT_INTERVAL_S
        self._silence_s[(one, other)] = silence_s
        if silence_s == LINK_TIMEOUT_S:
            self.vms[one].on_link_closed(other)
