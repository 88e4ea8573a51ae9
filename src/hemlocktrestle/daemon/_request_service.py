"""Handles callers' requests, from arrival to the end of the answer."""

import json
import logging
import random
from collections.abc import Callable
from contextlib import ExitStack
from typing import Protocol

from opentelemetry import propagate, trace
from opentelemetry.trace import Span, Tracer

from hemlocktrestle.adapters import Responder
from hemlocktrestle.claims import (
    TICKET_LIFETIME_MS,
    ClaimRegistry,
    RecordedAnswer,
    is_ticket,
)
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._dispatch import Dispatcher, Progress
from hemlocktrestle.daemon._keyed_requests import KeyedRequestRunner
from hemlocktrestle.daemon._relay import RelayedAnswer, forwarded_headers
from hemlocktrestle.daemon._request_parser import (
    CHAT_SERVICE,
    TICKETS_TARGET,
    Job,
    is_chat,
    key_fingerprint,
    parse_request,
    ticket_count,
)
from hemlocktrestle.daemon._tickets import TicketService
from hemlocktrestle.entry import Admission, CallerRequest, CostEstimator
from hemlocktrestle.errors import (
    ANSWERS,
    ErrorKind,
    Outcome,
    RequestError,
    outcome_of,
)
from hemlocktrestle.latency import Latencies
from hemlocktrestle.membership import Membership
from hemlocktrestle.peers._permit_client import PermitClient
from hemlocktrestle.ports import UpstreamClient
from hemlocktrestle.tree import Identity, TreeState
from hemlocktrestle.wire import TIERS

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._entry")


UNKNOWN_TIER = "unknown"
"""Tier label of a request that failed before its caller was identified."""


class CountRequest(Protocol):
    """Counts a request that ended."""

    def __call__(self, *, tier: str, outcome: str, error_kind: str = ...) -> None:
        """Count it."""


def _no_count(*, tier: str, outcome: str, error_kind: str = "") -> None:
    """Default for ``count``: do nothing."""


class RequestService:
    """Serves the requests that reach this VM.

    Args:
        tree: returns the settings tree in force.
        membership: upstreams, zones and roles.
        permit_client: obtains permits.
        upstreams: connects to upstreams.
        crash_monitor: detects requests that crash their upstreams.
        claims: durable claims of keys.
        tickets: keys that VMs issue and check from memory.
        tracer: creates spans.
        latencies: records latencies.
        count: counts a request that ended, by tier, outcome and error kind.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(
        self,
        *,
        tree: Callable[[], TreeState],
        membership: Membership,
        permit_client: PermitClient,
        upstreams: UpstreamClient,
        crash_monitor: CrashMonitor,
        claims: ClaimRegistry,
        tickets: TicketService,
        tracer: Tracer,
        latencies: Latencies[str],
        count: CountRequest = _no_count,
        now_ms: Callable[[], float],
    ) -> None:
        self._tree = tree
        self._membership = membership
        self._dispatcher = Dispatcher(
            membership=membership,
            permit_client=permit_client,
            upstreams=upstreams,
            crash_monitor=crash_monitor,
            tracer=tracer,
            now_ms=now_ms,
            jitter=random.Random(membership.vm.name),
        )
        self._tickets = tickets
        self._keyed = KeyedRequestRunner(
            claims=claims, dispatcher=self._dispatcher, tracer=tracer
        )
        self._tracer = tracer
        self._latencies = latencies
        self._count = count
        self._costs = CostEstimator()
        self._now_ms = now_ms
        self._admission = Admission()
        self.running: dict[str, Job] = {}

    async def run(self) -> None:
        """Run the requests that outlive their callers, until cancelled."""
        await self._keyed.run()

    async def wait_idle(self) -> None:
        """Wait until no request that may outlive its caller is running."""
        await self._keyed.wait_idle()

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request; each failure becomes the answer of its error kind."""
        context = propagate.extract(dict(request.headers))
        with self._tracer.start_as_current_span("accept", context=context) as span:
            span.set_attribute("request_id", request.request_id)
            progress = Progress()
            try:
                await self._serve(request, responder, span, progress)
            except RequestError as error:
                await self._answer_error(
                    request, responder, error, may_have_sent=progress.may_have_sent
                )
            except Exception:
                log.exception(
                    "request_failed", extra={"request_id": request.request_id}
                )
                failure = RequestError(ErrorKind.INTERNAL, "internal failure")
                await self._answer_error(
                    request, responder, failure, may_have_sent=True
                )

    async def _serve(
        self,
        request: CallerRequest,
        responder: Responder,
        span: Span,
        progress: Progress,
    ) -> None:
        identity = self._identify(request)
        if request.target == "/v1/models" and request.method == "GET":
            await self._answer_models(identity, responder)
            return
        if request.target == TICKETS_TARGET and request.method == "POST":
            await self._answer_tickets(request, identity, responder)
            return
        job = parse_request(
            request, identity, tree=self._tree(), membership=self._membership
        )
        job = self._with_estimated_cost(job)
        span.set_attribute("customer", identity.customer)
        span.set_attribute("tier", TIERS[job.tier])
        with ExitStack() as stack:
            self._admission.admit(
                job.limit_key,
                job.rules,
                self._now_ms(),
                token_count=job.ask.prompt_tokens + job.ask.output_tokens,
                tier=job.tier,
            )
            stack.callback(self._admission.release, job.limit_key)
            self.running[request.request_id] = job
            stack.callback(self.running.pop, request.request_id)
            await self._run_once(job, responder, progress, stack)

    def _with_estimated_cost(self, job: Job) -> Job:
        """Replace the output limit of a chat request by the estimated output length."""
        if not is_chat(job):
            return job
        output_tokens = self._costs.output_tokens(
            job.limit_key.customer,
            job.limit_key.service,
            prompt_tokens=job.ask.prompt_tokens,
            limit_tokens=job.ask.output_tokens,
        )
        return job._replace(ask=job.ask._replace(output_tokens=output_tokens))

    def _learn_cost(self, job: Job, relayed: RelayedAnswer) -> None:
        """Train the estimate with a stream, which has about one piece per token."""
        if is_chat(job) and job.is_stream:
            self._costs.learn(
                job.limit_key.customer,
                job.limit_key.service,
                prompt_tokens=job.ask.prompt_tokens,
                output_tokens=max(1, relayed.piece_count),
            )

    def _identify(self, request: CallerRequest) -> Identity:
        tree = self._tree()
        if not tree.revision:
            raise RequestError(ErrorKind.SETTINGS_UNREADY, "settings not yet known")
        scheme, _, token = (request.header("authorization") or "").partition(" ")
        identity = tree.identify(token.strip()) if scheme.lower() == "bearer" else None
        if identity is None:
            raise RequestError(ErrorKind.UNKNOWN_TOKEN, "bearer token is not known")
        return identity

    async def _run_once(
        self, job: Job, responder: Responder, progress: Progress, stack: ExitStack
    ) -> None:
        if job.key is None:
            await self._run(job, responder, progress)
        elif is_chat(job) and is_ticket(job.key):
            await self._run_ticketed(job, job.key, responder, progress)
        else:
            await self._run_claimed(job, responder, progress, stack)

    async def _run(self, job: Job, responder: Responder, progress: Progress) -> None:
        relayed = await self._dispatcher.run(job, responder, progress)
        await self._answer(job, relayed, responder, progress)

    async def _run_ticketed(
        self, job: Job, ticket: str, responder: Responder, progress: Progress
    ) -> None:
        with self._tracer.start_as_current_span("ticket"):
            opened = await self._tickets.open(
                job.limit_key.customer,
                ticket,
                fingerprint=key_fingerprint(job),
                request_id=job.request.request_id,
            )
        relayed: RelayedAnswer | None = None
        try:
            relayed = await self._dispatcher.run(job, responder, progress)
        finally:
            self._tickets.close(opened, _outcome(relayed, progress))
        await self._answer(job, relayed, responder, progress)

    async def _run_claimed(
        self, job: Job, responder: Responder, progress: Progress, stack: ExitStack
    ) -> None:
        result = await self._keyed.serve(job, responder, progress, stack.pop_all())
        if isinstance(result, RecordedAnswer):
            await self._replay(job, result, responder)
        else:
            await self._answer(job, result, responder, progress)

    async def _answer(
        self, job: Job, relayed: RelayedAnswer, responder: Responder, progress: Progress
    ) -> None:
        """Send an answer, unless it was already sent as a stream."""
        if relayed.body is not None:
            await responder.send_answer(
                relayed.status,
                forwarded_headers(relayed.headers),
                relayed.body,
                Outcome.COMPLETE,
            )
        self._log_complete(job, progress.upstream, relayed)

    async def _answer_tickets(
        self, request: CallerRequest, identity: Identity, responder: Responder
    ) -> None:
        tickets = self._tickets.issue(identity.customer, ticket_count(request.body))
        body = {"tickets": tickets, "lifetime_ms": TICKET_LIFETIME_MS}
        headers = [(b"content-type", b"application/json")]
        await responder.send_answer(
            200, headers, json.dumps(body).encode(), Outcome.COMPLETE
        )

    async def _answer_models(self, identity: Identity, responder: Responder) -> None:
        rules = self._tree().rules_for(identity.customer, CHAT_SERVICE, identity.caller)
        served = self._membership.pools("engine")
        models = sorted(served & set(rules.get("models", served)))
        body = {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "owned_by": "hemlocktrestle"}
                for name in models
            ],
        }
        headers = [(b"content-type", b"application/json")]
        await responder.send_answer(
            200, headers, json.dumps(body).encode(), Outcome.COMPLETE
        )

    async def _replay(
        self, job: Job, recorded: RecordedAnswer, responder: Responder
    ) -> None:
        headers = [(name.encode(), value.encode()) for name, value in recorded.headers]
        headers.append((b"idempotency-replayed", b"true"))
        await responder.send_answer(
            recorded.status, headers, recorded.body or b"", Outcome.COMPLETE
        )
        log.info(
            "request_replayed",
            extra={
                "request_id": job.request.request_id,
                "customer": job.limit_key.customer,
                "outcome": Outcome.COMPLETE.value,
            },
        )

    async def _answer_error(
        self,
        request: CallerRequest,
        responder: Responder,
        error: RequestError,
        *,
        may_have_sent: bool,
    ) -> None:
        outcome = outcome_of(error.kind, may_have_sent=may_have_sent).value
        job = self.running.get(request.request_id)
        tier = TIERS[job.tier] if job is not None else UNKNOWN_TIER
        self._count(tier=tier, outcome=outcome, error_kind=error.kind.value)
        context = trace.get_current_span().get_span_context()
        log.log(
            ANSWERS[error.kind].log_level,
            "request_failed",
            extra={
                "request_id": request.request_id,
                "trace_id": f"{context.trace_id:032x}",
                "tier": tier,
                "error_kind": error.kind.value,
                "outcome": outcome,
            },
        )
        trace.get_current_span().set_attribute("error_kind", error.kind.value)
        if error.kind is ErrorKind.SLOW_READER:
            return
        await responder.send_error(error, may_have_sent=may_have_sent)

    def _log_complete(self, job: Job, upstream: str, relayed: RelayedAnswer) -> None:
        now_ms = self._now_ms()
        total_ms = now_ms - job.request.arrived_ms
        tier = TIERS[job.tier]
        self._learn_cost(job, relayed)
        self._count(tier=tier, outcome=Outcome.COMPLETE.value)
        self._latencies.record("total", total_ms)
        self._latencies.record(f"total.{tier}", total_ms)
        if job.is_stream:
            first_ms = relayed.first_ms - job.request.arrived_ms
            self._latencies.record("first_token", first_ms)
            self._latencies.record(f"first_token.{tier}", first_ms)
        context = trace.get_current_span().get_span_context()
        log.info(
            "request_complete",
            extra={
                "request_id": job.request.request_id,
                "trace_id": f"{context.trace_id:032x}",
                "customer": job.limit_key.customer,
                "caller": job.limit_key.caller,
                "tier": tier,
                "upstream": upstream,
                "status": relayed.status,
                "outcome": Outcome.COMPLETE.value,
                "total_ms": round(total_ms, 1),
            },
        )


def _outcome(relayed: RelayedAnswer | None, progress: Progress) -> Outcome:
    if relayed is not None:
        return Outcome.COMPLETE
    return Outcome.UNKNOWN if progress.may_have_sent else Outcome.NOT_RUN
