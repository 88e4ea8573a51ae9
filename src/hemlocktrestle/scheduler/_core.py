"""Schedules one pool: queues permit requests and grants permits.

Does no I/O and reads no clock; callers pass in the time.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.documents import saturated
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.locality import ZoneReason
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.scheduler._chooser import CHOOSERS
from hemlocktrestle.scheduler._early_refusal import EARLY_REFUSALS, DeadlineForecast
from hemlocktrestle.scheduler._forecast import StartForecaster
from hemlocktrestle.scheduler._grant_pace import GrantPace
from hemlocktrestle.scheduler._heap import LazyHeap
from hemlocktrestle.scheduler._outgoing import Outgoing
from hemlocktrestle.scheduler._permits import permit_for
from hemlocktrestle.scheduler._policy import PoolPolicy
from hemlocktrestle.scheduler._queue import QUEUES, QueuedAsk
from hemlocktrestle.scheduler._queue_meter import QueueMeter, TierReport
from hemlocktrestle.scheduler._refusals import Refusals
from hemlocktrestle.scheduler._standing import StandingQueues
from hemlocktrestle.scheduler._upstream import InFlight, UpstreamModel
from hemlocktrestle.scheduler._upstream_set import UpstreamSet
from hemlocktrestle.scheduler._work import NO_WORK, WorkEstimates
from hemlocktrestle.wire import (
    NO_PART_LIMIT,
    Ask,
    PoolSummary,
    Pulse,
    Refusal,
    Release,
    Running,
    Withdraw,
)

STRAGGLER_CHECK_MS = 500.0
"""Interval between checks for stragglers, in milliseconds."""


class Preview(NamedTuple):
    """Where a request would go now.

    Args:
        is_served: whether an upstream may take such a request, free or not.
        record: the upstream that would take it, ``None`` if it would wait.
        expected_ms: expected time to its whole answer.
        reason: why it would stay in its zone or leave it, if it states one.
    """

    is_served: bool = True
    record: UpstreamRecord | None = None
    expected_ms: float = 0.0
    reason: ZoneReason | None = None


class PoolScheduler:
    """Queue, permits and upstream models of one pool in one scheduling domain.

    Args:
        pool: name of the model or plain service.
        policy: the registered decisions to use.
    """

    def __init__(self, pool: str, *, policy: PoolPolicy = PoolPolicy()) -> None:
        self.pool = pool
        self.policy = policy
        self._queue = QUEUES[policy.queue]()
        self._choose = CHOOSERS[policy.chooser]
        self._is_unmeetable = EARLY_REFUSALS[policy.early_refusal]
        self._upstreams = UpstreamSet(
            lambda record: UpstreamModel(
                record,
                slot_bound=policy.slot_bound,
                tier_shares=policy.tier_shares,
                prefill_share=policy.prefill_share,
                uses_prefixes=policy.uses_prefixes,
            ),
            detects_stragglers=policy.detects_stragglers,
        )
        self._deadlines: LazyHeap[tuple[float, str]] = LazyHeap(self._is_current)
        self._stragglers_checked_ms = float("-inf")
        self._pace = GrantPace()
        self._routes: dict[str, str] = {}
        self._zone_choices: Counter[ZoneReason] = Counter()
        self._work = WorkEstimates()
        self._forecaster = StartForecaster()
        self._meter = QueueMeter()
        self._standing = StandingQueues()
        self._refusals = Refusals(
            policy,
            queue=self._queue,
            upstreams=self._upstreams,
            forecaster=self._forecaster,
            meter=self._meter,
            standing=self._standing,
        )

    def set_upstreams(
        self, records: Iterable[UpstreamRecord], now_ms: float
    ) -> list[Outgoing]:
        """Update the set of upstreams that may be given work.

        Queued requests that no upstream of the domain can serve any more are
        refused, whatever their tier, so that no lower tier stays queued while a
        higher one is refused.
        """
        if not self._upstreams.update(records):
            return []
        outgoing = [
            self._refusals.return_to_requester(waiting, ErrorKind.NO_UPSTREAM)
            for waiting in self._queue.queued_asks()
            if not self._upstreams.serves(waiting.ask.excluded)
        ]
        return outgoing + self._grant(now_ms)

    def reserve(self, names: frozenset[str]) -> None:
        """Keep upstreams for :meth:`grant_reserved`, also ones that come later."""
        self._upstreams.reserve(names)

    def grant_reserved(self, vm: str, ask: Ask, now_ms: float) -> list[Outgoing]:
        """Grant a request a reserved upstream at once; empty if none has room."""
        model = self._upstreams.take_reserved(ask)
        if model is None:
            return []
        deadline_ms = now_ms + ask.deadline_ms
        waiting = QueuedAsk(ask, vm, now_ms, deadline_ms, deadline_ms, NO_WORK)
        return [self._assign(waiting, model, now_ms)]

    def route_of(self, ask_id: str) -> str:
        """Return the route of a request that was granted here and runs."""
        return self._routes.get(ask_id, "")

    def enqueue(self, vm: str, ask: Ask, now_ms: float) -> list[Outgoing]:
        """Queue a permit request; over the limit, shed from the lowest tier up."""
        self._queue.remove(ask.ask_id)
        if not self._upstreams.serves(ask.excluded):
            refusal = Refusal(ask.ask_id, ErrorKind.NO_UPSTREAM.value)
            return [Outgoing(vm, refusal)]
        waiting = QueuedAsk(
            ask,
            vm,
            now_ms,
            deadline_ms=now_ms + ask.deadline_ms,
            part_due_ms=(
                math.inf if ask.aim_ms == NO_PART_LIMIT else now_ms + ask.aim_ms
            ),
            work=self._work.expect(ask) if self.policy.forecasts_starts else NO_WORK,
        )
        self._queue.push(waiting)
        self._deadlines.push((waiting.give_up_ms, ask.ask_id))
        outgoing = self._grant(now_ms)
        if self.is_queued(ask.ask_id):
            outgoing += self._refusals.on_queued(waiting, now_ms)
        while len(self._queue) > self.policy.queued_count_max:
            outgoing += self._refusals.shed_last(now_ms)
        return outgoing

    def withdraw(self, withdraw: Withdraw, now_ms: float) -> list[Outgoing]:
        """Drop a permit request that its requester gave up, and its permit."""
        self._queue.remove(withdraw.ask_id)
        self._meter.forget(withdraw.ask_id)
        self._forget_running(withdraw.ask_id)
        self._upstreams.drop(withdraw.ask_id)
        return self._grant(now_ms)

    def release(self, release: Release, now_ms: float) -> list[Outgoing]:
        """Free the slot of a permit and learn from what its requester measured."""
        self._upstreams.finish(release, now_ms)
        route = self._forget_running(release.ask_id)
        if route is not None and release.sent and not release.failure:
            self._work.learn(route, release)
        return self._grant(now_ms)

    def record_running(self, vm: str, running: Running, now_ms: float) -> None:
        """Count a request that runs under a permit of an earlier scheduler."""
        item = InFlight(vm, running.prompt_tokens, running.output_tokens, now_ms)
        self._upstreams.adopt(running.upstream, running.ask_id, item)

    def on_requester_disconnected(self, vm: str, now_ms: float) -> list[Outgoing]:
        """Drop the permit requests and permits of a VM whose link broke."""
        for waiting in self._queue.queued_asks():
            if waiting.vm == vm:
                self._queue.remove(waiting.ask.ask_id)
                self._meter.forget(waiting.ask.ask_id)
        for ask_id in self._upstreams.remove_requester(vm):
            self._forget_running(ask_id)
        return self._grant(now_ms)

    def tick(self, now_ms: float) -> list[Outgoing]:
        """Refuse what can no longer be answered in time; check for stragglers."""
        outgoing = []
        while (entry := self._deadlines.peek()) is not None and entry[0] <= now_ms:
            waiting = self._queue.get(entry[1])
            if waiting is not None:
                kind = ErrorKind.DEADLINE_IN_QUEUE
                outgoing.append(self._refusals.refuse(waiting, kind, now_ms))
        self._standing.observe(self._queue.queued_asks(), now_ms)
        if self.policy.forecasts_starts:
            outgoing += self._refusals.refuse_in_vain(now_ms)
        if now_ms - self._stragglers_checked_ms >= STRAGGLER_CHECK_MS:
            self._stragglers_checked_ms = now_ms
            self._upstreams.check_stragglers(now_ms)
        return outgoing + self._grant(now_ms)

    def close(self) -> list[Outgoing]:
        """Refuse all queued requests, so that requesters ask another scheduler."""
        return self.return_queued(float("inf"))

    def return_queued(self, before_ms: float) -> list[Outgoing]:
        """Refuse the requests that were queued before a time, as on closing."""
        return [
            self._refusals.return_to_requester(waiting, ErrorKind.SCHEDULER_GONE)
            for waiting in self._queue.queued_asks()
            if waiting.arrived_ms < before_ms
        ]

    def summary(self, now_ms: float) -> PoolSummary:
        """Return the load of the pool, by which other VMs choose a domain."""
        queued_count = len(self._queue)
        wait_ms = saturated(queued_count * self._pace.gap_ms(now_ms))
        return PoolSummary(
            self.pool,
            queued_count,
            wait_ms,
            saturated(self._upstreams.free_slots),
            self._standing.highest_tier(now_ms),
        )

    def report_queue(self, now_ms: float) -> list[TierReport]:
        """Return what became of requests that waited since the last report."""
        return self._meter.report(self._queue.queued_asks(), now_ms)

    def preview(self, vm: str, ask: Ask, now_ms: float) -> Preview:
        """Return where a request would go now, and change nothing."""
        waiting = QueuedAsk(ask, vm, now_ms, deadline_ms=now_ms + ask.deadline_ms)
        if not self._upstreams.serves(ask.excluded):
            return Preview(is_served=False)
        model = self._choose(waiting, self._upstreams, now_ms)
        if model is None:
            return Preview()
        return Preview(
            True,
            model.record,
            model.expected_ms(ask, now_ms),
            self._upstreams.zone_reason(model, ask) if ask.zone else None,
        )

    def report_zones(self) -> Counter[ZoneReason]:
        """Return how often requests stayed in their zones since the last report."""
        reported, self._zone_choices = self._zone_choices, Counter()
        return reported

    def oldest_in_flight_ms(self, now_ms: float) -> float:
        """Return the age of the oldest request in flight, 0 if there is none.

        An age beyond every route's timeout means that its release was lost.
        """
        # Requests are added in order of time, so the first of each is its oldest.
        oldest_ms = [
            next(iter(model.in_flight.values())).since_ms
            for model in self._upstreams
            if model.in_flight
        ]
        return now_ms - min(oldest_ms, default=now_ms)

    def queued_asks(self) -> list[QueuedAsk]:
        """Return the queued permit requests, in no order."""
        return self._queue.queued_asks()

    @property
    def queued_count(self) -> int:
        """Number of queued permit requests."""
        return len(self._queue)

    def record_pulse(self, pulse: Pulse) -> None:
        """Learn from the progress report of a running stream."""
        self._upstreams.record_pulse(pulse)

    def is_queued(self, ask_id: str) -> bool:
        """Tell whether a permit request is queued."""
        return self._queue.get(ask_id) is not None

    def models(self) -> list[UpstreamModel]:
        """Return the models of the upstreams that take work."""
        return list(self._upstreams)

    def _grant(self, now_ms: float) -> list[Outgoing]:
        outgoing: list[Outgoing] = []
        self._upstreams.advance(now_ms)
        if not self._upstreams.has_room:
            return []
        for waiting in self._queue.in_service_order(self._upstreams.is_open):
            ask = waiting.ask
            model = self._choose(waiting, self._upstreams, now_ms)
            if model is None:
                continue
            remaining_ms = waiting.deadline_ms - now_ms
            idle_ms = self._upstreams.idle_ms(ask)
            prospect = DeadlineForecast(ask, model, idle_ms, remaining_ms, now_ms)
            if self._is_unmeetable(prospect):
                kind = ErrorKind.DEADLINE_UNMEETABLE
                outgoing.append(self._refusals.refuse(waiting, kind, now_ms))
                continue
            self._queue.serve(ask.ask_id)
            self._pace.record(waiting, now_ms)
            self._meter.record_granted(waiting, now_ms)
            self._forecaster.start(ask.ask_id, waiting.work)
            outgoing.append(self._assign(waiting, model, now_ms))
        return outgoing

    def _assign(
        self, waiting: QueuedAsk, model: UpstreamModel, now_ms: float
    ) -> Outgoing:
        ask = waiting.ask
        if ask.zone:
            self._zone_choices[self._upstreams.zone_reason(model, ask)] += 1
        self._upstreams.assign(model, ask, waiting.vm, now_ms)
        self._routes[ask.ask_id] = ask.route
        return permit_for(waiting, self.pool, model, now_ms)

    def _forget_running(self, ask_id: str) -> str | None:
        """Forget a request that ran; return its route, if it was granted here."""
        self._forecaster.end(ask_id)
        return self._routes.pop(ask_id, None)

    def _is_current(self, entry: tuple[float, str]) -> bool:
        waiting = self._queue.get(entry[1])
        return waiting is not None and waiting.give_up_ms == entry[0]
