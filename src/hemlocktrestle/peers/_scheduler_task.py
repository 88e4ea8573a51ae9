"""The task that owns the VM's pool keepers and answers asks."""

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

import trio

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import Membership
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
"""Messages that may wait for the keeper; one more is paid for by its sender."""

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.peers._keeper_task")

TICK_S = 0.1
"""Time between checks of deadlines, in seconds."""

TICKS_PER_REFRESH = 5
"""Checks of deadlines between checks of upstreams and roles."""

HAND_BACK_MS = 1_000.0
"""How long an ask stays with a VM that does not keep its pool, in milliseconds."""


class QuotaGate(Protocol):
    """Counts asks against the quotas of customers."""

    def admit(self, ask: Ask) -> float | None:
        """Count an ask; returns the time to come again in if it is over the quota."""
        ...

    def refund(self, ask: Ask) -> None:
        """Give back what an ask counted that got no permit."""
        ...


class OpenGate:
    """Lets every ask pass."""

    def admit(self, ask: Ask) -> float | None:
        """Return ``None``."""
        return None

    def refund(self, ask: Ask) -> None:
        """Do nothing: nothing was counted."""


class _Letter(NamedTuple):
    vm: str
    message: Message


class _RequesterLost(NamedTuple):
    vm: str


class SchedulerTask:
    """Owns the keepers of the pools that fall to this VM.

    Args:
        membership: upstreams and roles.
        reply: answers a holder; ``False`` if it is gone.
        now_ms: returns the time of the process in milliseconds.
        policy: returns the name of the policy for keepers made from now on.
        acknowledges: whether holders are told that their asks wait.
        gate: counts asks against quotas.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        reply: Callable[[str, Message], bool],
        now_ms: Callable[[], float],
        policy: Callable[[], str] = lambda: POLICY_DEFAULT,
        acknowledges: bool = False,
        gate: QuotaGate = OpenGate(),
    ) -> None:
        self._gate = gate
        self._counted: dict[str, Ask] = {}
        self._acknowledges = acknowledges
        self._membership = membership
        self._reply = reply
        self._now_ms = now_ms
        self._policy = policy
        self._pools: dict[str, PoolScheduler] = {}
        self._lost_ms: dict[str, float] = {}
        self._inbox: deque[_Letter | _RequesterLost] = deque()
        self._is_draining = False
        self._has_mail = trio.Event()

    def on_message(self, vm: str, message: Message) -> None:
        """Queue a holder's message."""
        self._post(_Letter(vm, message))

    def on_requester_disconnected(self, vm: str) -> None:
        """Take note that the link from a holder broke."""
        self._post(_RequesterLost(vm))

    def summaries(self) -> tuple[PoolSummary, ...]:
        """Return what other VMs need to know of the pools kept here."""
        now_ms = self._now_ms()
        return tuple(scheduler.summary(now_ms) for scheduler in self._pools.values())

    def schedulers(self) -> dict[str, PoolScheduler]:
        """Return the keepers by pool."""
        return dict(self._pools)

    def hand_over(self) -> None:
        """Send waiting asks back, so that their holders ask the next keeper.

        A VM that leaves and reaches no other goes on keeping its pools.
        """
        for pool, scheduler in list(self._pools.items()):
            if not self._keeps(pool):
                self._send(scheduler, scheduler.close())

    async def run(self) -> None:
        """Handle messages and time until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tick)
            while True:
                await self._has_mail.wait()
                self._has_mail = trio.Event()
                self._drain()

    def _post(self, item: _Letter | _RequesterLost) -> None:
        """Queue an item; a full inbox is worked off at once and drops nothing.

        To refuse here would turn away a high tier while a lower one waits, and to
        drop a release would lose its slot for ever.
        """
        self._inbox.append(item)
        self._has_mail.set()
        if len(self._inbox) > INBOX_MESSAGES_MAX:
            self._drain()

    def _drain(self) -> None:
        """Handle all items; a message that this brings about joins the end."""
        if self._is_draining:
            return
        self._is_draining = True
        try:
            while self._inbox:
                self._handle(self._inbox.popleft())
        finally:
            self._is_draining = False

    def _handle(self, item: _Letter | _RequesterLost) -> None:
        if isinstance(item, _RequesterLost):
            for scheduler in self._pools.values():
                self._send(
                    scheduler,
                    scheduler.on_requester_disconnected(item.vm, self._now_ms()),
                )
            return
        _HANDLERS[type(item.message)](self, item.vm, item.message)

    def _ask(self, vm: str, ask: Ask) -> None:
        if not self._keeps(ask.pool):
            self._reply(vm, Refusal(ask.ask_id, ErrorKind.SCHEDULER_GONE.value))
            return
        scheduler = self._scheduler(ask.pool)
        if ask.amount:
            wait_ms = self._gate.admit(ask)
            if wait_ms is not None:
                kind = ErrorKind.RATE_LIMITED.value
                self._reply(vm, Refusal(ask.ask_id, kind, int(wait_ms)))
                return
            self._counted[ask.ask_id] = ask
        self._send(scheduler, scheduler.enqueue(vm, ask, self._now_ms()))
        if self._acknowledges and scheduler.is_queued(ask.ask_id):
            self._reply(vm, Queued(ask.ask_id))

    def _release(self, vm: str, release: Release) -> None:
        if release.failure == ErrorKind.UPSTREAM_REFUSED.value:
            self._membership.record_refusal(release.upstream, self._now_ms())
            self._refresh(release.pool)
        scheduler = self._scheduler(release.pool)
        self._send(scheduler, scheduler.release(release, self._now_ms()))

    def _withdraw(self, vm: str, withdraw: Withdraw) -> None:
        scheduler = self._scheduler(withdraw.pool)
        self._refund(withdraw.ask_id)
        self._send(scheduler, scheduler.withdraw(withdraw, self._now_ms()))

    def _running(self, vm: str, running: Running) -> None:
        self._scheduler(running.pool).record_running(vm, running, self._now_ms())

    def _pulse(self, vm: str, pulse: Pulse) -> None:
        self._scheduler(pulse.pool).record_pulse(pulse)

    def _keeps(self, pool: str) -> bool:
        """Tell whether asks for a pool may wait here.

        Only a VM that leaves turns asks away: views differ for a moment, and two
        keepers cost less than none.
        """
        membership = self._membership
        if not membership.is_draining:
            return True
        domain = membership.domain
        return (
            membership.scheduler_of(pool, domain, self._now_ms()) == membership.vm.name
        )

    def _scheduler(self, pool: str) -> PoolScheduler:
        scheduler = self._pools.get(pool)
        if scheduler is None:
            scheduler = PoolScheduler(pool, policy=policy_named(self._policy()))
            self._pools[pool] = scheduler
            self._refresh(pool)
        return scheduler

    def _refresh(self, pool: str) -> None:
        now_ms = self._now_ms()
        scheduler = self._scheduler(pool)
        records = self._membership.upstreams(pool, self._membership.domain, now_ms)
        self._send(scheduler, scheduler.set_upstreams(records, now_ms))

    async def _tick(self) -> None:
        ticks = 0
        while True:
            await trio.sleep(TICK_S)
            ticks += 1
            self.hand_over()
            for pool, scheduler in list(self._pools.items()):
                if ticks % TICKS_PER_REFRESH == 0:
                    self._refresh(pool)
                    self._hand_back(pool, scheduler)
                self._send(scheduler, scheduler.tick(self._now_ms()))

    def _hand_back(self, pool: str, scheduler: PoolScheduler) -> None:
        """Send asks to the VM that keeps the pool now, so that one queue orders all.

        It waits a moment, so that holders first tell that VM what they run.
        """
        now_ms = self._now_ms()
        own = self._membership.vm
        domain = self._membership.domain
        if self._membership.scheduler_of(pool, domain, now_ms) == own.name:
            self._lost_ms.pop(pool, None)
        elif now_ms - self._lost_ms.setdefault(pool, now_ms) >= HAND_BACK_MS:
            self._send(scheduler, scheduler.hand_back(now_ms - HAND_BACK_MS))

    def _send(self, scheduler: PoolScheduler, outgoing: list[Outgoing]) -> None:
        """Send messages; a permit that cannot be sent frees its slot for the next."""
        waiting = deque(outgoing)
        while waiting:
            vm, message = waiting.popleft()
            if isinstance(message, Refusal):
                self._log_refusal(scheduler, vm, message)
                self._refund(message.ask_id)
            elif isinstance(message, Permit):
                self._counted.pop(message.ask_id, None)
            if not self._reply(vm, message) and isinstance(message, Permit):
                withdraw = Withdraw(message.ask_id, message.pool)
                waiting += scheduler.withdraw(withdraw, self._now_ms())

    def _refund(self, ask_id: str) -> None:
        ask = self._counted.pop(ask_id, None)
        if ask is not None:
            self._gate.refund(ask)

    def _log_refusal(self, scheduler: PoolScheduler, vm: str, refusal: Refusal) -> None:
        log.info(
            "ask_refused",
            extra={
                "ask": refusal.ask_id,
                "holder": vm,
                "reason": refusal.kind,
                "pool": scheduler.pool,
                "queued_count": scheduler.queued_count,
                "in_hand": {
                    model.record.name: f"{len(model.in_flight)}/{model.slots}"
                    for model in scheduler.models()
                },
            },
        )


_HANDLERS: dict[type, Callable[..., None]] = {
    Ask: SchedulerTask._ask,
    Release: SchedulerTask._release,
    Withdraw: SchedulerTask._withdraw,
    Running: SchedulerTask._running,
    Pulse: SchedulerTask._pulse,
}
