"""The requesting VM's side of permits: requests them and tracks those it holds."""

import logging
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.locality import RoundTrips
from hemlocktrestle.membership import Membership
from hemlocktrestle.wire import (
    NO_PART_LIMIT,
    Ask,
    Message,
    Permit,
    Pulse,
    Queued,
    Refusal,
    Release,
    Running,
    Withdraw,
)

log = logging.getLogger(__name__)

ASK_ATTEMPTS_MAX = 8
"""Attempts to get a permit for one request, over all schedulers and zones."""

RETRY_DELAY_MS_MAX = 50.0
"""Longest delay before a permit request is retried, in milliseconds."""


LATE_LOOP_MS = 50.0
"""Lateness of a timer from which the event loop counts as late, in milliseconds.

A quarter of the time limit of a scheduler's first reply.
"""


class HeldPermit(NamedTuple):
    """A permit that this VM holds, the VM that granted it, and its expiry time."""

    permit: Permit
    scheduler_vm: str
    expires_ms: float


class _Held(NamedTuple):
    """A held permit, and the schedulers that count its request as in flight.

    Several schedulers count it after the pool's assignment changed.
    """

    permit: Permit
    zone: str
    counted_by: set[str]
    prompt_tokens: int
    output_tokens: int


_SCHEDULER_GONE = ErrorKind.SCHEDULER_GONE.value

Reply = Permit | Refusal | Queued
"""A scheduler's reply to a permit request."""

SendMessage = Callable[[str, Message], bool]


class PermitClient:
    """Requests permits for the requests that this VM has accepted.

    Args:
        membership: which VM schedules which pool.
        send: sends a message to a VM; ``False`` if there is no link.
        now_ms: returns the time of the process in milliseconds.
        jitter: source of the random delays between attempts.
        ack_timeout_ms: timeout for the first reply of a scheduler (``Queued``, a permit
            or a refusal), or ``None`` if schedulers send no ``Queued``.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        send: SendMessage,
        now_ms: Callable[[], float],
        jitter: random.Random,
        ack_timeout_ms: float | None = None,
    ) -> None:
        self._membership = membership
        self._ack_timeout_ms = ack_timeout_ms
        self._send = send
        self._now_ms = now_ms
        self._jitter = jitter
        self._pending: dict[str, tuple[str, trio.MemorySendChannel[Reply]]] = {}
        self._held: dict[str, _Held] = {}
        self.round_trips = RoundTrips()

    async def obtain(
        self, ask: Ask, *, zones: tuple[str, ...], deadline_at_ms: float
    ) -> HeldPermit:
        """Obtain a permit for a request.

        Args:
            ask: the permit request; each attempt gets its own id and time limits.
            zones: zones whose schedulers may be asked, in order of preference.
            deadline_at_ms: when the request must be complete.

        Returns:
            A permit that is still valid.

        Raises:
            RequestError: no permit was granted; nothing was sent to an upstream.
        """
        last = RequestError(ErrorKind.NO_UPSTREAM, "no upstream takes this work")
        refusals: list[RequestError] = []
        zone_index = 0
        part_due_ms = math.inf
        if ask.aim_ms != NO_PART_LIMIT:
            part_due_ms = self._now_ms() + ask.aim_ms
        until_ms = min(deadline_at_ms, part_due_ms)
        for attempt in range(ASK_ATTEMPTS_MAX):
            if zone_index >= len(zones):
                break
            self._remaining_ms(until_ms)
            attempt_ask = ask._replace(
                ask_id=f"{ask.ask_id}.{attempt}",
                deadline_ms=self._scheduler_limit_ms(deadline_at_ms),
                aim_ms=NO_PART_LIMIT
                if math.isinf(part_due_ms)
                else self._scheduler_limit_ms(part_due_ms),
            )
            try:
                return await self._attempt(attempt_ask, zones[zone_index], until_ms)
            except RequestError as error:
                last = error
            if last.kind in _OVERLOAD_KINDS:
                refusals.append(last)
            if last.kind in _FINAL_KINDS:
                break
            if last.kind in _NEXT_ZONE_KINDS:
                zone_index += 1
            else:
                pause_ms = self._jitter.uniform(0, RETRY_DELAY_MS_MAX)
                remaining_ms = max(0.0, until_ms - self._now_ms())
                await trio.sleep(min(pause_ms, remaining_ms) / 1000)
        # A zone that was asked in vain after one had no room takes nothing back.
        raise min(refusals, key=_retry_after_ms, default=last)

    def release(self, held: HeldPermit, release: Release) -> None:
        """Return a permit to every scheduler that counts its request as in flight.

        One of them learns from the measurements, preferably the one that granted it
        and so knows what it expected.  The others only free their slot.
        """
        if release.failure == ErrorKind.UPSTREAM_REFUSED.value:
            self._membership.record_refusal(release.upstream, self._now_ms())
        entry = self._held.pop(release.ask_id, None)
        counted_by = entry.counted_by if entry is not None else {held.scheduler_vm}
        learner = min(
            counted_by,
            key=lambda vm: (vm != held.scheduler_vm, vm),
            default=held.scheduler_vm,
        )
        self._send(learner, release)
        for scheduler_vm in counted_by - {learner}:
            self._send(scheduler_vm, Withdraw(release.ask_id, release.pool))

    def pulse(self, held: HeldPermit, pulse: Pulse) -> None:
        """Report the speed of a running request to the scheduler that granted it."""
        self._send(held.scheduler_vm, pulse)

    def on_message(self, vm: str, message: Message) -> None:
        """Handle a scheduler's reply."""
        if isinstance(message, Queued):
            if message.ask_id in self._pending:
                self._pending[message.ask_id][1].send_nowait(message)
            return
        if not isinstance(message, Permit | Refusal):
            return
        if isinstance(message, Refusal) and message.kind == _SCHEDULER_GONE:
            # The next attempt must not go to the same scheduler again.
            self._membership.mark_leaving(vm)
            # The new scheduler must count the running requests before it grants more.
            self.report_held_permits()
        entry = self._pending.pop(message.ask_id, None)
        if entry is not None:
            entry[1].send_nowait(message)
        elif isinstance(message, Permit) and message.ask_id not in self._held:
            self._send(vm, _unused_release(message))

    def on_link_closed(self, vm: str) -> None:
        """Handle the end of the link to a VM.

        The scheduler drops this VM's permit requests and permits.  Pending requests
        are refused, and held permits are reported again to the pool's scheduler.
        """
        for held in self._held.values():
            held.counted_by.discard(vm)
        for ask_id, (scheduler_vm, channel) in list(self._pending.items()):
            if scheduler_vm == vm:
                del self._pending[ask_id]
                channel.send_nowait(Refusal(ask_id, ErrorKind.SCHEDULER_GONE.value))

    def report_held_permits(self) -> None:
        """Report held permits to the pools' schedulers that do not count them."""
        now_ms = self._now_ms()
        reported: Counter[str] = Counter()
        schedulers: dict[tuple[str, str], str | None] = {}
        for ask_id, held in self._held.items():
            pool = held.permit.pool
            pool_and_zone = (pool, held.zone)
            if pool_and_zone not in schedulers:
                schedulers[pool_and_zone] = self._membership.scheduler_of(
                    *pool_and_zone, now_ms
                )
            scheduler_vm = schedulers[pool_and_zone]
            if scheduler_vm is None or scheduler_vm in held.counted_by:
                continue
            running = Running(
                ask_id,
                pool,
                held.permit.upstream,
                held.prompt_tokens,
                held.output_tokens,
            )
            if self._send(scheduler_vm, running):
                held.counted_by.add(scheduler_vm)
                reported[scheduler_vm] += 1
        for scheduler_vm, count in reported.items():
            log.info(
                "permits_reported", extra={"keeper": scheduler_vm, "permits": count}
            )

    @property
    def _acknowledges_at_once(self) -> bool:
        """Whether schedulers reply at once, also to a request that has to wait."""
        return self._ack_timeout_ms is not None

    def _scheduler_limit_ms(self, until_ms: float) -> int:
        """Return the time that a scheduler is given until a time of this process.

        It is shorter by the timeout of the first reply, so that the scheduler's
        refusal, which has the reason, comes before this VM gives up.
        """
        limit_ms = until_ms - self._now_ms() - (self._ack_timeout_ms or 0.0)
        return max(1, int(limit_ms))

    def _remaining_ms(self, deadline_at_ms: float) -> float:
        remaining_ms = deadline_at_ms - self._now_ms()
        if remaining_ms <= 0:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            )
        return remaining_ms

    async def _attempt(self, ask: Ask, zone: str, deadline_at_ms: float) -> HeldPermit:
        asked_ms = self._now_ms()
        scheduler_vm = self._membership.scheduler_of(ask.pool, zone, asked_ms)
        if scheduler_vm is None:
            raise RequestError(ErrorKind.NO_UPSTREAM, "no keeper in reach")
        sender, receiver = trio.open_memory_channel[Reply](2)
        self._pending[ask.ask_id] = (scheduler_vm, sender)
        reply: Permit | Refusal | None = None
        try:
            if not self._send(scheduler_vm, ask):
                raise RequestError(ErrorKind.SCHEDULER_GONE, "keeper not in reach")
            reply = await self._receive_reply(
                ask, zone, scheduler_vm, receiver, deadline_at_ms
            )
        finally:
            if reply is None:
                # The withdrawal also frees a permit that arrived but was not read.
                self._pending.pop(ask.ask_id, None)
                self._send(scheduler_vm, Withdraw(ask.ask_id, ask.pool))
        if reply is None:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            )
        return self._check_reply(ask, zone, scheduler_vm, reply, asked_ms)

    async def _receive_reply(
        self,
        ask: Ask,
        zone: str,
        scheduler_vm: str,
        receiver: trio.MemoryReceiveChannel[Reply],
        deadline_at_ms: float,
    ) -> Permit | Refusal | None:
        """Wait for a scheduler's permit or refusal until the deadline.

        Raises:
            RequestError: of kind ``SCHEDULER_GONE`` if the scheduler does not
                acknowledge the request in time.
        """
        reply: Reply | None = None
        asked_ms = self._now_ms()
        with trio.move_on_after(self._remaining_ms(deadline_at_ms) / 1000):
            reply = await self._receive_first_reply(receiver)
            if reply is None:
                self._membership.mark_silent(scheduler_vm, self._now_ms())
                log.info(
                    "scheduler_silent",
                    extra={
                        "keeper": scheduler_vm,
                        "ask": ask.ask_id,
                        "waited_ms": round(self._now_ms() - asked_ms),
                    },
                )
                raise RequestError(ErrorKind.SCHEDULER_GONE, "keeper is silent")
            self._membership.mark_responsive(scheduler_vm)
            if self._acknowledges_at_once:
                replied_ms = self._now_ms()
                self.round_trips.learn(zone, replied_ms - asked_ms, replied_ms)
            if isinstance(reply, Queued):
                reply = await receiver.receive()
        return None if isinstance(reply, Queued) else reply

    async def _receive_first_reply(
        self, receiver: trio.MemoryReceiveChannel[Reply]
    ) -> Reply | None:
        """Wait for a scheduler's first reply; ``None`` if it is silent.

        If the event loop itself is late, a reply may have arrived without having been
        read, so the wait starts again.
        """
        while True:
            until_ms = self._now_ms() + (self._ack_timeout_ms or math.inf)
            with trio.move_on_at(until_ms / 1000):
                return await receiver.receive()
            if self._now_ms() - until_ms < LATE_LOOP_MS:
                return None

    def _check_reply(
        self,
        ask: Ask,
        zone: str,
        scheduler_vm: str,
        reply: Permit | Refusal,
        asked_ms: float,
    ) -> HeldPermit:
        if isinstance(reply, Refusal):
            raise RequestError(
                _kind_of(reply),
                "no permit was given",
                retry_after_ms=reply.retry_after_ms or None,
            )
        permit_age_ms = self._now_ms() - asked_ms - reply.waited_ms
        if permit_age_ms > reply.valid_ms:
            self._send(scheduler_vm, _unused_release(reply))
            raise RequestError(ErrorKind.PERMIT_STALE, "permit came too late")
        self._held[ask.ask_id] = _Held(
            reply, zone, {scheduler_vm}, ask.prompt_tokens, ask.output_tokens
        )
        expires_ms = asked_ms + reply.waited_ms + reply.valid_ms
        return HeldPermit(reply, scheduler_vm, expires_ms)


_FINAL_KINDS = frozenset(
    {
        ErrorKind.DEADLINE_IN_QUEUE,
        ErrorKind.RATE_LIMITED,
    }
)
_KNOWN_KINDS = frozenset(kind.value for kind in ErrorKind)
_OVERLOAD_KINDS = frozenset({ErrorKind.SHED, ErrorKind.DEADLINE_UNMEETABLE})
_NEXT_ZONE_KINDS = _OVERLOAD_KINDS | {ErrorKind.NO_UPSTREAM}


def _retry_after_ms(error: RequestError) -> float:
    return math.inf if error.retry_after_ms is None else error.retry_after_ms


def _unused_release(permit: Permit) -> Release:
    return Release(permit.ask_id, permit.pool, permit.upstream, False, "", 0, 0, 0, 0)


def _kind_of(refusal: Refusal) -> ErrorKind:
    """Return the kind of a refusal; one of a later version grants no permit either."""
    if refusal.kind not in _KNOWN_KINDS:
        log.warning("refusal_unknown", extra={"reason": refusal.kind})
        return ErrorKind.SCHEDULER_GONE
    return ErrorKind(refusal.kind)
