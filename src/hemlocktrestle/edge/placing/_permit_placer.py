"""Placement by permit: a region's pool scheduler decides when and where to send."""

import logging
import math

from hemlocktrestle.documents import saturated
from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas, over_quota
from hemlocktrestle.edge.placing._local_placer import LocalPlacer
from hemlocktrestle.edge.placing._placement import (
    UNSENT_ENDS,
    AttemptEnd,
    AttemptReport,
    Placement,
)
from hemlocktrestle.edge.placing._way_planner import RegionPlan, WayPlanner
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.peers import HeldPermit, PermitClient
from hemlocktrestle.scheduler import WorkEstimates
from hemlocktrestle.wire import NO_PART_LIMIT, Ask, Pulse, Release

log = logging.getLogger(__name__)

NON_ENGINE_TOKENS = 1
"""Output tokens reported for services without an engine, which count none."""

FAILURE_BY_END = {
    AttemptEnd.RELAYED: "",
    AttemptEnd.NOT_RUN: ErrorKind.UPSTREAM_BROKEN.value,
    AttemptEnd.UNREACHABLE: ErrorKind.UPSTREAM_REFUSED.value,
    AttemptEnd.CONNECT_TIMEOUT: ErrorKind.UPSTREAM_SILENT.value,
    AttemptEnd.FAILED: ErrorKind.UPSTREAM_BROKEN.value,
    AttemptEnd.BROKEN: ErrorKind.UPSTREAM_BROKEN.value,
    AttemptEnd.SILENT: ErrorKind.UPSTREAM_SILENT.value,
    AttemptEnd.ABANDONED: ErrorKind.CALLER_GONE.value,
    AttemptEnd.UNUSED: "",
    AttemptEnd.HELD_BACK: "",
}
"""Failure reported to the pool scheduler for each end of an attempt."""

_FALLBACK_KINDS = frozenset({ErrorKind.SCHEDULER_GONE, ErrorKind.NO_UPSTREAM})
"""Errors after which this VM chooses a replica itself, without a permit."""


class PermitPlacer:
    """Obtains permits from pool schedulers; chooses locally while none answers.

    Args:
        permit_client: sends permit requests.
        fleet: the VMs and the pools that they schedule.
        fallback: chooses from this VM's own view while no scheduler answers.
        quotas: counts requests that no scheduler has counted.
        ways: decides where requests may go.
    """

    def __init__(
        self,
        permit_client: PermitClient,
        fleet: EdgeFleet,
        fallback: LocalPlacer,
        quotas: EdgeQuotas,
        ways: WayPlanner,
    ) -> None:
        self._ways = ways
        self._quotas = quotas
        self._permit_client = permit_client
        self._fleet = fleet
        self._fallback = fallback
        self._held: dict[str, HeldPermit] = {}
        self._work = WorkEstimates()
        self._ask_count = 0

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Wait for a permit and return its placement; see the protocol."""
        started_ms = now_ms()
        unusable = self._fleet.replica_notices.unusable_ids(job.service.name, excluded)
        ask = self._permit_request(job, excluded, unusable)
        plan = self._ways.plan(
            job,
            excluded | unusable,
            output_tokens=ask.output_tokens,
            now_ms=started_ms,
        )
        log.info(
            "request_asked",
            extra={
                "request": job.metadata.request_id,
                "ask": ask.ask_id,
                "aim_ms": ask.aim_ms,
                "hold_ms": ask.deadline_ms,
                "tier": ask.tier,
                "regions": plan.order.regions,
                "reason": plan.order.reason,
                "way_ms": round(ask.way_ms, 1),
                "bytes": plan.size_bytes,
            },
        )
        try:
            held = await self._permit_client.obtain(
                ask,
                zones=plan.order.regions,
                deadline_at_ms=job.deadline_at_ms,
            )
        except RequestError as error:
            if error.kind is ErrorKind.RATE_LIMITED:
                raise over_quota(error.retry_after_ms or 0.0) from error
            if error.kind in _FALLBACK_KINDS:
                self._spend_locally(job, ask)
                placement = self._fallback.choose(job, excluded=excluded)
                log.info(
                    "chosen_alone",
                    extra={
                        "request": job.metadata.request_id,
                        "replica": placement.replica_id,
                        "reason": error.kind.value,
                    },
                )
                return placement
            raise
        permit = held.permit
        self._held[permit.ask_id] = held
        placed_ms = now_ms()
        placement = self._ways.locate(
            Placement(
                permit.ask_id,
                permit.upstream,
                permit.address,
                held.scheduler_vm,
                placed_ms - started_ms,
            )
        )
        self._ways.record_placed(
            placement, size_bytes=plan.size_bytes, now_ms=placed_ms
        )
        return placement

    def preview(self, job: Job) -> tuple[Ask, RegionPlan]:
        """Return what would be asked for a request, and of which regions."""
        unusable = self._fleet.replica_notices.unusable_ids(
            job.service.name, frozenset()
        )
        ask = self._permit_request(job, frozenset(), unusable)
        plan = self._ways.preview(
            job, unusable, output_tokens=ask.output_tokens, now_ms=now_ms()
        )
        return ask, plan

    def _spend_locally(self, job: Job, ask: Ask) -> None:
        if job.customer is None or not ask.amount:
            return
        wait_ms = self._quotas.spend(
            job.customer, ask.amount, request_id=job.metadata.request_id
        )
        if wait_ms is not None:
            raise over_quota(wait_ms)

    def report_speed(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        """Report the speed of a stream to the scheduler while it runs."""
        held = self._held.get(placement.permit_id)
        engine = job.service.engine
        if held is None or engine is None:
            return
        pulse = Pulse(
            placement.permit_id,
            job.service.name,
            placement.replica_id,
            int(report.first_ms),
            int(report.total_ms - report.first_ms),
            saturated((report.event_count - 1) * engine.tokens_per_event),
        )
        self._permit_client.pulse(held, pulse)

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Release a placement and report how the attempt went."""
        engine = job.service.engine
        tokens = NON_ENGINE_TOKENS
        if engine is not None:
            tokens = max(1, saturated(report.event_count * engine.tokens_per_event))
        self._ways.record_ended(
            job, placement, report, output_tokens=tokens, now_ms=now_ms()
        )
        held = self._held.pop(placement.permit_id, None)
        if held is None:
            self._fallback.release(job, placement, report)
            return
        release = Release(
            placement.permit_id,
            job.service.name,
            placement.replica_id,
            report.end not in UNSENT_ENDS,
            FAILURE_BY_END[report.end],
            int(report.first_ms),
            int(report.total_ms),
            job.metadata.prompt_tokens,
            tokens,
            report.status,
        )
        if release.sent and not release.failure:
            self._work.learn(job.route.name, release)
        self._permit_client.release(held, release)

    def _permit_request(
        self, job: Job, excluded: frozenset[str], unusable: frozenset[str]
    ) -> Ask:
        self._ask_count += 1
        metadata, route = job.metadata, job.route
        is_engine = job.service.engine is not None
        ask = Ask(
            ask_id=f"{self._fleet.process_name}/{self._ask_count}",
            pool=job.service.name,
            customer=job.customer_name,
            tier=job.rank,
            weight=1.0,
            prompt_tokens=metadata.prompt_tokens,
            output_tokens=metadata.expected_output_tokens
            if is_engine
            else NON_ENGINE_TOKENS,
            prefix_digest=0,
            deadline_ms=saturated(job.deadline_at_ms - now_ms()),
            excluded=tuple(sorted(excluded | unusable)),
            aim_ms=NO_PART_LIMIT
            if math.isinf(route.patience_ms)
            else saturated(job.part_due_ms - now_ms()),
            route=route.name,
            # Retries of a request were counted with its first permit request.
            amount=job.amount if is_engine and not excluded else 0,
        )
        work = self._work.expect(ask)
        return self._ways.with_zone(ask)._replace(
            first_ms=saturated(work.first_ms), total_ms=saturated(work.total_ms)
        )


ACK_TIMEOUT_MS = 200.0
"""Time limit for a scheduler to acknowledge a permit request, in milliseconds.

Much longer than a round trip between regions, which allows for a busy scheduler.
"""
