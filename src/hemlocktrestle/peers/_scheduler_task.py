"""The task that owns the VM's pool schedulers and answers permit requests."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from hemlocktrestle.documents import saturated
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import Membership
from hemlocktrestle.peers._scheduler_log import log_queue, log_refusal, log_zones
from hemlocktrestle.peers._version_gate import (
    AnyVersionGate,
    PermittedAsk,
    VersionGate,
)
from hemlocktrestle.scheduler import (
    POLICY_DEFAULT,
    Outgoing,
    PoolScheduler,
    policy_named,
)
from hemlocktrestle.wire import (
    Ask,
    Message,
    Permit,
    PoolSummary,
    Pulse,
    Queued,
    Refusal,
    Release,
    Running,
    Withdraw,
)

INBOX_MESSAGES_MAX = 8_192
"""Capacity of the inbox, in messages.

The task that posts a message beyond it processes the whole inbox at once, which
bounds the memory without dropping anything.
"""

TICK_INTERVAL_S = 0.1
"""Interval between checks of deadlines, in seconds."""

TICKS_PER_REFRESH = 5
"""Checks of deadlines per check of the upstreams and of the pools' assignment."""

TICKS_PER_REPORT = 10
"""Checks of deadlines per log line about the requests that wait."""

HAND_BACK_DELAY_MS = 1_000.0
"""Delay before a VM hands back the queue of a pool that it lost, in milliseconds.

The requesting VMs use it to report their running requests to the new scheduler.
"""


class QuotaGate(Protocol):
    """Charges permit requests to the quotas of their customers."""

    def admit(self, ask: Ask) -> float | None:
        """Charge a request; if over the quota, return the delay of a retry in ms."""
        ...

    def refund(self, ask: Ask) -> None:
        """Refund the charge of a request that got no permit."""
        ...


class UnlimitedQuotaGate:
    """Admits every permit request."""

    def admit(self, ask: Ask) -> float | None:
        """Return ``None``."""
        return None

    def refund(self, ask: Ask) -> None:
        """Do nothing: nothing was charged."""


class _Received(NamedTuple):
    vm: str
    message: Message
    received_ms: float


class _RequesterDisconnected(NamedTuple):
    vm: str


class SchedulerTask:
    """Owns the schedulers of the pools that are assigned to this VM.

    Args:
        membership: upstreams, and which VM schedules which pool.
        reply: sends a reply to a requesting VM; ``False`` if its link has closed.
        now_ms: returns the time of the process in milliseconds.
        policy: returns the name of the policy for schedulers created from now on.
        acknowledges: whether to send ``Queued`` for a request that has to wait.
        gate: charges permit requests to quotas.
        versions: decides which upstreams of a pool may be used.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        reply: Callable[[str, Message], bool],
        now_ms: Callable[[], float],
        policy: Callable[[], str] = lambda: POLICY_DEFAULT,
        acknowledges: bool = False,
        gate: QuotaGate = UnlimitedQuotaGate(),
        versions: VersionGate = AnyVersionGate(),
    ) -> None:
        self._versions = versions
        self._gate = gate
        self._charged: dict[str, Ask] = {}
        self._acknowledges = acknowledges
        self._membership = membership
        self._reply = reply
        self._now_ms = now_ms
        self._policy = policy
        self._schedulers: dict[str, PoolScheduler] = {}
        self._reassigned_at_ms: dict[str, float] = {}
        self._inbox: deque[_Received | _RequesterDisconnected] = deque()
        self._is_processing = False
        self._inbox_ready = trio.Event()
        self._inbox_wait_ms = 0.0
        self._has_schedulers = trio.Event()

    def on_message(self, vm: str, message: Message) -> None:
        """Queue a message of a requesting VM."""
        self._post(_Received(vm, message, self._now_ms()))

    def on_requester_disconnected(self, vm: str) -> None:
        """Queue the event that the link from a requesting VM has closed."""
        self._post(_RequesterDisconnected(vm))

    def summaries(self) -> tuple[PoolSummary, ...]:
        """Return the summaries of the pools scheduled here, for other VMs."""
        now_ms = self._now_ms()
        return tuple(
            scheduler.summary(now_ms) for scheduler in self._schedulers.values()
        )

    @property
    def inbox_wait_ms(self) -> float:
        """Time that the last handled message waited in the inbox, in milliseconds."""
        return self._inbox_wait_ms

    def oldest_queued_ms(self) -> dict[str, float]:
        """Return the age of the oldest queued request, by pool, in milliseconds."""
        now_ms = self._now_ms()
        return {
            pool: now_ms
            - min((item.arrived_ms for item in scheduler.queued_asks()), default=now_ms)
            for pool, scheduler in self._schedulers.items()
        }

    def oldest_in_flight_ms(self) -> dict[str, float]:
        """Return the age of the oldest request in flight, by pool, in milliseconds."""
        now_ms = self._now_ms()
        return {
            pool: scheduler.oldest_in_flight_ms(now_ms)
            for pool, scheduler in self._schedulers.items()
        }

    def schedulers(self) -> dict[str, PoolScheduler]:
        """Return the schedulers by pool."""
        return dict(self._schedulers)

    def hand_over(self) -> None:
        """Refuse queued requests of reassigned pools; requesters ask the successor.

        A VM that leaves but has no other VM in reach goes on scheduling its pools.
        """
        for pool, scheduler in list(self._schedulers.items()):
            if not self._may_queue(pool):
                self._send(scheduler, scheduler.close())

    def refresh(self) -> None:
        """Apply the upstreams that are known now to all pools."""
        for pool in list(self._schedulers):
            self._refresh(pool)

    async def run(self) -> None:
        """Handle messages and time until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            while True:
                await self._inbox_ready.wait()
                self._inbox_ready = trio.Event()
                self._process_inbox()

    def _post(self, item: _Received | _RequesterDisconnected) -> None:
        """Queue an item; if the inbox is full, process it at once.

        Refusing a message here could refuse a high tier while a lower one is
        queued, and dropping a release would leak its slot.
        """
        self._inbox.append(item)
        self._inbox_ready.set()
        if len(self._inbox) > INBOX_MESSAGES_MAX:
            self._process_inbox()

    def _process_inbox(self) -> None:
        """Handle all items; a message sent by a handler is queued at the end."""
        if self._is_processing:
            return
        self._is_processing = True
        try:
            while self._inbox:
                self._handle(self._inbox.popleft())
        finally:
            self._is_processing = False

    def _handle(self, item: _Received | _RequesterDisconnected) -> None:
        if isinstance(item, _RequesterDisconnected):
            self._versions.on_requester_disconnected(item.vm)
            for scheduler in self._schedulers.values():
                self._send(
                    scheduler,
                    scheduler.on_requester_disconnected(item.vm, self._now_ms()),
                )
            return
        self._inbox_wait_ms = self._now_ms() - item.received_ms
        _HANDLERS[type(item.message)](self, item.vm, item.message)

    def _handle_ask(self, vm: str, ask: Ask) -> None:
        if not self._may_queue(ask.pool):
            self._reply(vm, Refusal(ask.ask_id, ErrorKind.SCHEDULER_GONE.value))
            return
        scheduler = self._scheduler_for(ask.pool)
        if ask.amount:
            wait_ms = self._gate.admit(ask)
            if wait_ms is not None:
                kind = ErrorKind.RATE_LIMITED.value
                self._reply(vm, Refusal(ask.ask_id, kind, saturated(wait_ms)))
                return
            self._charged[ask.ask_id] = ask
        if self._versions.takes_canary(ask):
            permitted = scheduler.grant_reserved(vm, ask, self._now_ms())
            if permitted:
                self._send(scheduler, permitted)
                return
        self._send(scheduler, scheduler.enqueue(vm, ask, self._now_ms()))
        if self._acknowledges and scheduler.is_queued(ask.ask_id):
            self._reply(vm, Queued(ask.ask_id))

    def _handle_release(self, vm: str, release: Release) -> None:
        now_ms = self._now_ms()
        if release.failure == ErrorKind.UPSTREAM_REFUSED.value:
            self._membership.record_refusal(release.upstream, now_ms)
            self._refresh(release.pool)
        elif release.failure == ErrorKind.UPSTREAM_SILENT.value and not release.sent:
            self._membership.record_connect_timeout(release.upstream, vm, now_ms)
            self._refresh(release.pool)
        self._versions.on_release(release)
        scheduler = self._scheduler_for(release.pool)
        self._send(scheduler, scheduler.release(release, self._now_ms()))

    def _handle_withdraw(self, vm: str, withdraw: Withdraw) -> None:
        scheduler = self._scheduler_for(withdraw.pool)
        self._refund(withdraw.ask_id)
        self._versions.on_dropped(withdraw.ask_id)
        self._send(scheduler, scheduler.withdraw(withdraw, self._now_ms()))

    def _handle_running(self, vm: str, running: Running) -> None:
        self._scheduler_for(running.pool).record_running(vm, running, self._now_ms())

    def _handle_pulse(self, vm: str, pulse: Pulse) -> None:
        self._versions.on_pulse(pulse)
        self._scheduler_for(pulse.pool).record_pulse(pulse)

    def _may_queue(self, pool: str) -> bool:
        """Tell whether requests for a pool may be queued here.

        Only a VM that leaves refuses them: the VMs' views of the assignment differ
        for a moment, and two schedulers of a pool cost less than none.
        """
        membership = self._membership
        if not membership.is_draining:
            return True
        domain = membership.domain
        return (
            membership.scheduler_of(pool, domain, self._now_ms()) == membership.vm.name
        )

    def _scheduler_for(self, pool: str) -> PoolScheduler:
        scheduler = self._schedulers.get(pool)
        if scheduler is None:
            scheduler = PoolScheduler(pool, policy=policy_named(self._policy()))
            self._schedulers[pool] = scheduler
            self._has_schedulers.set()
            self._refresh(pool)
        return scheduler

    def _refresh(self, pool: str) -> None:
        now_ms = self._now_ms()
        scheduler = self._scheduler_for(pool)
        records = self._membership.upstreams(pool, self._membership.domain, now_ms)
        usable = self._versions.usable(pool, records)
        scheduler.reserve(usable.reserved)
        self._send(scheduler, scheduler.set_upstreams(usable.records, now_ms))

    async def _tick(self) -> None:
        ticks = 0
        while True:
            # Most VMs schedule no pool, and a fleet of them would wake for nothing.
            await self._has_schedulers.wait()
            await trio.sleep(TICK_INTERVAL_S)
            ticks += 1
            self.hand_over()
            for pool, scheduler in list(self._schedulers.items()):
                if ticks % TICKS_PER_REFRESH == 0:
                    # Refusals of upstreams expire without a message.
                    self._refresh(pool)
                    self._hand_back(pool, scheduler)
                self._send(scheduler, scheduler.tick(self._now_ms()))
                if ticks % TICKS_PER_REPORT == 0:
                    log_queue(scheduler, self._now_ms())
                    log_zones(scheduler)

    def _hand_back(self, pool: str, scheduler: PoolScheduler) -> None:
        """Return queued requests of a pool that another VM schedules now.

        One queue then orders all of the pool's requests.  This waits for
        ``HAND_BACK_DELAY_MS``, so that requesting VMs can first report to that VM what
        they have running.
        """
        now_ms = self._now_ms()
        own = self._membership.vm
        domain = self._membership.domain
        if self._membership.scheduler_of(pool, domain, now_ms) == own.name:
            self._reassigned_at_ms.pop(pool, None)
        elif (
            now_ms - self._reassigned_at_ms.setdefault(pool, now_ms)
            >= HAND_BACK_DELAY_MS
        ):
            self._send(scheduler, scheduler.return_queued(now_ms - HAND_BACK_DELAY_MS))

    def _send(self, scheduler: PoolScheduler, outgoing: list[Outgoing]) -> None:
        """Send messages; withdraw a permit that cannot be sent, to free its slot."""
        waiting = deque(outgoing)
        while waiting:
            vm, message, forecast = waiting.popleft()
            if isinstance(message, Refusal):
                log_refusal(
                    scheduler,
                    Outgoing(vm, message, forecast),
                    inbox_wait_ms=self._inbox_wait_ms,
                    now_ms=self._now_ms(),
                )
                self._refund(message.ask_id)
            elif isinstance(message, Permit):
                self._charged.pop(message.ask_id, None)
                self._versions.on_permit(_permitted(scheduler, vm, message))
            if not self._reply(vm, message) and isinstance(message, Permit):
                withdraw = Withdraw(message.ask_id, message.pool)
                self._versions.on_dropped(message.ask_id)
                waiting += scheduler.withdraw(withdraw, self._now_ms())

    def _refund(self, ask_id: str) -> None:
        ask = self._charged.pop(ask_id, None)
        if ask is not None:
            self._gate.refund(ask)


def _permitted(scheduler: PoolScheduler, vm: str, permit: Permit) -> PermittedAsk:
    route = scheduler.route_of(permit.ask_id)
    return PermittedAsk(permit.ask_id, vm, permit.pool, route, permit.upstream)


_HANDLERS: dict[type, Callable[..., None]] = {
    Ask: SchedulerTask._handle_ask,
    Release: SchedulerTask._handle_release,
    Withdraw: SchedulerTask._handle_withdraw,
    Running: SchedulerTask._handle_running,
    Pulse: SchedulerTask._handle_pulse,
}
