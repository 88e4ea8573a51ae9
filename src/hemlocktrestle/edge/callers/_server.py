"""Serves one caller's request: admission, attempts at replicas, and the answer."""

import logging
import random
from collections.abc import Callable
from contextlib import AsyncExitStack, ExitStack
from typing import NamedTuple

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts._attempt import Attempt, SealedAnswer
from hemlocktrestle.edge.attempts._attempt_log import log_answer_cut
from hemlocktrestle.edge.attempts._attempt_sequence import AttemptSequence
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.callers._answer import error_answer
from hemlocktrestle.edge.callers._identify import identify_request
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._progress import RequestProgress
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas, over_quota
from hemlocktrestle.edge.placing._notice_placer import NoticePlacer
from hemlocktrestle.edge.placing._placement import (
    AttemptEnd,
    AttemptReport,
    Placement,
    Placer,
)
from hemlocktrestle.edge.placing._quarantine_placer import QuarantinePlacer
from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError, forget_frames
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import CallerConnection, CallerRequest

log = logging.getLogger(__name__)


def _ignore(job: Job, placement: Placement, report: AttemptReport) -> None:
    """Ignore the end of an attempt."""


class ServedRequest(NamedTuple):
    """How a request ended, for logs and metrics."""

    job: Job | None
    outcome: str
    status: int
    progress: RequestProgress


class EdgeServer:
    """Serves callers' requests.

    Args:
        state: shared state of the process.
        placer: decides when requests are sent, and to which replicas.
        quotas: counts requests against quotas.
        quarantine: registry of requests that crash replicas.
        part_gate: refuses requests with parts that crash replicas.
        on_served: called when a request has ended.
        on_replica_disconnected: called when a replica closed the connection without
            an answer.
        on_attempt: called when an attempt has ended.
        jitter: spreads the times at which refused callers come back.
    """

    def __init__(
        self,
        state: EdgeState,
        placer: Placer,
        *,
        quotas: EdgeQuotas,
        quarantine: QuarantineRegistry,
        part_gate: PartGate,
        on_served: Callable[[ServedRequest], None],
        on_replica_disconnected: Callable[[Job, Placement, AttemptReport], None],
        on_attempt: Callable[[Job, Placement, AttemptReport], None] = _ignore,
        jitter: random.Random | None = None,
    ) -> None:
        self._jitter = jitter or random.Random()
        self._on_attempt = on_attempt
        self._state = state
        self._placer = QuarantinePlacer(
            NoticePlacer(state, placer),
            check=self._check_quarantine,
            part_gate=part_gate,
        )
        self._quotas = quotas
        self._quarantine = quarantine
        self._part_gate = part_gate
        self._on_served = on_served
        self._on_replica_disconnected = on_replica_disconnected
        self.running_count = 0

    async def serve(self, request: CallerRequest, connection: CallerConnection) -> None:
        """Answer one request; cancelled if the caller disconnects."""
        progress = RequestProgress()
        job: Job | None = None
        outcome, status = "caller_gone", 0
        self.running_count += 1
        try:
            job = self._admit(request, progress)
            with (
                self._state.shutdown.limit_answer(connection),
                trio.move_on_at(job.deadline_at_ms / 1000) as scope,
            ):
                status = await self._run_attempts(job, connection, progress)
                outcome = "answered"
            if scope.cancelled_caught:
                raise _deadline_error(progress)
        except RequestError as original:
            error = _as_possibly_run(original, progress)
            outcome = error.kind.value
            answer = error_answer(
                error, may_have_sent=progress.may_have_sent, jitter=self._jitter
            )
            status = answer.status
            if connection.is_answer_started:
                log_answer_cut(error, progress)
            else:
                await connection.send_answer(status, answer.headers, answer.body)
            # The error refers to frames, and these to the request's body.
            forget_frames(original)
            forget_frames(error)
            del error
        finally:
            self.running_count -= 1
            self._on_served(ServedRequest(job, outcome, status, progress))

    def _admit(self, request: CallerRequest, progress: RequestProgress) -> Job:
        """Look up route, customer and service of a request, and check its quota."""
        target = request.target.decode("latin-1")
        metadata = self._state.header_codec.parse_request(target, request.headers)
        job = identify_request(self._state, request, metadata, progress)
        self._check_quarantine(job)
        self._spend_quota(job)
        self._state.retry_budget(job.service.name).record_request(now_ms())
        return job

    def _check_quarantine(self, job: Job) -> None:
        """Refuse a request that crashes replicas, by itself or by a part of its prompt.

        Raises:
            RequestError: of kind ``QUARANTINED``.
        """
        now = now_ms()
        entry = self._quarantine.find(job.fingerprint, now)
        if entry is not None and entry.is_quarantined:
            raise RequestError(
                ErrorKind.QUARANTINED,
                "requests like this one crash replicas",
                retry_after_ms=entry.expires_ms - now,
            )
        self._part_gate.check(job)

    def _spend_quota(self, job: Job) -> None:
        """Count a request that needs no permit against its customer's quota.

        Requests to engines are counted at the pool scheduler.
        """
        if job.customer is None or job.service.engine is not None:
            return
        wait_ms = self._quotas.spend(
            job.customer, job.amount, request_id=job.metadata.request_id
        )
        if wait_ms is not None:
            raise over_quota(wait_ms)

    async def _run_attempts(
        self, job: Job, connection: CallerConnection, progress: RequestProgress
    ) -> int:
        """Send a request to replicas until one answers or no retry is allowed."""
        failure = RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        sealed: SealedAnswer | None = None
        async with AsyncExitStack() as stack:
            kept = stack.enter_context(ExitStack())
            attempts = await stack.enter_async_context(
                AttemptSequence(
                    self._state,
                    self._placer,
                    job,
                    connection,
                    progress,
                    on_ended=self._record_end,
                    is_suspected=self._part_gate.is_suspected,
                    kept=kept,
                )
            )
            while attempt := await attempts.next(
                failure, has_answer=sealed is not None
            ):
                report = AttemptReport(AttemptEnd.ABANDONED, 0.0, 0.0, 0)
                try:
                    report = await attempt.run()
                finally:
                    if report.end is AttemptEnd.ABANDONED:
                        report = attempt.report_cancelled()
                    self._part_gate.on_attempt_ended(job, report)
                    self._placer.release(job, attempt.placement, report)
                    self._record_end(job, attempt, report)
                if report.end is AttemptEnd.RELAYED:
                    if attempt.sealed_answer is None:
                        return attempt.status
                    sealed = attempt.sealed_answer
                    break
                await self._part_gate.wait_for_verdict(job, attempt.placement)
                failure = attempt.failure or failure
                sealed = attempt.sealed_answer or sealed
            await attempts.withdraw()
            if sealed is not None and not connection.is_answer_started:
                await connection.send_blocks(sealed.status, sealed.headers, sealed.body)
                return sealed.status
        raise failure

    def _record_end(self, job: Job, attempt: Attempt, report: AttemptReport) -> None:
        placement = attempt.placement
        log.info(
            "attempt_ended",
            extra={
                "request": job.metadata.request_id,
                "replica": placement.replica_id,
                "end": report.end.value,
                "status": attempt.status,
                "failure": attempt.failure.message if attempt.failure else "",
                "first_ms": round(report.first_ms),
                "total_ms": round(report.total_ms),
                "events": report.event_count,
                "locality": placement.locality.value if placement.locality else "",
                "sent_bytes": len(job.request.body),
                "answer_bytes": report.answer_bytes,
                "is_kept": attempt.reuse.has_taken,
            },
        )
        self._on_attempt(job, placement, report)
        if report.end is AttemptEnd.BROKEN:
            self._on_replica_disconnected(job, placement, report)
        elif report.end is AttemptEnd.RELAYED:
            self._acquit(job)

    def _acquit(self, job: Job) -> None:
        """Note that such a request was answered and so crashes no replica."""
        if self._quarantine.record_answer(job.fingerprint, now_ms()):
            log.info(
                "request_acquitted",
                extra={
                    "request": job.metadata.request_id,
                    "fingerprint": job.fingerprint,
                    "source": "answer",
                },
            )


def _as_possibly_run(error: RequestError, progress: RequestProgress) -> RequestError:
    """Replace an error whose kind states that the request did not run, if it may have.

    Callers rely on the kind and the status of an error to decide on retries.
    """
    if not progress.may_have_sent or ANSWERS[error.kind].can_follow_send:
        return error
    return RequestError(ErrorKind.UPSTREAM_BROKEN, error.message)


def _deadline_error(progress: RequestProgress) -> RequestError:
    if progress.may_have_sent:
        return RequestError(ErrorKind.DEADLINE_RUNNING, "no answer in time")
    return RequestError(ErrorKind.DEADLINE_IN_QUEUE, "no replica was free in time")
