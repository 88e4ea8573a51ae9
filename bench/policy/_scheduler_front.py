"""The real scheduling code behind the benchmark's interface.

It covers pool schedulers, choice of zones, spill budgets and cost estimates.
"""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from bench.policy._engine import BATCH_MAX, Engine, Job
from bench.policy._front import EngineCalls, link_ms, region_of
from bench.policy._loop import Loop
from bench.policy._trace import Request
from hemlocktrestle.entry import CostEstimator
from hemlocktrestle.locality import LinkRoom
from hemlocktrestle.membership import UpstreamRecord, ZoneLoad, order_zones
from hemlocktrestle.scheduler import (
    Outgoing,
    PoolPolicy,
    PoolScheduler,
    QueuedAsk,
    UpstreamModel,
    chooser,
    slot_bound,
)
from hemlocktrestle.scheduler._chooser import CandidateSource
from hemlocktrestle.scheduler._slots import SlotObservation
from hemlocktrestle.wire import Ask, Permit, PoolSummary, Refusal, Release, Withdraw

POOL = "assistant"
TICK_MS = 100.0
HEARTBEAT_MS = 500.0
BYTES_PER_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 200
SPILL_BYTES_PER_MS = 15e6 / 8 / 1000 / 2


class Forecast(NamedTuple):
    """Relative errors of a forecast made when the permit was granted.

    ``first`` is the error of the time to the first token, ``end`` of the total time.
    """

    first: float
    end: float


class Variant(NamedTuple):
    """The policy, and which decisions of the requesting VM are enabled.

    ``knows_all`` makes the oracle: one scheduler for all zones that knows the output
    length of each request and the actual state of each engine.
    """

    policy: PoolPolicy = PoolPolicy()
    learns_cost: bool = True
    chooses_zone: bool = True
    has_spill_budget: bool = True
    knows_all: bool = False


@slot_bound("engine_batch")
class EngineBatch:
    """A slot bound equal to the engine's true batch size; for the oracle only."""

    slots = BATCH_MAX

    def learn(self, observation: SlotObservation) -> None:
        """Learn nothing."""

    def record_timeout(self, now_ms: float) -> None:
        """Learn nothing."""


class PendingRequest:
    """A request at its requesting VM, with the zones that it has not asked yet."""

    __slots__ = ("ask", "is_over", "is_sent", "request", "zones")

    def __init__(self, request: Request, ask: Ask, zones: list[str]) -> None:
        self.request = request
        self.ask = ask
        self.zones = zones
        self.is_sent = False
        self.is_over = False


class SchedulerFront:
    """Requesting VMs in each zone, and one pool scheduler per zone."""

    def __init__(self, loop: Loop, engines: list[Engine], variant: Variant) -> None:
        self._loop = loop
        self._variant = variant
        self._calls = EngineCalls(loop)
        self.results = self._calls.results
        self.forecasts: list[Forecast] = []
        self._engines = {engine.spec.name: engine for engine in engines}
        self._pending: dict[str, PendingRequest] = {}
        self._costs = CostEstimator()
        self._spill = {
            region: LinkRoom(0.0, own_bytes_per_ms=SPILL_BYTES_PER_MS)
            for region in ("first", "second")
        }
        self._summaries: dict[str, PoolSummary] = {}
        self._ask_counts: dict[tuple[str, str], int] = {}
        if variant.knows_all:
            chooser("oracle")(self._oracle)
        zones = {engine.spec.zone for engine in engines}
        if variant.knows_all:
            zones = {"a"}
        self._schedulers = {zone: self._new_scheduler(zone) for zone in sorted(zones)}
        self._tick()
        self._update_summaries()

    def submit(self, request: Request) -> None:
        """Handle a request that arrives now."""
        limit_tokens = request.limit_tokens
        if self._variant.knows_all:
            limit_tokens = request.output_tokens
        elif self._variant.learns_cost:
            limit_tokens = self._costs.output_tokens(
                request.customer,
                "chat",
                prompt_tokens=request.prompt_tokens,
                limit_tokens=limit_tokens,
            )
        ask = Ask(
            str(request.number),
            POOL,
            request.customer,
            request.tier,
            1.0,
            request.prompt_tokens,
            limit_tokens,
            request.prefix_digest,
            int(request.deadline_ms),
        )
        pending = PendingRequest(request, ask, self._zones(request, limit_tokens))
        self._pending[ask.ask_id] = pending
        self._loop.after(request.deadline_ms, lambda: self._on_deadline(pending))
        self._ask_next(pending)

    def _new_scheduler(self, zone: str) -> PoolScheduler:
        scheduler = PoolScheduler(POOL, policy=self._variant.policy)
        records = [
            UpstreamRecord(
                engine.spec.name,
                engine.spec.zone,
                engine.spec.region,
                engine.spec.name,
                "engine",
                (POOL,),
                "",
                False,
            )
            for engine in self._engines.values()
            if engine.spec.zone == zone or self._variant.knows_all
        ]
        scheduler.set_upstreams(records, 0.0)
        return scheduler

    def _zones(self, request: Request, output_tokens: int) -> list[str]:
        own = request.zone
        loads = [
            ZoneLoad(
                zone,
                zone == own,
                region_of(zone) != region_of(own),
                self._summaries.get(zone) if self._variant.chooses_zone else None,
                self._ask_counts.get((own, zone), 0),
            )
            for zone in self._schedulers
        ]
        return list(order_zones(loads, tier=request.tier))

    def _ask_next(self, pending: PendingRequest) -> None:
        request = pending.request
        while pending.zones:
            zone = pending.zones.pop(0)
            if region_of(zone) != region_of(request.zone) and not self._may_spill(
                pending
            ):
                continue
            pair = (request.zone, zone)
            self._ask_counts[pair] = self._ask_counts.get(pair, 0) + 1
            remaining_ms = request.at_ms + request.deadline_ms - self._loop.now_ms
            pending.ask = pending.ask._replace(deadline_ms=int(remaining_ms))
            delay_ms = link_ms(request.zone, zone)
            self._loop.after(delay_ms, partial(self._deliver_ask, zone, pending))
            return
        self._end(pending, "refused")

    def _deliver_ask(self, zone: str, pending: PendingRequest) -> None:
        if not pending.is_over:
            scheduler = self._schedulers[zone]
            self._deliver(zone, scheduler.enqueue("vm", pending.ask, self._loop.now_ms))

    def _may_spill(self, pending: PendingRequest) -> bool:
        if not self._variant.has_spill_budget:
            return True
        room = self._spill[region_of(pending.request.zone)]
        prompt_bytes = pending.request.prompt_tokens * BYTES_PER_TOKEN
        answer_bytes = pending.ask.output_tokens * BYTES_PER_OUTPUT_TOKEN
        size_bytes = max(prompt_bytes, answer_bytes)
        now_ms = self._loop.now_ms
        if not room.has_room(size_bytes, tier=pending.request.tier, now_ms=now_ms):
            return False
        room.spend(size_bytes)
        return True

    def _deliver(self, zone: str, sent: list[Outgoing]) -> None:
        for item in sent:
            message = item.message
            assert isinstance(message, Permit | Refusal)
            pending = self._pending[message.ask_id]
            delay_ms = link_ms(zone, pending.request.zone)
            self._loop.after(delay_ms, self._delivery_of(zone, pending, message))

    def _delivery_of(
        self, zone: str, pending: PendingRequest, message: Permit | Refusal
    ) -> Callable[[], None]:
        def deliver() -> None:
            if isinstance(message, Refusal):
                if not pending.is_over:
                    self._on_refusal(pending, message.kind)
            elif pending.is_over:
                self._release(zone, pending, message, None, is_useful=False)
            else:
                pending.is_sent = True
                engine = self._engines[message.upstream]
                self._calls.send(
                    pending.request,
                    engine,
                    lambda job, is_useful: self._release(
                        zone, pending, message, job, is_useful=is_useful
                    ),
                )

        return deliver

    def _on_refusal(self, pending: PendingRequest, kind: str) -> None:
        if kind in ("shed", "no_upstream"):
            self._ask_next(pending)
        else:
            self._end(pending, kind)

    def _release(
        self,
        zone: str,
        pending: PendingRequest,
        permit: Permit,
        job: Job | None,
        *,
        is_useful: bool,
    ) -> None:
        pending.is_over = True
        request = pending.request
        now_ms = self._loop.now_ms
        started_ms = now_ms
        first_ms = 0.0
        if job is not None:
            started_ms = job.sent_ms
            first_ms = max(0.0, job.first_ms - started_ms)
        release = Release(
            permit.ask_id,
            POOL,
            permit.upstream,
            job is not None,
            "" if is_useful else "deadline_running",
            int(first_ms),
            int(now_ms - started_ms),
            request.prompt_tokens,
            request.output_tokens,
        )
        if is_useful:
            self._costs.learn(
                request.customer,
                "chat",
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
            )
        scheduler = self._schedulers[zone]
        if is_useful:
            self._record_forecast(scheduler, release)
        self._loop.after(
            link_ms(zone, request.zone),
            lambda: self._deliver(zone, scheduler.release(release, self._loop.now_ms)),
        )

    def _record_forecast(self, scheduler: PoolScheduler, release: Release) -> None:
        """Compare the times forecast at the grant with the actual ones."""
        for model in scheduler.models():
            item = model.in_flight.get(release.ask_id)
            if item is not None and item.expected_total_ms and release.first_token_ms:
                self.forecasts.append(
                    Forecast(
                        abs(item.expected_first_ms / release.first_token_ms - 1),
                        abs(item.expected_total_ms / max(1, release.total_ms) - 1),
                    )
                )

    def _on_deadline(self, pending: PendingRequest) -> None:
        if pending.is_over or pending.is_sent:
            return
        self._end(pending, "deadline_in_queue")
        for zone, scheduler in self._schedulers.items():
            withdraw = Withdraw(pending.ask.ask_id, POOL)
            self._deliver(zone, scheduler.withdraw(withdraw, self._loop.now_ms))

    def _end(self, pending: PendingRequest, reason: str) -> None:
        pending.is_over = True
        self._calls.refuse(pending.request, reason)

    def _tick(self) -> None:
        for zone, scheduler in self._schedulers.items():
            self._deliver(zone, scheduler.tick(self._loop.now_ms))
        self._loop.after(TICK_MS, self._tick)

    def _update_summaries(self) -> None:
        for zone, scheduler in self._schedulers.items():
            self._summaries[zone] = scheduler.summary(self._loop.now_ms)
        self._ask_counts.clear()
        self._loop.after(HEARTBEAT_MS, self._update_summaries)

    def _oracle(
        self, waiting: QueuedAsk, upstreams: CandidateSource, now_ms: float
    ) -> UpstreamModel | None:
        ask = waiting.ask
        request = self._pending[ask.ask_id].request
        return min(
            upstreams.candidates(ask),
            key=lambda model: self._engines[model.record.name].backlog_ms(request),
            default=None,
        )
