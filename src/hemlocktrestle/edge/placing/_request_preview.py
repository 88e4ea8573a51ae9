"""Where a request would go now, and why, without sending it."""

import json
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from hemlocktrestle.edge._fleet import EdgeFleet
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.callers._identify import identify_request
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.placing._permit_placer import PermitPlacer
from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError
from hemlocktrestle.gateway import RequestMetadata
from hemlocktrestle.membership import expected_wait_ms
from hemlocktrestle.peers import SchedulerTask
from hemlocktrestle.relay import CallerRequest, RequestBody
from hemlocktrestle.wire import Ask, PoolSummary

CONTENT_TYPE = b"application/json"

COUNT_MAX = 10_000_000
"""Largest number that a query may state."""


class PreviewOutcome(Enum):
    """What would become of a request."""

    SENT = "sent"
    QUEUED = "queued"
    REFUSED = "refused"


class PreviewQuery(NamedTuple):
    """A request to explain; without a time it waits as long as its route allows.

    ``zone`` is that of the VM which would take it, empty for this VM's.
    """

    host: str
    path: str
    customer: str = ""
    request_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    deadline_ms: int = 0
    parts: tuple[str, ...] = ()
    zone: str = ""


class RequestPreview:
    """Explains where requests would go; sends nothing and spends nothing.

    Args:
        state: shared state of the process.
        fleet: the VMs and the pools that they schedule.
        placer: states what would be asked for a request.
        scheduler_task: the pools that this VM schedules.
    """

    def __init__(
        self,
        state: EdgeState,
        fleet: EdgeFleet,
        placer: PermitPlacer,
        scheduler_task: SchedulerTask,
    ) -> None:
        self._state = state
        self._fleet = fleet
        self._placer = placer
        self._scheduler_task = scheduler_task

    def answer(self, query: bytes) -> tuple[int, bytes, bytes]:
        """Return status, content type and body of the answer to a query."""
        try:
            found = self.explain(parse_query(query))
        except ValueError as error:
            return 400, b"text/plain", str(error).encode()
        return 200, CONTENT_TYPE, json.dumps(found, sort_keys=True).encode()

    def explain(self, query: PreviewQuery) -> dict[str, Any]:
        """Return what would become of a request, and what decides it."""
        vm = self._fleet.membership.vm
        shown: dict[str, Any] = {"vm": vm.name, "zone": vm.zone, "region": vm.region}
        try:
            job = self._identify(query)
            shown |= self._rules(job)
            self._check(job, shown)
            shown |= self._placement(job, query.zone)
        except RequestError as error:
            shown |= {
                "outcome": PreviewOutcome.REFUSED.value,
                "reason": error.kind.value,
                "message": error.message,
                "status": ANSWERS[error.kind].status,
            }
        return shown

    def _identify(self, query: PreviewQuery) -> Job:
        metadata = RequestMetadata(
            request_id=query.request_id,
            host=query.host,
            path=query.path,
            key="",
            deadline_ms=query.deadline_ms or None,
            prompt_tokens=query.prompt_tokens,
            output_tokens_max=query.output_tokens,
            output_tokens_hint=0,
            states_tokens=bool(query.prompt_tokens or query.output_tokens),
            prompt_parts=query.parts,
        )
        target = query.path.encode("latin-1", "replace")
        request = CallerRequest(b"GET", target, (), RequestBody(b""), now_ms())
        return identify_request(
            self._state,
            request,
            metadata,
            RequestProgress(),
            customer_name=query.customer,
        )

    def _rules(self, job: Job) -> dict[str, Any]:
        return {
            "route": job.route.name,
            "service": job.service.name,
            "customer": job.customer_name,
            "rank": job.rank,
            "left_ms": round(job.deadline_at_ms - now_ms()),
        }

    def _check(self, job: Job, shown: dict[str, Any]) -> None:
        """Look at quota and quarantine.

        A quota of which nothing was spent here has no account, and is not over.
        """
        fleet = self._state.fleet(job.customer_name)
        quota_left = self._state.quotas.remaining(fleet, now_ms())
        left = quota_left.get(job.customer_name)
        shown["amount"] = job.amount
        shown["quota_left"] = None if left is None else round(left)
        if left is not None and job.amount > left:
            raise RequestError(ErrorKind.RATE_LIMITED, "customer is over its quota")
        if self._fleet.part_gate.would_refuse(job):
            raise RequestError(
                ErrorKind.QUARANTINED, "prompts with a part of this one crash replicas"
            )

    def _placement(self, job: Job, zone: str) -> dict[str, Any]:
        ask, plan = self._placer.preview(job)
        ask = ask._replace(zone=zone or ask.zone)
        if not plan.order.regions:
            raise RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        region = plan.order.regions[0]
        membership = self._fleet.membership
        scheduler = membership.scheduler_of(ask.pool, region, now_ms())
        shown: dict[str, Any] = {
            "regions": list(plan.order.regions),
            "regions_reason": plan.order.reason,
            "options": [option._asdict() for option in plan.options],
            "bytes": plan.size_bytes,
            "zone_way_ms": round(ask.way_ms, 1),
            "scheduler": scheduler or "",
        }
        if scheduler is None:
            return shown | {
                "outcome": PreviewOutcome.SENT.value,
                "reason": "no scheduler is in reach: this VM chooses alone",
            }
        if scheduler == membership.vm.name:
            return shown | self._choice(ask)
        return shown | self._summary(ask, region)

    def _choice(self, ask: Ask) -> dict[str, Any]:
        """Return what this VM's own scheduler of the pool would do."""
        scheduler = self._scheduler_task.schedulers().get(ask.pool)
        if scheduler is None:
            return self._summary(ask, self._fleet.membership.domain)
        now = now_ms()
        found = scheduler.preview(self._fleet.membership.vm.name, ask, now)
        if not found.is_served:
            raise RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        if found.record is None:
            return self._queue(ask, scheduler.summary(now))
        return {
            "outcome": PreviewOutcome.SENT.value,
            "reason": found.reason.value if found.reason else "",
            "replica": found.record.name,
            "replica_zone": found.record.zone,
            "expected_ms": round(found.expected_ms),
        }

    def _summary(self, ask: Ask, region: str) -> dict[str, Any]:
        """Return what the last summary of a scheduler says."""
        summary = self._fleet.membership.pool_summary(ask.pool, region, now_ms())
        if summary is not None and not summary.free_slots:
            return self._queue(ask, summary)
        reason = "no request came to the scheduler yet, or it reports nothing"
        if summary is not None:
            reason = "the scheduler has free slots and chooses the replica"
        return {"outcome": PreviewOutcome.SENT.value, "reason": reason}

    def _queue(self, ask: Ask, summary: PoolSummary) -> dict[str, Any]:
        """Return how long a request would wait, and whether it may be refused."""
        wait_ms = expected_wait_ms(summary, tier=ask.tier)
        stands = ask.tier >= summary.standing_tier
        return {
            "outcome": PreviewOutcome.QUEUED.value,
            "reason": "no replica has room for it",
            "queued_count": summary.queued_count,
            "wait_ms": round(wait_ms),
            "may_be_refused": stands or wait_ms > ask.deadline_ms,
        }


def parse_query(query: bytes) -> PreviewQuery:
    """Parse the query of a target.

    Raises:
        ValueError: it names no host or path, an unknown field or no sensible number.
    """
    fields = dict(parse_qsl(query.decode("ascii", "replace")))
    unknown = fields.keys() - set(PreviewQuery._fields)
    if unknown or not fields.get("host") or not fields.get("path"):
        known = ", ".join(PreviewQuery._fields)
        raise ValueError(f"host and path are needed; known fields: {known}")
    return PreviewQuery(
        host=fields["host"],
        path=fields["path"],
        customer=fields.get("customer", ""),
        request_id=fields.get("request_id", ""),
        prompt_tokens=_count(fields, "prompt_tokens"),
        output_tokens=_count(fields, "output_tokens"),
        deadline_ms=_count(fields, "deadline_ms"),
        parts=tuple(part for part in fields.get("parts", "").split(",") if part),
        zone=fields.get("zone", ""),
    )


def _count(fields: dict[str, str], name: str) -> int:
    text = fields.get(name, "0")
    if not text.isdecimal() or int(text) > COUNT_MAX:
        raise ValueError(f"{name}: no number up to {COUNT_MAX}")
    return int(text)
