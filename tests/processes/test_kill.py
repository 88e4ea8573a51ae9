"""Tests with daemons that are killed or paused while requests run."""

import signal

from testtools import TestCase

from tests.cluster import Cluster, wait_until
from tests.observer import check_all
from tests.processes._session import Session, start_two_zones


class KilledRequesterTests(TestCase):
    """The daemon that accepted a request is killed or paused."""

    def setUp(self) -> None:
        super().setUp()
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        self.session: Session = start_two_zones(cluster, decode_ms=30)
        self.cluster = cluster

    def _await_dispatch(self, key: str) -> None:
        wait_until(
            lambda: any(entry.key == key for entry in self.session.run().dispatches),
            f"{key} is dispatched",
        )

    def test_a_resend_after_a_kill_is_not_dispatched_again(self) -> None:
        """A caller that resends elsewhere after a kill is told "unknown"."""
        self.session.start(self.session.chat, "vm-a1", "long", key="k1", tokens=100)
        self._await_dispatch("k1")
        self.cluster.processes["vm-a1"].signal(signal.SIGKILL)
        self.session.join()
        resent = self.session.chat("vm-a2", "long", key="k1", tokens=100)
        self.assertEqual((409, "unknown"), (resent.status, resent.outcome))
        self.assertEqual([], check_all(self.session.run()))

    def test_a_kill_after_the_effect_leaves_one_effect(self) -> None:
        """After a kill that follows the effect, resends get "unknown" and never run."""
        self.cluster.control("ledger-a", {"silent": True})
        self.session.start(self.session.wipe, "vm-a1", "lamp-7", key="w7")
        self._await_dispatch("w7")
        self.cluster.processes["vm-a1"].signal(signal.SIGKILL)
        self.session.join()
        self.cluster.control("ledger-a", {"silent": False})
        for vm in ("vm-a2", "vm-b1"):
            resent = self.session.wipe(vm, "lamp-7", key="w7")
            self.assertEqual((409, "unknown"), (resent.status, resent.outcome))
        self.assertEqual(1, len(self.session.run().effects))
        self.assertEqual([], check_all(self.session.run()))

    def test_a_killed_scheduler_loses_no_waiting_request(self) -> None:
        """Calls of one daemon go on after the other, with a scheduler, is killed."""
        for index in range(30):
            self.session.start(self.session.chat, "vm-a2", f"call {index}", tokens=20)
        wait_until(lambda: len(self.session.run().dispatches) >= 8, "work runs")
        self.cluster.processes["vm-a1"].signal(signal.SIGKILL)
        self.session.join()
        self.assertEqual([200] * 30, [call.status for call in self.session.calls])
        self.assertTrue(all(call.is_whole for call in self.session.calls))
        self.assertEqual([], check_all(self.session.run()))

    def test_a_paused_requester_dispatches_nothing_twice(self) -> None:
        """A daemon paused past its permits does not dispatch what was resent."""
        for index in range(20):
            self.session.start(
                self.session.wipe, "vm-a1", f"job-{index}", key=f"w{index}"
            )
        self.cluster.processes["vm-a1"].signal(signal.SIGSTOP)
        for index in range(20):
            self.session.wipe("vm-a2", f"job-{index}", key=f"w{index}")
        self.cluster.processes["vm-a1"].signal(signal.SIGCONT)
        self.session.join()
        self.assertEqual([], check_all(self.session.run()))
