"""Leads the orders: records their phases, and grants them to all VMs.

The scheduler of the first region leads.  Two leaders at once do no harm: each change
of a record is conditional on its revision, and an outcome is never changed.
"""

import logging
from collections.abc import Callable, Iterable

import trio

from hemlocktrestle.edge.rollouts._records import (
    RECORDS_PREFIX,
    decode_record,
    encode_record,
)
from hemlocktrestle.edge.rollouts._reports import Reports
from hemlocktrestle.edge.rollouts._rollouts import Rollouts, log_verdict
from hemlocktrestle.errors import RequestError
from hemlocktrestle.platform import (
    STATUS_PREFIX,
    PlatformStore,
    StoreError,
    StoreErrorKind,
    encode_status,
)
from hemlocktrestle.rollout import (
    FINAL_PHASES,
    Judge,
    LeaderView,
    Order,
    Phase,
    RolloutRecord,
    next_phase,
    schedule,
)
from hemlocktrestle.wire import Message, RolloutGrant, RolloutReport

log = logging.getLogger(__name__)

ROUND_S = 0.25
"""Time between the leader's rounds, in seconds."""

OUTCOME_ROUNDS = 8
"""Rounds between repeated grants of an outcome, for VMs that have just started."""

STORE_RETRY_MS = 500.0
"""Pause after a failed call to the store, in milliseconds."""


class _Lead:
    """One order that this VM leads; ``record`` is ``None`` until it was read."""

    def __init__(self, order: Order, read_count: int) -> None:
        self.order = order
        self.read_count = read_count
        self.reports = Reports(order)
        self.judge = Judge()
        self.record: RolloutRecord | None = None
        self.retry_ms = float("-inf")
        self.rounds = 0


class RolloutLeader:
    """Leads the orders while this VM has the role.

    Args:
        rollouts: the orders that this VM knows.
        store: the platform's store.
        vm: name of this VM.
        is_leader: tells whether this VM has the role.
        vms: returns the names of all VMs that are listed.
        broadcast: sends a message to all VMs that are linked.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        rollouts: Rollouts,
        store: PlatformStore,
        vm: str,
        *,
        is_leader: Callable[[], bool],
        vms: Callable[[], Iterable[str]],
        broadcast: Callable[[Message], None],
        now_ms: Callable[[], float],
    ) -> None:
        self._rollouts = rollouts
        self._store = store
        self._vm = vm
        self._is_leader = is_leader
        self._vms = vms
        self._broadcast = broadcast
        self._now_ms = now_ms
        self._leads: dict[str, _Lead] = {}

    def on_report(self, vm: str, message: Message) -> None:
        """Record a report; a verdict stops the target everywhere at once."""
        if not isinstance(message, RolloutReport):
            return
        lead = self._leads.get(message.service)
        if lead is None:
            return
        lead.reports.record(vm, message, self._now_ms())
        if lead.reports.is_bad:
            self._stop(lead)

    async def run(self) -> None:
        """Lead until cancelled, whenever this VM has the role."""
        # An idle VM of a large fleet is not woken for nothing.
        await self._rollouts.has_orders.wait()
        async with trio.open_nursery() as nursery:
            # Grants go on while a call to the store takes its time.
            nursery.start_soon(self._grant_periodically)
            while True:
                await trio.sleep(ROUND_S)
                await self.advance()

    async def _grant_periodically(self) -> None:
        while True:
            self.grant()
            await trio.sleep(ROUND_S)

    def grant(self) -> None:
        """Grant the phases in force to all VMs, if this VM leads."""
        if not self._is_leader():
            self._leads.clear()
            return
        for service, follower in list(self._rollouts.followers.items()):
            order = follower.order
            if order is None:
                continue
            lead = self._leads.get(service)
            if lead is None or lead.order != order:
                lead = self._leads[service] = _Lead(order, -1)
            self._grant(lead)

    async def advance(self) -> None:
        """Record the phases that are due."""
        for service, lead in list(self._leads.items()):
            try:
                await self._advance(lead)
            except StoreError as error:
                lead.record = None
                lead.retry_ms = self._now_ms() + STORE_RETRY_MS
                log.warning(
                    "rollout_not_recorded",
                    extra={"service": service, "reason": str(error)},
                )

    async def _advance(self, lead: _Lead) -> None:
        """Record the phase that is due, if any."""
        now_ms = self._now_ms()
        if now_ms < lead.retry_ms:
            return
        if lead.record is None or lead.read_count != self._rollouts.read_count:
            await self._load(lead)
        record = lead.record
        follower = self._rollouts.followers[lead.order.service]
        if record is None or follower.order != lead.order:
            return
        self._examine(lead)
        phase = self._next_phase(lead, record)
        if phase is not None:
            await self._write(lead, phase, expected=record.revision)

    async def _load(self, lead: _Lead) -> None:
        """Read the record of an order, and write what the store lacks.

        What this VM knows to be decided is written again if the store has lost it.
        """
        order = lead.order
        read_count = self._rollouts.read_count
        item, _ = await self._store.get(RECORDS_PREFIX + order.service)
        status, _ = await self._store.get(STATUS_PREFIX + order.service)
        found: RolloutRecord | None = None
        if item is not None:
            try:
                found = decode_record(order.service, item.value, item.revision.number)
            except RequestError as error:
                log.error("rollout_record_refused", extra={"reason": error.message})
        revision = item.revision.number if item is not None else 0
        known = self._rollouts.followers[order.service].phase
        if found is None or found.order != order:
            phase = Phase.CANARY if known is Phase.STOPPED else known
            await self._write(lead, phase, expected=revision)
        elif known in FINAL_PHASES and found.phase not in FINAL_PHASES:
            await self._write(lead, known, expected=revision)
        elif status is None or status.value != encode_status(order, found.phase):
            await self._write(lead, found.phase, expected=revision)
        else:
            lead.record = found
        lead.read_count = read_count
        self._grant(lead)

    def _examine(self, lead: _Lead) -> None:
        """Judge the target by the counts of all schedulers."""
        order, rollouts = lead.order, self._rollouts
        follower = rollouts.followers[order.service]
        if not follower.is_running or follower.phase is Phase.STOPPED:
            return
        ready = [found.version for found in rollouts.versions.ready(order.service)]
        verdict = lead.judge.examine(
            lead.reports.tallies(),
            self._now_ms(),
            replica_count=ready.count(order.target),
        )
        if verdict is not None:
            log_verdict(order, verdict, follower.elapsed_ms(self._now_ms()))
            self._stop(lead)

    def _stop(self, lead: _Lead) -> None:
        follower = self._rollouts.followers.get(lead.order.service)
        if follower is None or follower.order != lead.order or not follower.stop():
            return
        log.warning(
            "rollout_stopped",
            extra={"service": lead.order.service, "target": lead.order.target},
        )
        self._grant(lead)
        self._rollouts.on_changed()

    def _next_phase(self, lead: _Lead, record: RolloutRecord) -> Phase | None:
        now_ms = self._now_ms()
        order, rollouts = lead.order, self._rollouts
        follower = rollouts.followers[order.service]
        # A VM that has led before may have heard of the order earlier.
        follower.begin(order, now_ms, elapsed_ms=lead.reports.elapsed_ms)
        ready = rollouts.versions.ready(order.service)
        target_slots = sum(
            found.slots for found in ready if found.version == order.target
        )
        old_slots = sum(found.slots for found in ready) - target_slots
        confirmation = lead.reports.confirmation(self._vms(), now_ms)
        view = LeaderView(
            record.phase,
            follower.elapsed_ms(now_ms),
            schedule(order.duration_ms, lead.reports.drain_ms),
            follower.phase is Phase.STOPPED,
            target_slots,
            old_slots,
            confirmation.is_unused,
            confirmation.unheard_count,
        )
        phase = next_phase(view)
        if phase is not None:
            log.info(
                "rollout_advances",
                extra={
                    "service": order.service,
                    "target": order.target,
                    "to": phase.value,
                    "from": record.phase.value,
                    **_inputs(view),
                },
            )
        return phase

    async def _write(self, lead: _Lead, phase: Phase, *, expected: int) -> None:
        """Record a phase, with the status that the operator reads."""
        order = lead.order
        try:
            revision = await self._store.write(
                {
                    RECORDS_PREFIX + order.service: encode_record(order, phase),
                    STATUS_PREFIX + order.service: encode_status(order, phase),
                },
                expected={RECORDS_PREFIX + order.service: expected},
            )
        except StoreError as error:
            lead.record = None
            if error.kind is not StoreErrorKind.CONDITION_FAILED:
                raise
            log.info("rollout_record_changed", extra={"service": order.service})
            return
        lead.record = RolloutRecord(order, phase, revision.number)
        log.info(
            "rollout_recorded",
            extra={
                "service": order.service,
                "target": order.target,
                "phase": phase.value,
                **revision.log_fields(),
            },
        )
        self._grant(lead)

    def _grant(self, lead: _Lead) -> None:
        """Send the phase in force to all VMs, this one included.

        Without a record, as while the store is away, the phase that this VM knows
        stays in force; an order that was never recorded is not granted.
        """
        follower = self._rollouts.followers[lead.order.service]
        record = lead.record
        phase = record.phase if record is not None else follower.phase
        if record is None and not follower.has_been_granted:
            return
        if follower.phase is Phase.STOPPED and phase not in FINAL_PHASES:
            phase = Phase.STOPPED
        lead.rounds += 1
        is_known = phase in FINAL_PHASES and follower.phase is phase
        if is_known and lead.rounds % OUTCOME_ROUNDS:
            return
        order = lead.order
        grant = RolloutGrant(
            order.service,
            order.target,
            order.duration_ms,
            phase.value,
            follower.elapsed_ms(self._now_ms()),
            record.revision if record is not None else 0,
        )
        self._broadcast(grant)
        self._rollouts.on_grant(self._vm, grant)


def _inputs(view: LeaderView) -> dict[str, object]:
    """Return what decided on a phase, for the log."""
    return {
        "elapsed_ms": round(view.elapsed_ms),
        "shift_ms": round(view.times.shift_ms),
        "complete_ms": round(view.times.complete_ms),
        "is_bad": view.is_bad,
        "target_slots": view.target_slots,
        "old_slots": view.old_slots,
        "old_is_unused": view.old_is_unused,
        "unheard_count": view.unheard_count,
    }
