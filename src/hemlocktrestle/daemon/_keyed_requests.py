"""Keyed work: it goes on to its end also when its caller goes away."""

import logging
from contextlib import ExitStack
from typing import Any

import trio
from opentelemetry.trace import Tracer

from hemlocktrestle.adapters import Responder
from hemlocktrestle.claims import (
    ANSWER_BYTES_MAX,
    ClaimRegistry,
    OpenClaim,
    RecordedAnswer,
)
from hemlocktrestle.daemon._dispatch import Dispatcher, Progress
from hemlocktrestle.daemon._relay import Relayed, passed_on
from hemlocktrestle.daemon._request_parser import Job, key_fingerprint
from hemlocktrestle.errors import ErrorKind, RequestError

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._claimed")


class DetachableResponder(Responder):
    """A way to the caller that may end before the work does.

    Args:
        target: the way to the caller.
    """

    def __init__(self, target: Responder) -> None:
        super().__init__(self._forward, target.request_id)
        self._target: Responder | None = target
        self._kept: bytearray | None = bytearray()

    def detach(self) -> None:
        """Send nothing more to the caller."""
        self._target = None

    @property
    def is_detached(self) -> bool:
        """Whether nothing more goes to the caller."""
        return self._target is None

    def body(self) -> bytes | None:
        """Return what went by, or ``None`` if it was too large to keep."""
        return bytes(self._kept) if self._kept is not None else None

    async def _send_bounded(self, event: dict[str, Any]) -> None:
        await self._forward(event)

    async def _forward(self, event: dict[str, Any]) -> None:
        self._keep(event.get("body", b""))
        target = self._target
        if target is None:
            await trio.lowlevel.checkpoint()
            return
        target.is_started = self.is_started
        target.is_finished = self.is_finished
        try:
            await target._send_bounded(event)
        except RequestError:
            # The caller takes nothing in; the work goes on without it.
            self.detach()

    def _keep(self, data: bytes) -> None:
        if self._kept is None:
            return
        self._kept += data
        if len(self._kept) > ANSWER_BYTES_MAX:
            self._kept = None


class _Completion:
    """Where the work leaves what came of it."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.value: Relayed | RecordedAnswer | None = None
        self.error: RequestError | None = None


class KeyedRequestRunner:
    """Runs jobs that have a key, each under a claim, in tasks of its own.

    Args:
        claims: durable claims of keys.
        dispatcher: brings jobs to upstreams.
        tracer: makes spans.
    """

    def __init__(
        self, *, claims: ClaimRegistry, dispatcher: Dispatcher, tracer: Tracer
    ) -> None:
        self._claims = claims
        self._dispatcher = dispatcher
        self._tracer = tracer
        self._nursery: trio.Nursery | None = None
        self._running_count = 0
        self._idle = trio.Event()

    async def run(self) -> None:
        """Own the tasks of the work until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._claims.repairs.run()

    async def finish(self) -> None:
        """Return when no work runs."""
        while self._running_count:
            self._idle = trio.Event()
            await self._idle.wait()

    async def serve(
        self, job: Job, responder: Responder, progress: Progress, stack: ExitStack
    ) -> Relayed | RecordedAnswer:
        """Have a job run under its key, and wait for what comes of it.

        Args:
            job: the job.
            responder: the way to the caller; unused once this call is cancelled.
            progress: tells how far the job has come.
            stack: closed when the work ends.

        Returns:
            The upstream's answer, or the one that was recorded earlier.

        Raises:
            RequestError: why there is none.
        """
        if self._nursery is None:
            stack.close()
            raise RequestError(ErrorKind.DRAINING, "keyed work is not taken in")
        result = _Completion()
        detachable = DetachableResponder(responder)
        self._running_count += 1
        self._nursery.start_soon(
            self._run_task, job, detachable, progress, stack, result, name="keyed work"
        )
        try:
            await result.done.wait()
        finally:
            detachable.detach()
        if result.value is None:
            raise result.error or RequestError(ErrorKind.INTERNAL, "no result")
        return result.value

    async def _run_task(
        self,
        job: Job,
        responder: DetachableResponder,
        progress: Progress,
        stack: ExitStack,
        result: _Completion,
    ) -> None:
        try:
            with stack:
                result.value = await self._run(job, responder, progress)
        except RequestError as error:
            result.error = error
        except Exception:
            log.exception(
                "request_failed", extra={"request_id": job.request.request_id}
            )
        finally:
            result.done.set()
            if responder.is_detached:
                self._log_alone(job, result)
            self._running_count -= 1
            if not self._running_count:
                self._idle.set()

    def _log_alone(self, job: Job, result: _Completion) -> None:
        error = result.error
        log.info(
            "keyed_work_ended_without_caller",
            extra={
                "request_id": job.request.request_id,
                "customer": job.party.customer,
                "error_kind": error.kind.value if error is not None else "",
            },
        )

    async def _run(
        self, job: Job, responder: DetachableResponder, progress: Progress
    ) -> Relayed | RecordedAnswer:
        held = await self._open(job)
        if isinstance(held, RecordedAnswer):
            return held
        try:
            relayed = await self._dispatcher.run(
                job,
                responder,
                progress,
                check_send=lambda: self._claims.check_runnable(held),
            )
        except Exception:
            if progress.may_have_sent:
                await self._claims.mark_unknown(held)
            else:
                await self._claims.drop(held)
            raise
        await self._record(held, relayed, responder)
        return relayed

    async def _open(self, job: Job) -> OpenClaim | RecordedAnswer:
        assert job.key is not None
        with self._tracer.start_as_current_span("claim"):
            return await self._claims.open(
                job.party.customer,
                job.key,
                fingerprint=key_fingerprint(job),
                request_id=job.request.request_id,
                run_ms=job.ask.deadline_ms,
            )

    async def _record(
        self, held: OpenClaim, relayed: Relayed, responder: DetachableResponder
    ) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in passed_on(relayed.headers)
        )
        body = relayed.body if relayed.body is not None else responder.body()
        await self._claims.finish(held, RecordedAnswer(relayed.status, headers, body))
