"""Tests of requests that crash a replica which starts again under its id."""

import trio

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.quarantine import QuarantineEntry, QuarantineRegistry
from hemlocktrestle.wire import Suspicion
from tests.edge.attempts.test_prompt_parts import Mesh
from tests.support import TrioTestCase

FINGERPRINT = "f1"


class RepeatedCrashCase(TrioTestCase):
    """VMs that tell each other of crashes."""

    def setUp(self) -> None:
        """Forget the VMs of the test before."""
        super().setUp()
        self._count = 0

    def crash(
        self, mesh: Mesh, vm: str, replica: str, *, born_ms: int = 0, ran_ms: int = 0
    ) -> None:
        """Let a VM notice the crash of a replica under the request."""
        self._count += 1
        blamed = Suspicion(
            "ledger", FINGERPRINT, replica, f"q{self._count}", born_ms=born_ms
        )
        if ran_ms:
            blamed = blamed._replace(ran_ms=ran_ms)
        mesh.monitors[vm]._record_suspicion(blamed, source="")

    def registry(self, mesh: Mesh, vm: str) -> QuarantineRegistry:
        """Return what a VM knows of whole requests."""
        return mesh.monitors[vm]._quarantine

    def entries(self, mesh: Mesh) -> list[QuarantineEntry | None]:
        """Return what the VMs know of the request."""
        return [
            self.registry(mesh, vm).find(FINGERPRINT, now_ms()) for vm in mesh.monitors
        ]

    def quarantined(self, mesh: Mesh) -> list[bool]:
        """Return at which VMs the request is refused."""
        return [
            entry is not None and entry.is_quarantined for entry in self.entries(mesh)
        ]


class IncarnationTests(RepeatedCrashCase):
    """Crashes count by incarnation, not by id.

    Guards against a request that crashes the only replica of a region again and
    again and is never refused.
    """

    async def test_a_replica_that_keeps_its_id_counts_again(self) -> None:
        """The second crash quarantines the request at all VMs."""
        mesh = Mesh(self, "v1", "v2", "v3")
        self.crash(mesh, "v1", "r1", born_ms=1)
        self.assertEqual([False] * 3, self.quarantined(mesh))
        await trio.sleep(5)
        self.crash(mesh, "v2", "r1", born_ms=2)
        self.assertEqual([True] * 3, self.quarantined(mesh))

    async def test_its_new_registration_need_not_be_known(self) -> None:
        """A request that was sent after the crash reached another incarnation."""
        mesh = Mesh(self, "v1", "v2")
        for vm in ("v1", "v2"):
            self.crash(mesh, vm, "r1", born_ms=1, ran_ms=100)
            await trio.sleep(2)
        self.assertEqual([True] * 2, self.quarantined(mesh))

    async def test_one_crash_that_two_vms_see_counts_once(self) -> None:
        """Guards against sound requests refused for a crash with two observers.

        One of them may not know the new registration yet, or have been busy.
        """
        mesh = Mesh(self, "v1", "v2", "v3")
        self.crash(mesh, "v1", "r1", born_ms=1, ran_ms=300)
        await trio.sleep(0.1)
        self.crash(mesh, "v2", "r1", born_ms=2, ran_ms=200)
        await trio.sleep(4)
        self.crash(mesh, "v3", "r1", born_ms=1, ran_ms=4_200)
        self.assertEqual([False] * 3, self.quarantined(mesh))


class RestartTests(RepeatedCrashCase):
    """A VM that restarts learns of whole requests from the others.

    Guards against a rolling restart after which each VM sends a request that crashes
    replicas twice more.
    """

    async def test_a_vm_that_restarts_refuses_what_the_others_refuse(self) -> None:
        """Also in a series: who was told tells the next one."""
        mesh = Mesh(self, "v1", "v2", "v3")
        for number in range(2):
            self.crash(mesh, "v1", f"r{number}", ran_ms=100)
            await trio.sleep(2)
        for vm in ("v1", "v2", "v3"):
            mesh.start(vm)
            await trio.sleep(2)
        self.assertEqual([True] * 3, self.quarantined(mesh))

    async def test_what_was_answered_since_is_not_told(self) -> None:
        """A crash that no longer counts does not begin anew at a new VM."""
        mesh = Mesh(self, "v1", "v2")
        self.crash(mesh, "v1", "r1", ran_ms=100)
        await trio.sleep(1)
        self.registry(mesh, "v1").record_answer(FINGERPRINT, now_ms())
        mesh.start("v2")
        self.assertEqual([None, None], self.entries(mesh))


class AnsweredRequestTests(RepeatedCrashCase):
    """A request that replicas answer is not refused because others die under it."""

    def answer(self, mesh: Mesh, vm: str) -> None:
        """Let a VM relay an answer, which the others hear of by heartbeat."""
        self.registry(mesh, vm).record_answer(FINGERPRINT, now_ms())
        found = self.registry(mesh, vm).answered_accused(now_ms())
        for other in mesh.monitors:
            for fingerprint, at_ms in found.items():
                self.registry(mesh, other).record_answer(fingerprint, at_ms)

    async def test_a_popular_read_is_not_refused_for_replicas_that_die(self) -> None:
        """Guards against a read refused everywhere after it was answered at one VM.

        One replica dies every four seconds by itself, back after two, and each time
        the read runs on it; in between other replicas answer it.
        """
        mesh = Mesh(self, "v1", "v2", "v3")
        for number in range(10):
            self.crash(mesh, ("v1", "v2")[number % 2], "r1", ran_ms=30)
            await trio.sleep(0.1)
            self.answer(mesh, "v1")
            self.assertEqual([False] * 3, self.quarantined(mesh))
            await trio.sleep(3.9)
        self.assertEqual([None] * 3, self.entries(mesh))

    async def test_a_suspicion_that_comes_after_an_answer_does_not_count(self) -> None:
        """The answer came while the request was said to crash a replica."""
        mesh = Mesh(self, "v1", "v2")
        self.answer(mesh, "v2")
        await trio.sleep(0.05)
        self.crash(mesh, "v1", "r1", ran_ms=200)
        self.assertIsNone(self.registry(mesh, "v2").find(FINGERPRINT, now_ms()))
        self.assertIsNotNone(self.registry(mesh, "v1").find(FINGERPRINT, now_ms()))

    async def test_crashes_without_answers_in_between_refuse_it_for_seconds(
        self,
    ) -> None:
        """Guards against a read that is refused for an hour, so that none is answered.

        More crashes are needed than for one that was never answered.
        """
        mesh = Mesh(self, "v1", "v2")
        self.crash(mesh, "v1", "r1")
        self.answer(mesh, "v1")
        for number in range(4):
            self.assertEqual([False] * 2, self.quarantined(mesh))
            await trio.sleep(1)
            self.crash(mesh, "v1", f"s{number}")
        self.assertEqual([True] * 2, self.quarantined(mesh))
        await trio.sleep(11)
        self.assertEqual([False] * 2, self.quarantined(mesh))
