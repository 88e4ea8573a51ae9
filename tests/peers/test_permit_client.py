"""Tests of asking keepers that are frozen, and of asking on."""

import random

import trio
from testtools import ExpectedException

from hemlocktrestle.errors import RequestError
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord, VmRecord
from hemlocktrestle.peers import PermitClient
from hemlocktrestle.wire import Ask, Message, Permit, Queued, Release, Withdraw
from tests.support import TrioTestCase

POOL = "chat"
ANSWER_MS = 200.0
ASK = Ask("a1", POOL, "c", 0, 1.0, 10, 1, 0, 2_000)


def now_ms() -> float:
    """Return the time of the test in milliseconds."""
    return trio.current_time() * 1000


class AskerTests(TrioTestCase):
    """A keeper that is frozen costs a bounded time, and no permit is lost."""

    def setUp(self) -> None:
        """Begin with three VMs that have been heard, none of which is frozen."""
        super().setUp()
        self.frozen: set[str] = set()
        self.sent: list[tuple[str, Message]] = []

    def _asker(self) -> PermitClient:
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
        self.asker = PermitClient(
            self.membership,
            send=self._send,
            now_ms=now_ms,
            jitter=random.Random(1),
            ack_timeout_ms=ANSWER_MS,
        )
        return self.asker

    def _send(self, vm: str, message: Message) -> bool:
        self.sent.append((vm, message))
        if isinstance(message, Ask) and vm not in self.frozen:
            self.asker.on_message(vm, Queued(message.ask_id))
            permit = Permit(message.ask_id, POOL, "u1", "u1:1", 0, 1_000)
            self.asker.on_message(vm, permit)
        return True

    async def test_a_frozen_scheduler_is_passed_over(self) -> None:
        """The next one gives the permit, and the frozen one is told to forget."""
        asker = self._asker()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.frozen.add(first)
        started_ms = now_ms()
        held = await asker.obtain(ASK, zones=("z",), deadline_at_ms=started_ms + 2_000)
        self.assertNotEqual(first, held.scheduler_vm)
        self.assertTrue(ANSWER_MS <= now_ms() - started_ms <= ANSWER_MS + 60)
        self.assertIn((first, Withdraw("a1.0", POOL)), self.sent)

    async def test_all_frozen_ends_in_a_refusal(self) -> None:
        """At the deadline at the latest, after each was asked."""
        asker = self._asker()
        self.frozen.update(("v1", "v2", "v3"))
        started_ms = now_ms()
        with ExpectedException(RequestError):
            await asker.obtain(ASK, zones=("z",), deadline_at_ms=started_ms + 900)
        self.assertTrue(now_ms() - started_ms <= 900.001)
        self.assertEqual({"v1", "v2", "v3"}, {vm for vm, _ in self.sent})

    async def test_a_permit_of_a_scheduler_that_thaws_is_given_back(self) -> None:
        """It comes for an ask that nobody waits for any more."""
        asker = self._asker()
        first = self.membership.scheduler_of(POOL, "z", now_ms())
        assert first is not None
        self.frozen.add(first)
        await asker.obtain(ASK, zones=("z",), deadline_at_ms=now_ms() + 2_000)
        self.sent.clear()
        asker.on_message(first, Permit("a1.0", POOL, "u1", "u1:1", 0, 1_000))
        ((vm, release),) = self.sent
        assert isinstance(release, Release)
        self.assertEqual((first, "a1.0", False), (vm, release.ask_id, release.sent))
