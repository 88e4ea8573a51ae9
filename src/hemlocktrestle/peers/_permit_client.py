"""The holder's side of permits: it asks keepers and watches over its permits."""

import math
import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership
from hemlocktrestle.wire import (
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

ASK_ATTEMPTS_MAX = 8
"""Keepers or zones that one request may be asked of."""

RETRY_MS_MAX = 50.0
"""Longest pause before an ask is repeated, in milliseconds."""


class HeldPermit(NamedTuple):
    """A permit in hand, the keeper that gave it, and when it lapses."""

    permit: Permit
    scheduler_vm: str
    expires_ms: float


class _Held(NamedTuple):
    permit: Permit
    zone: str
    scheduler_vm: str
    prompt_tokens: int
    output_tokens: int


_SCHEDULER_GONE = ErrorKind.SCHEDULER_GONE.value

Reply = Permit | Refusal | Queued
"""What a keeper says to an ask."""

SendMessage = Callable[[str, Message], bool]


class PermitClient:
    """Asks for permits on behalf of the requests that this VM holds.

    Args:
        membership: who keeps which pool.
        send: sends a message to a VM; ``False`` if it cannot.
        now_ms: returns the time of the process in milliseconds.
        jitter: source of the pauses between attempts.
        ack_timeout_ms: how long a keeper may take to say that it holds an ask, or
            ``None`` if keepers do not say so.
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
        self._answer_ms = ack_timeout_ms
        self._send = send
        self._now_ms = now_ms
        self._jitter = jitter
        self._pending: dict[str, tuple[str, trio.MemorySendChannel[Reply]]] = {}
        self._held: dict[str, _Held] = {}

    async def obtain(
        self, ask: Ask, *, zones: tuple[str, ...], deadline_at_ms: float
    ) -> HeldPermit:
        """Obtain a permit for a request.

        Args:
            ask: the ask; its id and deadline are set anew for each attempt.
            zones: zones whose keepers may be asked, in order of preference.
            deadline_at_ms: when the request must be done.

        Returns:
            A permit that is still valid.

        Raises:
            RequestError: why there is none; nothing was sent to any upstream.
        """
        last = RequestError(ErrorKind.NO_UPSTREAM, "no upstream takes this work")
        zone_index = 0
        for attempt in range(ASK_ATTEMPTS_MAX):
            if zone_index >= len(zones):
                break
            # The keeper ends an ask first, so that its refusal says why.
            hold_ms = self._remaining_ms(deadline_at_ms) - (self._answer_ms or 0.0)
            numbered = ask._replace(
                ask_id=f"{ask.ask_id}.{attempt}", deadline_ms=max(1, int(hold_ms))
            )
            try:
                return await self._attempt(numbered, zones[zone_index], deadline_at_ms)
            except RequestError as error:
                last = error
            if last.kind in _FINAL_KINDS:
                break
            if last.kind in _NEXT_ZONE_KINDS:
                zone_index += 1
            else:
                pause_ms = self._jitter.uniform(0, RETRY_MS_MAX)
                left_ms = max(0.0, deadline_at_ms - self._now_ms())
                await trio.sleep(min(pause_ms, left_ms) / 1000)
        raise last

    def release(self, held: HeldPermit, release: Release) -> None:
        """Give a permit back to whoever keeps its pool now."""
        if release.failure == ErrorKind.UPSTREAM_REFUSED.value:
            self._membership.record_refusal(release.upstream, self._now_ms())
        entry = self._held.pop(release.ask_id, None)
        scheduler_vm = entry.scheduler_vm if entry is not None else held.scheduler_vm
        self._send(scheduler_vm, release)

    def pulse(self, held: HeldPermit, pulse: Pulse) -> None:
        """Tell whoever keeps the pool now how fast a request runs."""
        entry = self._held.get(pulse.ask_id)
        self._send(
            entry.scheduler_vm if entry is not None else held.scheduler_vm, pulse
        )

    def on_message(self, vm: str, message: Message) -> None:
        """Take in a permit or a refusal."""
        if isinstance(message, Queued):
            if message.ask_id in self._pending:
                self._pending[message.ask_id][1].send_nowait(message)
            return
        if not isinstance(message, Permit | Refusal):
            return
        if isinstance(message, Refusal) and message.kind == _SCHEDULER_GONE:
            # The next attempt must not find the same keeper again.
            self._membership.mark_leaving(vm)
            # The next keeper has to count what runs before it grants more.
            self.report_held_permits()
        entry = self._pending.pop(message.ask_id, None)
        if entry is not None:
            entry[1].send_nowait(message)
        elif isinstance(message, Permit) and message.ask_id not in self._held:
            self._send(vm, _unused(message))

    def on_link_closed(self, vm: str) -> None:
        """Take note that the link to a keeper broke: its asks are lost."""
        for ask_id, (scheduler_vm, channel) in list(self._pending.items()):
            if scheduler_vm == vm:
                del self._pending[ask_id]
                channel.send_nowait(Refusal(ask_id, ErrorKind.SCHEDULER_GONE.value))

    def report_held_permits(self) -> None:
        """Report permits in hand to keepers that took a pool over."""
        now_ms = self._now_ms()
        schedulers: dict[tuple[str, str], str | None] = {}
        for ask_id, held in list(self._held.items()):
            pool = held.permit.pool
            place = (pool, held.zone)
            if place not in schedulers:
                schedulers[place] = self._membership.scheduler_of(*place, now_ms)
            scheduler_vm = schedulers[place]
            if scheduler_vm is None or scheduler_vm == held.scheduler_vm:
                continue
            running = Running(
                ask_id,
                pool,
                held.permit.upstream,
                held.prompt_tokens,
                held.output_tokens,
            )
            if self._send(scheduler_vm, running):
                self._held[ask_id] = held._replace(scheduler_vm=scheduler_vm)

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
            reply = await self._reply(ask, scheduler_vm, receiver, deadline_at_ms)
        finally:
            if reply is None:
                # Withdrawing also frees a permit that came but was not read.
                self._pending.pop(ask.ask_id, None)
                self._send(scheduler_vm, Withdraw(ask.ask_id, ask.pool))
        if reply is None:
            raise RequestError(
                ErrorKind.DEADLINE_IN_QUEUE, "deadline passed before dispatch"
            )
        return self._judge(ask, zone, scheduler_vm, reply, asked_ms)

    async def _reply(
        self,
        ask: Ask,
        scheduler_vm: str,
        receiver: trio.MemoryReceiveChannel[Reply],
        deadline_at_ms: float,
    ) -> Permit | Refusal | None:
        """Wait for a keeper's reply until the deadline.

        Raises:
            RequestError: of kind ``KEEPER_GONE`` if the keeper does not even say
                that it holds the ask.
        """
        reply: Reply | None = None
        with trio.move_on_after(self._remaining_ms(deadline_at_ms) / 1000):
            with trio.move_on_after((self._answer_ms or math.inf) / 1000):
                reply = await receiver.receive()
            if reply is None:
                # It stays passed over until it is heard again.
                self._membership.mark_leaving(scheduler_vm)
                raise RequestError(ErrorKind.SCHEDULER_GONE, "keeper is silent")
            if isinstance(reply, Queued):
                reply = await receiver.receive()
        return None if isinstance(reply, Queued) else reply

    def _judge(
        self,
        ask: Ask,
        zone: str,
        scheduler_vm: str,
        reply: Permit | Refusal,
        asked_ms: float,
    ) -> HeldPermit:
        if isinstance(reply, Refusal):
            raise RequestError(
                ErrorKind(reply.kind),
                "no permit was given",
                retry_after_ms=reply.retry_after_ms or None,
            )
        elsewhere_ms = self._now_ms() - asked_ms - reply.waited_ms
        if elsewhere_ms > reply.valid_ms:
            self._send(scheduler_vm, _unused(reply))
            raise RequestError(ErrorKind.PERMIT_STALE, "permit came too late")
        self._held[ask.ask_id] = _Held(
            reply, zone, scheduler_vm, ask.prompt_tokens, ask.output_tokens
        )
        expires_ms = asked_ms + reply.waited_ms + reply.valid_ms
        return HeldPermit(reply, scheduler_vm, expires_ms)


_FINAL_KINDS = frozenset(
    {
        ErrorKind.DEADLINE_IN_QUEUE,
        ErrorKind.DEADLINE_UNMEETABLE,
        ErrorKind.RATE_LIMITED,
    }
)
_NEXT_ZONE_KINDS = frozenset({ErrorKind.NO_UPSTREAM, ErrorKind.SHED})


def _unused(permit: Permit) -> Release:
    return Release(permit.ask_id, permit.pool, permit.upstream, False, "", 0, 0, 0, 0)
