"""Bringing a job to an upstream: permit, dispatch and relay of the answer."""

import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from functools import partial

import trio
from opentelemetry import propagate
from opentelemetry.trace import Tracer

from hemlocktrestle.adapters import Responder
from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.daemon._relay import (
    HOP_BY_HOP,
    Relayed,
    relay_stream,
    relay_whole,
)
from hemlocktrestle.daemon._request_parser import Job, is_chat
from hemlocktrestle.daemon._stream_resume import ResumableStream
from hemlocktrestle.entry import ZoneLoad, order_zones
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership
from hemlocktrestle.peers._permit_client import HeldPermit, PermitClient
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall, UpstreamClient
from hemlocktrestle.wire import Release

UPSTREAM_SILENCE_MS = 30_000
"""Longest silence of an upstream in the midst of a call, in milliseconds."""

DISPATCH_ATTEMPTS_MAX = 4
"""Permits that one request may use up before a byte of it leaves."""

RETRY_MS_MAX = 50.0
"""Longest pause before another permit is asked for, in milliseconds."""

_DROPPED_REQUEST_HEADERS = frozenset(
    {"host", "authorization", "content-length", "x-hemlocktrestle-tier", "traceparent"}
)


_RETRIED_KINDS = frozenset({ErrorKind.UPSTREAM_UNREACHABLE, ErrorKind.PERMIT_STALE})
"""Failures after a permit that leave the request free to be asked for anew."""


class Progress:
    """How far a job has come, readable at any time, also after a cancellation."""

    __slots__ = ("call", "held")

    def __init__(self) -> None:
        self.call: UpstreamCall | None = None
        self.held: HeldPermit | None = None

    def start_attempt(self) -> None:
        """Forget the permit of an attempt from which no byte left."""
        self.call = self.held = None

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have left for an upstream."""
        return self.call is not None and self.call.may_have_sent

    @property
    def upstream(self) -> str:
        """Name of the upstream of the latest permit, or empty."""
        return self.held.permit.upstream if self.held is not None else ""


class RetryBudget:
    """Keeps repeated attempts to a share of the requests, so they cannot pile up."""

    EARNED_COUNT = 0.1
    """Attempts that each request earns for all."""

    SAVED_COUNT_MAX = 20.0
    """Attempts that can be saved up."""

    def __init__(self) -> None:
        self._saved_count = self.SAVED_COUNT_MAX

    def earn(self) -> None:
        """Count a request."""
        self._saved_count = min(
            self.SAVED_COUNT_MAX, self._saved_count + self.EARNED_COUNT
        )

    def spend(self) -> bool:
        """Count a repeated attempt; ``False`` if there is no room for it."""
        if self._saved_count < 1:
            return False
        self._saved_count -= 1
        return True


class Dispatcher:
    """Dispatches the jobs that this VM holds, each at most once.

    Args:
        membership: upstreams and zones.
        asker: obtains permits.
        upstreams: dials upstreams.
        crashes: watches for requests that crash their upstreams.
        tracer: makes spans.
        now_ms: returns the time of the process in milliseconds.
        jitter: source of the pauses between attempts.
    """

    def __init__(
        self,
        *,
        membership: Membership,
        asker: PermitClient,
        upstreams: UpstreamClient,
        crashes: CrashMonitor,
        tracer: Tracer,
        now_ms: Callable[[], float],
        jitter: random.Random,
    ) -> None:
        self._membership = membership
        self._asker = asker
        self._upstreams = upstreams
        self._crashes = crashes
        self._tracer = tracer
        self._now_ms = now_ms
        self._jitter = jitter
        self._budget = RetryBudget()

    async def run(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        *,
        check_send: Callable[[], None] = lambda: None,
    ) -> Relayed:
        """Bring a job to its end; ask anew as long as no byte of it has left.

        Args:
            job: the job.
            responder: the way to the caller; a stream goes out as it comes.
            progress: tells how far the job has come.
            check_send: raises if the job must not be dispatched any more.

        Returns:
            What the upstream answered; an answer with a body has not gone out.

        Raises:
            RequestError: why there is no whole answer.
        """
        self._budget.earn()
        if not is_chat(job):
            return await self._run_attempts(job, responder, progress, check_send)
        body = job.request.body
        async with self._crashes.guard(body, deadline_at_ms=job.deadline_at_ms):
            relayed = await self._run_attempts(job, responder, progress, check_send)
        self._crashes.completed(job.pool, body, request_id=job.request.request_id)
        return relayed

    async def _run_attempts(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        check_send: Callable[[], None],
    ) -> Relayed:
        excluded: tuple[str, ...] = ()
        for attempt in range(DISPATCH_ATTEMPTS_MAX):
            numbered = job._replace(
                ask=job.ask._replace(
                    ask_id=f"{job.ask.ask_id}.{attempt}", excluded=excluded
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
            if progress.held is None or not self._zones(job, excluded):
                break
            await trio.sleep(self._jitter.uniform(0, RETRY_MS_MAX) / 1000)
        raise last

    async def _attempt(
        self,
        job: Job,
        responder: Responder,
        progress: Progress,
        check_send: Callable[[], None],
    ) -> Relayed:
        held, call = await self._dispatchable(job, check_send)
        progress.held, progress.call = held, call
        started_ms = self._now_ms()
        relayed: Relayed | None = None
        failure = ErrorKind.CALLER_GONE.value
        try:
            with trio.move_on_after(
                max(0.0, job.deadline_at_ms - started_ms) / 1000
            ) as scope:
                relayed = await self._dispatch(job, call, responder)
            if scope.cancelled_caught:
                raise _too_late(progress)
            failure = ""
        except RequestError as error:
            failure = error.kind.value
            if error.kind is ErrorKind.UPSTREAM_BROKEN and is_chat(job):
                await self._suspect(job, held)
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

    async def _suspect(self, job: Job, held: HeldPermit) -> None:
        await self._crashes.broke(
            job.pool,
            job.request.body,
            upstream=held.permit.upstream,
            address=held.permit.address,
            request_id=job.request.request_id,
        )

    async def _dispatchable(
        self, job: Job, check_send: Callable[[], None]
    ) -> tuple[HeldPermit, UpstreamCall]:
        with self._tracer.start_as_current_span("permit") as span:
            held = await self._asker.obtain(
                job.ask,
                zones=self._zones(job, job.ask.excluded),
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
            # A connection kept from earlier may have gone silent unnoticed.
            is_fresh_connection=True,
            inactivity_timeout_ms=UPSTREAM_SILENCE_MS,
            check_send=partial(self._check_send, job, held, check_send),
        )
        return held, call

    def _check_send(
        self, job: Job, held: HeldPermit, check_send: Callable[[], None]
    ) -> None:
        """Raise if a byte must not leave: time may have passed while connecting.

        A process that was stopped after it read its permit also ends up here.
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
        check_send()

    async def _dispatch(
        self, job: Job, call: UpstreamCall, responder: Responder
    ) -> Relayed:
        async with AsyncExitStack() as stack:
            span = stack.enter_context(self._tracer.start_as_current_span("dispatch"))
            answer = await stack.enter_async_context(self._upstreams.call(call))
            span.set_attribute("status", answer.status)
            if answer.status == 503:
                raise RequestError(
                    ErrorKind.UPSTREAM_REFUSED, "upstream refused the work"
                )
            with self._tracer.start_as_current_span("relay"):
                if job.is_stream and _comes_in_pieces(answer):
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
                return await relay_whole(answer, self._now_ms, is_head=is_head)

    def _release(
        self,
        job: Job,
        held: HeldPermit,
        call: UpstreamCall,
        *,
        relayed: Relayed | None,
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
        self._asker.release(held, release)

    def _zones(self, job: Job, excluded: tuple[str, ...]) -> tuple[str, ...]:
        """Return zones with upstreams for the job, the shortest wait first."""
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
            and name.encode("latin-1") not in HOP_BY_HOP
        ]
        lines.append((b"host", job.pool.encode()))
        lines.append((b"content-length", str(len(job.request.body)).encode()))
        lines.append((b"x-request-id", job.request.request_id.encode()))
        carrier: dict[str, str] = {}
        propagate.inject(carrier)
        lines += [(name.encode(), value.encode()) for name, value in carrier.items()]
        return tuple(lines)


def _too_late(progress: Progress) -> RequestError:
    if progress.may_have_sent:
        return RequestError(ErrorKind.DEADLINE_RUNNING, "deadline passed")
    return RequestError(ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch")


def _comes_in_pieces(answer: UpstreamAnswer) -> bool:
    """Tell whether an answer's length is unknown when it starts."""
    has_length = any(name == b"content-length" for name, _ in answer.headers)
    return answer.status == 200 and not has_length
