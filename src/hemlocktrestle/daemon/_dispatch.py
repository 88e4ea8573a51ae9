"""Dispatches a job to an upstream: permit, call and relay of the answer."""

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial

import trio
from opentelemetry import propagate
from opentelemetry.trace import Tracer

from hemlocktrestle.adapters import Responder
from hemlocktrestle.adapters._http_server import EVENT_STREAM_TYPE
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._relay import (
    HOP_BY_HOP_HEADERS,
    RelayedAnswer,
    relay_buffered,
    relay_stream,
)
from hemlocktrestle.daemon._request_parser import Job, is_chat
from hemlocktrestle.daemon._stream_resume import ResumableStream
from hemlocktrestle.daemon._upstream_pauses import UpstreamPauses
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership, ZoneLoad, order_zones
from hemlocktrestle.peers._permit_client import HeldPermit, PermitClient
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall, UpstreamClient
from hemlocktrestle.wire import Release

UPSTREAM_INACTIVITY_TIMEOUT_MS = 30_000
"""Longest silence of an upstream during a call, in milliseconds."""

DISPATCH_ATTEMPTS_MAX = 4
"""Most permits that one request may use before a byte of it is sent."""

RETRY_PAUSE_MS_MAX = 50.0
"""Longest pause before another permit is requested, in milliseconds."""

_DROPPED_REQUEST_HEADERS = frozenset(
    {"host", "authorization", "content-length", "x-hemlocktrestle-tier", "traceparent"}
)


_RETRIED_KINDS = frozenset({ErrorKind.UPSTREAM_UNREACHABLE, ErrorKind.PERMIT_STALE})
"""Failures of an attempt that permit a retry, if no byte of the request was sent."""


class Progress:
    """Progress of a job, readable at any time, also after a cancellation."""

    __slots__ = ("call", "held_permit")

    def __init__(self) -> None:
        self.call: UpstreamCall | None = None
        self.held_permit: HeldPermit | None = None

    def start_attempt(self) -> None:
        """Clear the permit of the previous attempt, which sent no byte."""
        self.call = self.held_permit = None

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have been sent to an upstream."""
        return self.call is not None and self.call.may_have_sent

    @property
    def upstream(self) -> str:
        """Name of the upstream of the latest permit, or empty."""
        return self.held_permit.permit.upstream if self.held_permit is not None else ""


class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot pile up."""

    RETRIES_PER_REQUEST = 0.1
    """Retries that each request adds to the budget."""

    BALANCE_MAX = 20.0
    """Largest number of retries that the budget can hold."""

    def __init__(self) -> None:
        self._balance = self.BALANCE_MAX

    def earn(self) -> None:
        """Add the share of one request to the budget."""
        self._balance = min(self.BALANCE_MAX, self._balance + self.RETRIES_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry from the budget; ``False`` if it is exhausted."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class Dispatcher:
    """Dispatches the jobs that this VM accepted, each at most once.

    Args:
        membership: upstreams and zones.
        permit_client: obtains permits.
        upstreams: connects to upstreams.
        crash_monitor: detects requests that crash their upstreams.
        tracer: creates spans.
        now_ms: returns the time of the process in milliseconds.
        jitter: source of randomness for the pauses between attempts.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        permit_client: PermitClient,
        upstreams: UpstreamClient,
        crash_monitor: CrashMonitor,
        tracer: Tracer,
        now_ms: Callable[[], float],
        jitter: random.Random,
    ) -> None:
        self._membership = membership
        self._permit_client = permit_client
        self._upstreams = upstreams
        self._crash_monitor = crash_monitor
        self._tracer = tracer
        self._now_ms = now_ms
        self._jitter = jitter
        self._budget = RetryBudget()
        self._pauses = UpstreamPauses(membership, now_ms)

    async def run(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        *,
        check_send: Callable[[], None] = lambda: None,
    ) -> RelayedAnswer:
        """Run a job; retry it as long as no byte of it has been sent.

        Args:
            job: the job.
            responder: sends to the caller; a stream is passed on as it arrives.
            progress: receives the progress of the job.
            check_send: raises if the job must no longer be dispatched.

        Returns:
            The upstream's answer; if it has a body, it is not yet sent to the caller.

        Raises:
            RequestError: why there is no complete answer.
        """
        self._budget.earn()
        if not is_chat(job):
            return await self._run_attempts(job, responder, progress, check_send)
        body = job.request.body
        async with self._crash_monitor.guard(body, deadline_at_ms=job.deadline_at_ms):
            relayed = await self._run_attempts(job, responder, progress, check_send)
        self._crash_monitor.on_completed(
            job.pool, body, request_id=job.request.request_id
        )
        return relayed

    async def _run_attempts(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        check_send: Callable[[], None],
    ) -> RelayedAnswer:
        excluded: tuple[str, ...] = ()
        for attempt in range(DISPATCH_ATTEMPTS_MAX):
            unusable = (
                excluded
                + self._leaving_names(job.pool)
                + self._pauses.paused_names(job.pool)
            )
            numbered = job._replace(
                ask=job.ask._replace(
                    ask_id=f"{job.ask.ask_id}.{attempt}", excluded=unusable
                )
            )
            progress.start_attempt()
            try:
                return await self._attempt(numbered, responder, progress, check_send)
            except RequestError as error:
                last = error
            if progress.may_have_sent or last.kind not in _RETRIED_KINDS:
                break
            if last.kind is ErrorKind.UPSTREAM_UNREACHABLE:
                excluded += (progress.upstream,)
                if not self._budget.spend():
                    break
            if progress.held_permit is None or not self._candidate_zones(job, excluded):
                break
            await trio.sleep(self._jitter.uniform(0, RETRY_PAUSE_MS_MAX) / 1000)
        raise last

    async def _attempt(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        check_send: Callable[[], None],
    ) -> RelayedAnswer:
        held, call = await self._prepare_dispatch(job, check_send)
        progress.held_permit, progress.call = held, call
        started_ms = self._now_ms()
        relayed: RelayedAnswer | None = None
        failure = ErrorKind.CALLER_GONE.value
        try:
            with trio.move_on_after(
                max(0.0, job.deadline_at_ms - started_ms) / 1000
            ) as scope:
                relayed = await self._dispatch(job, held, call, responder)
            if scope.cancelled_caught:
                raise _deadline_error(progress)
            failure = ""
        except RequestError as error:
            failure = error.kind.value
            if error.kind is ErrorKind.UPSTREAM_BROKEN and is_chat(job):
                await self._report_crash(job, held)
            raise
        finally:
            self._release(
                job,
                held,
                call,
                relayed=relayed,
                failure=failure,
                started_ms=started_ms,
            )
        assert relayed is not None
        return relayed

    async def _report_crash(self, job: Job, held: HeldPermit) -> None:
        await self._crash_monitor.on_connection_broken(
            job.pool,
            job.request.body,
            upstream=held.permit.upstream,
            address=held.permit.address,
            request_id=job.request.request_id,
        )

    async def _prepare_dispatch(
        self, job: Job, check_send: Callable[[], None]
    ) -> tuple[HeldPermit, UpstreamCall]:
        with self._tracer.start_as_current_span("permit") as span:
            held = await self._permit_client.obtain(
                job.ask,
                zones=self._candidate_zones(job, job.ask.excluded),
                deadline_at_ms=job.deadline_at_ms,
            )
            span.set_attribute("upstream", held.permit.upstream)
            span.set_attribute("keeper", held.scheduler_vm)
            span.set_attribute("waited_ms", held.permit.waited_ms)
        call = UpstreamCall(
            address=held.permit.address,
            method=job.request.method,
            target=job.target,
            headers=self._request_headers(job),
            body=job.request.body,
            # The upstream may have closed an idle pooled connection unnoticed.
            is_fresh_connection=True,
            inactivity_timeout_ms=UPSTREAM_INACTIVITY_TIMEOUT_MS,
            check_send=partial(self._check_send, job, held, check_send),
        )
        return held, call

    def _check_send(
        self, job: Job, held: HeldPermit, check_send: Callable[[], None]
    ) -> None:
        """Raise if the request must not be sent: connecting may have taken too long.

        This also covers a process that was suspended after it received its permit.
        """
        now_ms = self._now_ms()
        if now_ms > job.deadline_at_ms:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            )
        if now_ms > held.expires_ms:
            raise RequestError(
                ErrorKind.PERMIT_STALE, "permit lapsed before it was used"
            )
        if held.permit.upstream in self._leaving_names(job.pool):
            raise RequestError(ErrorKind.PERMIT_STALE, "upstream leaves")
        self._pauses.check(held.permit)
        check_send()

    def _leaving_names(self, pool: str) -> tuple[str, ...]:
        """Return the upstreams that leave; the scheduler may not know it yet."""
        return tuple(
            record.name
            for record in self._membership.all_upstreams()
            if record.is_leaving and pool in record.pools
        )

    async def _dispatch(
        self, job: Job, held: HeldPermit, call: UpstreamCall, responder: Responder
    ) -> RelayedAnswer:
        async with AsyncExitStack() as stack:
            span = stack.enter_context(self._tracer.start_as_current_span("dispatch"))
            answer = await stack.enter_async_context(self._upstreams.call(call))
            span.set_attribute("status", answer.status)
            if answer.status == 503:
                self._pauses.on_refusal(held.permit, answer.headers)
                raise RequestError(
                    ErrorKind.UPSTREAM_REFUSED, "upstream refused the work"
                )
            with self._tracer.start_as_current_span("relay"):
                if job.is_stream and _is_streamed(answer):
                    if job.end_mark:
                        events = ResumableStream(
                            answer, call=call, client=self._upstreams, stack=stack
                        )
                        answer = answer._replace(
                            body=events, before_wait=events.before_wait
                        )
                    return await relay_stream(
                        answer, responder, self._now_ms, end_mark=job.end_mark
                    )
                is_head = job.request.method == "HEAD"
                return await relay_buffered(answer, self._now_ms, is_head=is_head)

    def _release(
        self,
        job: Job,
        held: HeldPermit,
        call: UpstreamCall,
        *,
        relayed: RelayedAnswer | None,
        failure: str,
        started_ms: float,
    ) -> None:
        now_ms = self._now_ms()
        first_ms = relayed.first_ms - started_ms if relayed is not None else 0
        pieces = relayed.piece_count if relayed is not None else 0
        release = Release(
            held.permit.ask_id,
            job.pool,
            held.permit.upstream,
            call.may_have_sent,
            failure,
            max(0, int(first_ms)),
            max(0, int(now_ms - started_ms)),
            job.ask.prompt_tokens,
            pieces if job.is_stream else job.ask.output_tokens,
        )
        self._permit_client.release(held, release)

    def _candidate_zones(self, job: Job, excluded: tuple[str, ...]) -> tuple[str, ...]:
        """Return the zones with upstreams for the job, the shortest wait first."""
        own = self._membership.vm
        now_ms = self._now_ms()
        loads: dict[str, ZoneLoad] = {}
        for record in self._membership.all_upstreams():
            if job.pool not in record.pools or record.name in excluded:
                continue
            is_far = record.region != own.region
            if is_far and not job.rules["cross_region"]:
                continue
            if record.zone not in loads:
                loads[record.zone] = ZoneLoad(
                    record.zone,
                    record.zone == own.zone,
                    is_far,
                    self._membership.pool_summary(job.pool, record.zone, now_ms),
                )
        return order_zones(loads.values(), tier=job.tier)

    def _request_headers(self, job: Job) -> tuple[tuple[bytes, bytes], ...]:
        lines = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in job.request.headers
            if name not in _DROPPED_REQUEST_HEADERS
            and name.encode("latin-1") not in HOP_BY_HOP_HEADERS
        ]
        lines.append((b"host", job.pool.encode()))
        lines.append((b"content-length", str(len(job.request.body)).encode()))
        lines.append((b"x-request-id", job.request.request_id.encode()))
        carrier: dict[str, str] = {}
        propagate.inject(carrier)
        lines += [(name.encode(), value.encode()) for name, value in carrier.items()]
        return tuple(lines)


def _deadline_error(progress: Progress) -> RequestError:
    if progress.may_have_sent:
        return RequestError(ErrorKind.DEADLINE_RUNNING, "deadline passed")
    return RequestError(ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch")


def _is_streamed(answer: UpstreamAnswer) -> bool:
    """Return whether an answer is a stream of events.

    A success without a length counts as one, whatever its type.
    """
    lines = dict(answer.headers)
    is_event_stream = lines.get(b"content-type", b"").startswith(EVENT_STREAM_TYPE)
    return answer.status == 200 and (is_event_stream or b"content-length" not in lines)
