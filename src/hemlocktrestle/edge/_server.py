"""Serving one caller's request, from its head to the end of its answer."""

import logging
from collections.abc import Callable
from typing import NamedTuple

import trio
import xxhash

from hemlocktrestle.edge._answer import error_answer
from hemlocktrestle.edge._attempt import Attempt, Progress, Sealed
from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._placement import AttemptEnd, AttemptReport, Placement, Placer
from hemlocktrestle.edge._quota_gate import EdgeQuotas, over_quota
from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.errors import ANSWERS, ErrorKind, RequestError
from hemlocktrestle.gateway import choose_service, urgency_rank
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import CallerConnection, CallerRequest

log = logging.getLogger(__name__)

SENDS_MAX = 3
"""Replicas that one request is offered to at most, refusals by replicas included."""

CONNECTS_MAX = 4
"""Replicas that a connection is tried to for one request."""

DEADLINE_DEFAULT_MS = 60_000.0
"""Time that a caller is taken to wait if it does not say, in milliseconds."""


def _ignore(job: Job, place: Placement, report: AttemptReport) -> None:
    """Take no note of an attempt."""


class Served(NamedTuple):
    """How a request ended, for logs and metrics."""

    job: Job | None
    outcome: str
    status: int
    progress: Progress


class EdgeServer:
    """Serves callers' requests.

    Args:
        state: what the process believes.
        scheduler: chooses when and where requests run.
        quotas: counts requests against quotas.
        quarantine: requests that crash the replicas that run them.
        on_served: told of each request at its end.
        on_crash: told of a request whose replica broke off, and of the replica.
        on_attempt: told of each attempt at its end.
    """

    def __init__(
        self,
        state: EdgeState,
        placer: Placer,
        *,
        quotas: EdgeQuotas,
        quarantine: QuarantineRegistry,
        on_served: Callable[[Served], None],
        on_crash: Callable[[Job, Placement], None],
        on_attempt: Callable[[Job, Placement, AttemptReport], None] = _ignore,
    ) -> None:
        self._on_attempt = on_attempt
        self._state = state
        self._placer = placer
        self._quotas = quotas
        self._quarantine = quarantine
        self._on_served = on_served
        self._on_crash = on_crash
        self.running_count = 0

    async def serve(self, request: CallerRequest, connection: CallerConnection) -> None:
        """Answer one request; cancelled if the caller goes away."""
        progress = Progress()
        job: Job | None = None
        outcome, status = "caller_gone", 0
        self.running_count += 1
        try:
            job = self._admit(request, progress)
            with trio.move_on_at(job.deadline_at_ms / 1000) as scope:
                status = await self._run(job, connection, progress)
                outcome = "answered"
            if scope.cancelled_caught:
                raise _too_late(progress)
        except RequestError as found:
            error = _truthful(found, progress)
            outcome = error.kind.value
            answer = error_answer(error, may_have_sent=progress.may_have_sent)
            status = answer.status
            if not connection.is_answer_started:
                await connection.send_answer(status, answer.headers, answer.body)
        finally:
            self.running_count -= 1
            self._on_served(Served(job, outcome, status, progress))

    def _admit(self, request: CallerRequest, progress: Progress) -> Job:
        """Find route, customer and service of a request, and check its quota."""
        configuration = self._state.configuration
        if not self._state.takes_requests:
            raise RequestError(
                ErrorKind.DRAINING, "this VM is leaving", retry_after_ms=0.0
            )
        if configuration is None or not self._state.has_vms:
            raise RequestError(
                ErrorKind.SETTINGS_UNREADY, "no configuration is known yet"
            )
        target = request.target.decode("latin-1")
        facts = self._state.dialect.request_facts(target, request.headers)
        progress.request_id = facts.request_id
        route = configuration.route(facts.host, facts.path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route for host and path")
        progress.route = route.name
        customer = None
        if configuration.customers and not route.is_public:
            customer = configuration.customer_of(facts.key)
            if customer is None:
                raise RequestError(ErrorKind.UNKNOWN_TOKEN, "key is not known")
        name = choose_service(route, facts.request_id)
        service = configuration.services.get(name)
        if service is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, "service is not configured")
        waits_ms = facts.deadline_ms or DEADLINE_DEFAULT_MS
        job = Job(
            request=request,
            facts=facts,
            route=route,
            service=service,
            customer=customer,
            rank=urgency_rank(route, customer),
            fingerprint=_fingerprint(request, facts.key),
            deadline_at_ms=request.arrived_ms + min(waits_ms, route.timeout_ms),
        )
        entry = self._quarantine.find(job.fingerprint, now_ms())
        if entry is not None and entry.is_quarantined:
            raise RequestError(
                ErrorKind.QUARANTINED, "requests like this one crash replicas"
            )
        self._spend_quota(job)
        self._state.budget(service.name).record_request(now_ms())
        return job

    def _spend_quota(self, job: Job) -> None:
        """Count a request that asks no keeper against its customer's quota."""
        if job.customer is None or job.service.engine is not None:
            return
        wait_ms = self._quotas.spend(
            job.customer, job.amount, request_id=job.facts.request_id
        )
        if wait_ms is not None:
            raise over_quota(wait_ms)

    async def _run(
        self, job: Job, connection: CallerConnection, progress: Progress
    ) -> int:
        """Send a request to replicas until one answers or none may be tried."""
        excluded: set[str] = set()
        failure = RequestError(ErrorKind.NO_UPSTREAM, "no replica takes this work")
        sealed: Sealed | None = None
        while self._may_send(job, progress, failure):
            if progress.event_count:
                job = job._replace(is_begun=True)
            try:
                place = await self._placer.obtain(job, excluded=frozenset(excluded))
            except RequestError as error:
                if progress.may_have_sent:
                    break
                raise error
            excluded.add(place.replica_id)
            log.info(
                "request_permitted",
                extra={
                    "request": job.facts.request_id,
                    "permit": place.permit_id,
                    "replica": place.replica_id,
                    "address": place.address,
                    "keeper": place.granted_by,
                    "waited_ms": round(place.waited_ms),
                    "left_ms": round(job.deadline_at_ms - now_ms()),
                },
            )
            attempt = Attempt(
                self._state,
                job,
                place,
                connection,
                progress,
                on_pulse=self._placer.pulse,
            )
            report = AttemptReport(AttemptEnd.ABANDONED, 0.0, 0.0, 0)
            try:
                report = await attempt.run()
            finally:
                if report.end is AttemptEnd.ABANDONED:
                    report = attempt.report(AttemptEnd.ABANDONED)
                self._placer.release(job, place, report)
            self._note_end(job, place, attempt, report)
            if report.end is AttemptEnd.RELAYED:
                return attempt.status
            failure = attempt.failure or failure
            sealed = attempt.sealed or sealed
        if connection.is_answer_started:
            raise failure
        if sealed is not None:
            await connection.send_answer(sealed.status, sealed.headers, sealed.body)
            return sealed.status
        raise failure

    def _may_send(self, job: Job, progress: Progress, failure: RequestError) -> bool:
        """Tell whether a request may go to one more replica."""
        if not progress.connect_count:
            return True
        bar = self._bar_to_repeat(job, progress)
        log.info(
            "request_not_repeated" if bar else "request_repeated",
            extra={
                "request": job.facts.request_id,
                "after": failure.message,
                "reason": bar,
                "send_count": progress.send_count,
                "runs_count": progress.runs_count,
            },
        )
        return not bar

    def _bar_to_repeat(self, job: Job, progress: Progress) -> str:
        """Return what forbids one more attempt, or an empty text."""
        bars = {
            "attempts": progress.runs_count >= job.route.attempts,
            "may run once": bool(progress.runs_count) and not job.route.may_retry,
            "sends": progress.send_count >= SENDS_MAX,
            "connections": progress.connect_count >= CONNECTS_MAX,
        }
        for reason, holds in bars.items():
            if holds:
                return reason
        if not progress.send_count:
            return ""
        budget = self._state.budget(job.service.name)
        is_taken = budget.try_spend(self._state.fleet().vm_count, now_ms())
        return "" if is_taken else "budget"

    def _note_end(
        self, job: Job, place: Placement, attempt: Attempt, report: AttemptReport
    ) -> None:
        log.info(
            "attempt_ended",
            extra={
                "request": job.facts.request_id,
                "replica": place.replica_id,
                "end": report.end.value,
                "status": attempt.status,
                "failure": attempt.failure.message if attempt.failure else "",
                "first_ms": round(report.first_ms),
                "total_ms": round(report.total_ms),
                "events": report.event_count,
            },
        )
        self._on_attempt(job, place, report)
        if report.end is AttemptEnd.BROKEN:
            self._on_crash(job, place)
        elif report.end is AttemptEnd.RELAYED:
            self._quarantine.clear_suspicion(job.fingerprint)


def _truthful(error: RequestError, progress: Progress) -> RequestError:
    """Return an error that promises no more than is known."""
    if not progress.may_have_sent or ANSWERS[error.kind].can_follow_send:
        return error
    return RequestError(ErrorKind.UPSTREAM_BROKEN, error.message)


def _fingerprint(request: CallerRequest, key: str) -> str:
    digest = xxhash.xxh3_128(request.body)
    digest.update(b"\0".join((request.method, request.target, key.encode("latin-1"))))
    return digest.hexdigest()


def _too_late(progress: Progress) -> RequestError:
    if progress.may_have_sent:
        return RequestError(ErrorKind.DEADLINE_RUNNING, "no answer in time")
    return RequestError(ErrorKind.DEADLINE_IN_QUEUE, "no replica was free in time")
