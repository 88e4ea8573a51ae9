"""Runs requests with an idempotency key to completion, with or without the caller."""

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
from hemlocktrestle.daemon._relay import RelayedAnswer, forwarded_headers
from hemlocktrestle.daemon._request_parser import Job, key_fingerprint
from hemlocktrestle.errors import ErrorKind, RequestError

# Operators filter logs by this name; it is older than the module's.
log = logging.getLogger("hemlocktrestle.daemon._claimed")


class DetachableResponder(Responder):
    """A responder that can be detached from the caller while the request goes on.

    It also keeps a copy of the response body for the claim.

    Args:
        target: the responder of the caller.
    """

    def __init__(self, target: Responder) -> None:
        super().__init__(self._forward, target.request_id)
        self._target: Responder | None = target
        self._kept_body: bytearray | None = bytearray()

    def detach(self) -> None:
        """Stop sending to the caller."""
        self._target = None

    @property
    def is_detached(self) -> bool:
        """Whether nothing more is sent to the caller."""
        return self._target is None

    def body(self) -> bytes | None:
        """Return the body sent so far, or ``None`` if it was too large to keep."""
        return bytes(self._kept_body) if self._kept_body is not None else None

    async def _send_bounded(self, event: dict[str, Any]) -> None:
        await self._forward(event)

    async def _forward(self, event: dict[str, Any]) -> None:
        self._keep_body(event.get("body", b""))
        target = self._target
        if target is None:
            await trio.lowlevel.checkpoint()
            return
        target.is_started = self.is_started
        target.is_finished = self.is_finished
        try:
            await target._send_bounded(event)
        except RequestError:
            # The caller is gone or too slow; the request goes on without it.
            self.detach()

    def _keep_body(self, data: bytes) -> None:
        if self._kept_body is None:
            return
        self._kept_body += data
        if len(self._kept_body) > ANSWER_BYTES_MAX:
            self._kept_body = None


class _Completion:
    """Result of a request that runs in a task of its own."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.value: RelayedAnswer | RecordedAnswer | None = None
        self.error: RequestError | None = None


class KeyedRequestRunner:
    """Runs jobs that have an idempotency key, each under a claim, in its own task.

    Args:
        claims: durable claims of keys.
        dispatcher: dispatches jobs to upstreams.
        tracer: creates spans.
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
        """Run the request tasks and the repair queue of claims until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await self._claims.repairs.run()

    async def wait_idle(self) -> None:
        """Wait until no request is running."""
        while self._running_count:
            self._idle = trio.Event()
            await self._idle.wait()

    async def serve(
        self, job: Job, responder: Responder, progress: Progress, stack: ExitStack
    ) -> RelayedAnswer | RecordedAnswer:
        """Run a job under its key in a task of its own, and wait for the result.

        If this call is cancelled, the job goes on without the caller.

        Args:
            job: the job.
            responder: sends to the caller; not used once this call is cancelled.
            progress: receives the progress of the job.
            stack: closed when the job ends.

        Returns:
            The upstream's answer, or the one that was recorded earlier.

        Raises:
            RequestError: why there is no answer.
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
                self._log_without_caller(job, result)
            self._running_count -= 1
            if not self._running_count:
                self._idle.set()

    def _log_without_caller(self, job: Job, result: _Completion) -> None:
        error = result.error
        log.info(
            "keyed_work_ended_without_caller",
            extra={
                "request_id": job.request.request_id,
                "customer": job.limit_key.customer,
                "error_kind": error.kind.value if error is not None else "",
            },
        )

    async def _run(
        self, job: Job, responder: DetachableResponder, progress: Progress
    ) -> RelayedAnswer | RecordedAnswer:
        opened = await self._open(job)
        if isinstance(opened, RecordedAnswer):
            return opened
        try:
            relayed = await self._dispatcher.run(
                job,
                responder,
                progress,
                check_send=lambda: self._claims.check_runnable(opened),
            )
        except Exception:
            if progress.may_have_sent:
                await self._claims.mark_unknown(opened)
            else:
                await self._claims.drop(opened)
            raise
        await self._record(opened, relayed, responder)
        return relayed

    async def _open(self, job: Job) -> OpenClaim | RecordedAnswer:
        assert job.key is not None
        with self._tracer.start_as_current_span("claim"):
            return await self._claims.open(
                job.limit_key.customer,
                job.key,
                fingerprint=key_fingerprint(job),
                request_id=job.request.request_id,
                run_ms=job.ask.deadline_ms,
            )

    async def _record(
        self,
        open_claim: OpenClaim,
        relayed: RelayedAnswer,
        responder: DetachableResponder,
    ) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in forwarded_headers(relayed.headers)
        )
        body = relayed.body if relayed.body is not None else responder.body()
        await self._claims.finish(
            open_claim, RecordedAnswer(relayed.status, headers, body)
        )
