"""Tests of permit requests to schedulers that do not respond, and of the retries."""

import random
from typing import Any

import trio
import trio.testing
from testtools import ExpectedException

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers import PermitClient
from hemlocktrestle.wire import (
    Ask,
    Message,
    Permit,
    Queued,
    Refusal,
    Release,
    Running,
    Withdraw,
)
from tests.support import TrioTestCase

POOL = "chat"
ACK_TIMEOUT_MS = 200.0
ASK = Ask("a1", POOL, "c", 0, 1.0, 10, 1, 0, 2_000)
RELEASE = Release("a1.0", POOL, "u1", True, "", 10, 100, 10, 1)


def now_ms() -> float:
    """Return the time of the test in milliseconds."""
    return trio.current_time() * 1000


class PermitClientTests(TrioTestCase):
    """A scheduler that does not respond costs a bounded time and leaks no permit."""

    def setUp(self) -> None:
        """Start with three live VMs, all of which respond."""
        super().setUp()
        self.unresponsive: set[str] = set()
        self.sent: list[tuple[str, Message]] = []

    def _new_client(self) -> PermitClient:
        vms = tuple(
            VmRecord(name, "z", "r", f"{name}:1", is_leaving=False)
            for name in ("v1", "v2", "v3")
        )
        upstream = UpstreamRecord(
            "u1", "z", "r", "u1:1", "engine", (POOL,), "g1", is_leaving=False, slots=2
        )
        self.membership = Membership(vms[0])
        self.membership.apply_listing(Listing(vms, (upstream,)))
        for vm in vms[1:]:
            self.membership.on_heartbeat(vm.name, now_ms(), is_draining=False)
        self.permit_client = PermitClient(
            self.membership,
            send=self._send,
            now_ms=now_ms,
            jitter=random.Random(1),
            ack_timeout_ms=ACK_TIMEOUT_MS,
        )
        return self.permit_client

    def _send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        if isinstance(message, Ask) and vm not in self.unresponsive:
            self.permit_client.on_message(vm, Queued(message.ask_id))
            permit = Permit(message.ask_id, POOL, "u1", "u1:1", 0, 1_000)
            self.permit_client.on_message(vm, permit)
        return True

    async def test_a_frozen_scheduler_is_passed_over(self) -> None:
        """The next scheduler grants the permit; the first gets a withdrawal."""
        client = self._new_client()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.unresponsive.add(first)
        started_ms = now_ms()
        held = await client.obtain(ASK, zones=("z",), deadline_at_ms=started_ms + 2_000)
        self.assertNotEqual(first, held.scheduler_vm)
        self.assertTrue(ACK_TIMEOUT_MS <= now_ms() - started_ms <= ACK_TIMEOUT_MS + 60)
        self.assertIn((first, Withdraw("a1.0", POOL)), self.sent)

    async def test_a_caller_that_leaves_sooner_waits_no_longer(self) -> None:
        """Guards against a wait beyond the time at which a stream's caller leaves.

        The time that an attempt took is not there for the next one.
        """
        client = self._new_client()
        self.unresponsive |= {"v1", "v2", "v3"}
        started_ms = now_ms()
        with ExpectedException(RequestError):
            await client.obtain(
                ASK._replace(deadline_ms=9_000, aim_ms=600),
                zones=("z",),
                deadline_at_ms=started_ms + 9_000,
            )
        self.assertTrue(now_ms() - started_ms <= 600, now_ms() - started_ms)
        asked = [message for _, message in self.sent if isinstance(message, Ask)]
        self.assertEqual([400, 200], [round(ask.aim_ms, -2) for ask in asked[:2]])

    async def test_a_zone_without_time_is_followed_by_the_next_one(self) -> None:
        """Guards against 503 while another zone has a free slot.

        If that one has no upstream either, the caller is told what the first said.
        """
        for second, outcome in (
            (Permit("", POOL, "u2", "u2:1", 0, 1_000), "permit"),
            (Refusal("", "no_upstream"), ErrorKind.DEADLINE_UNMEETABLE),
        ):
            client = self._new_client()
            replies = [Refusal("", "deadline_unmeetable", 3_000), second]

            def send(vm: str, message: Message, left: list[Any] = replies) -> bool:
                if isinstance(message, Ask):
                    reply = left.pop(0)._replace(ask_id=message.ask_id)
                    self.permit_client.on_message(vm, reply)
                return True

            self.patch(client, "_send", send)
            try:
                await client.obtain(
                    ASK, zones=("z", "z"), deadline_at_ms=now_ms() + 2_000
                )
            except RequestError as error:
                self.assertEqual((outcome, 3_000), (error.kind, error.retry_after_ms))
            else:
                self.assertEqual("permit", outcome)

    async def test_a_silent_scheduler_is_not_trusted_at_its_next_heartbeat(
        self,
    ) -> None:
        """Guards against requests that each wait for a scheduler that is too busy.

        Its heartbeats come while it does not answer.
        """
        client = self._new_client()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.unresponsive.add(first)
        asked: list[int] = []
        for number in range(12):
            self.sent.clear()
            ask = ASK._replace(ask_id=f"b{number}")
            await client.obtain(ask, zones=("z",), deadline_at_ms=now_ms() + 2_000)
            asked += [
                number
                for vm, message in self.sent
                if vm == first and isinstance(message, Ask)
            ]
            await trio.sleep(0.5)
            for vm in ("v2", "v3"):
                self.membership.on_heartbeat(vm, now_ms(), is_draining=False)
        # Tried at once, after one second, and after two more.
        self.assertEqual([0, 2, 6], asked)

    async def test_round_trips_are_measured(self) -> None:
        """Guards against a distance to another region that is not the deployment's."""
        client = self._new_client()
        self.assertEqual(0.0, client.round_trips.mean_ms("z"))

        async def reply_late(vm: str, ask: Ask) -> None:
            await trio.sleep(0.08)
            client.on_message(vm, Queued(ask.ask_id))
            await trio.sleep(0.5)
            permit = Permit(ask.ask_id, POOL, "u1", "u1:1", 500, 1_000)
            client.on_message(vm, permit)

        async with trio.open_nursery() as nursery:

            def send(vm: str, message: Message) -> bool:
                if isinstance(message, Ask):
                    nursery.start_soon(reply_late, vm, message)
                return True

            self.patch(client, "_send", send)
            await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.assertEqual(80, round(client.round_trips.mean_ms("z")))

    async def test_a_scheduler_that_answers_again_is_trusted(self) -> None:
        """After its time without a role it is asked, and keeps the role."""
        client = self._new_client()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.unresponsive.add(first)
        await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.unresponsive.clear()
        await trio.sleep(1.1)
        for vm in ("v2", "v3"):
            self.membership.on_heartbeat(vm, now_ms(), is_draining=False)
        ask = ASK._replace(ask_id="b1")
        held = await client.obtain(ask, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.assertEqual(first, held.scheduler_vm)

    async def test_without_a_responsive_scheduler_it_fails(self) -> None:
        """If no scheduler responds, each is tried, and it fails by the deadline."""
        client = self._new_client()
        self.unresponsive.update(("v1", "v2", "v3"))
        started_ms = now_ms()
        with ExpectedException(RequestError):
            await client.obtain(ASK, zones=("z",), deadline_at_ms=started_ms + 900)
        self.assertTrue(now_ms() - started_ms <= 900.001)
        self.assertEqual({"v1", "v2", "v3"}, {vm for vm, _ in self.sent})

    async def test_a_refusal_of_an_unknown_kind_is_no_permit(self) -> None:
        """Guards against a kind of a later version that ends the requester."""
        client = self._new_client()

        def refuse(vm: str, message: Message) -> bool:
            if isinstance(message, Ask):
                client.on_message(vm, Refusal(message.ask_id, "of a later version"))
            return True

        self.patch(client, "_send", refuse)
        with ExpectedException(RequestError):
            await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)

    async def test_a_permit_of_a_scheduler_that_thaws_is_given_back(self) -> None:
        """A permit for a request that is no longer pending is released unused."""
        client = self._new_client()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.unresponsive.add(first)
        await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.sent.clear()
        client.on_message(first, Permit("a1.0", POOL, "u1", "u1:1", 0, 1_000))
        ((vm, release),) = self.sent
        assert isinstance(release, Release)
        self.assertEqual((first, "a1.0", False), (vm, release.ask_id, release.sent))

    async def test_a_release_frees_the_slot_at_every_scheduler_that_counts_it(
        self,
    ) -> None:
        """Guards against slots that stay taken at a scheduler that was passed over.

        The running request is reported to the next scheduler while the first one
        still counts it, so the end of the request must reach both.
        """
        client = self._new_client()
        held = await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.membership.mark_leaving(held.scheduler_vm)
        client.report_held_permits()
        second = self.membership.scheduler_of(POOL, "z", now_ms())
        self.assertIn((second, Running("a1.0", POOL, "u1", 10, 1)), self.sent)
        self.sent.clear()
        client.release(held, RELEASE)
        self.assertEqual(
            [
                (held.scheduler_vm, RELEASE),
                (second, Withdraw("a1.0", POOL)),
            ],
            self.sent,
        )

    async def test_a_scheduler_that_lost_its_link_is_told_what_runs(self) -> None:
        """Guards against more permits than slots after a link was reset.

        A scheduler drops the permits of a VM whose link closes, so the VM must
        report its running requests again over the next link.
        """
        client = self._new_client()
        held = await client.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.sent.clear()
        client.on_link_closed(held.scheduler_vm)
        client.report_held_permits()
        self.assertEqual(
            [(held.scheduler_vm, Running("a1.0", POOL, "u1", 10, 1))], self.sent
        )

    async def test_a_late_event_loop_does_not_blame_the_scheduler(self) -> None:
        """Guards against healthy schedulers that are passed over.

        A VM whose own event loop stood still reads the reply after the time limit,
        although it arrived in time.
        """
        client = self._new_client()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.unresponsive.add(first)

        async def stall_and_receive() -> None:
            await trio.sleep(0.1)
            clock = trio.lowlevel.current_clock()
            assert isinstance(clock, trio.testing.MockClock)
            clock.jump(0.5)
            # Readers run after the time limit has expired in the same pass.
            await trio.lowlevel.checkpoint()
            permit = Permit("a1.0", POOL, "u1", "u1:1", 0, 1_000)
            client.on_message(first, permit)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stall_and_receive)
            held = await client.obtain(
                ASK, zones=("z",), deadline_at_ms=now_ms() + 3_000
            )
        self.assertEqual(first, held.scheduler_vm)
