"""Proofs with upstreams that leave while the platform's list lags."""

from testtools import TestCase

from tests.cluster import Cluster, wait_until
from tests.observer import UpstreamLeaving, check_all
from tests.processes._session import Session, start_two_zones

VMS = ("vm-a1", "vm-a2", "vm-b1", "vm-b2")


class RefusingEngineTests(TestCase):
    """An engine refuses; the list does not say so and the store is down."""

    def test_every_daemon_leaves_it_alone(self) -> None:
        """Once all daemons know, it gets nothing, and every call is served."""
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        session = start_two_zones(cluster)
        cluster.control("store", {"is_down": True})
        cluster.control("engine-a1", {"is_leaving": True})

        def all_know() -> bool:
            session.chat("vm-a1", "work", tokens=2)
            return all(
                "engine-a1" in cluster.status(vm)["refusing_upstreams"] for vm in VMS
            )

        wait_until(all_know, "all daemons know")
        before = len(self._refused(session))
        calls = [
            session.chat(vm, f"{vm} {index}", tokens=2)
            for vm in VMS
            for index in range(10)
        ]
        self.assertEqual({200}, {call.status for call in calls})
        self.assertEqual(before, len(self._refused(session)))
        self.assertEqual([], check_all(session.run()))

    def _refused(self, session: Session) -> list[UpstreamLeaving]:
        return [
            entry for entry in session.run().leaving if entry.upstream == "engine-a1"
        ]
