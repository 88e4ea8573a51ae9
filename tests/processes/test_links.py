"""Tests with links that are cut, or that fall silent while new ones work."""

from testtools import TestCase

from tests.cluster import Cluster, wait_until
from tests.observer import check_all
from tests.processes._session import Session, start_two_zones


class _LinkCase(TestCase):
    """A running cluster whose links can be cut."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = Cluster()
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.session: Session = start_two_zones(self.cluster)

    def assert_no_violations(self) -> None:
        """Check every promise on all records so far."""
        self.assertEqual([], check_all(self.session.run()))


class CutZoneTests(_LinkCase):
    """A zone is cut off from the other zone and from the platform."""

    def test_a_cut_zone_goes_on_and_catches_up(self) -> None:
        """Both zones serve during a cut; a settings change made in it arrives later."""
        links = ["vm-a1", "vm-a2", "vm-b1", "vm-b2"]
        platform = [
            f"{vm}-{service}" for vm in links[2:] for service in ("store", "list")
        ]
        # Links within a zone pass the same relays as links between zones, so the cut
        # also separates the VMs of a zone: vm-b1 sees only itself.
        self.cluster.set_links("cut", *links, *platform)
        wait_until(
            lambda: self.cluster.status("vm-b1")["live_vms"] == ["vm-b1"],
            "vm-b1 sees the cut",
        )
        served = [self.session.chat(vm, f"in the cut {vm}") for vm in links]
        self.assertEqual([200] * 4, [call.status for call in served])
        unsafe = self.session.wipe("vm-b1", "job-cut", key="cut")
        self.assertEqual("not-run", unsafe.outcome)
        done = self.cluster.cli(
            "settings", "set", "/clinics", "weight=4", "--wait-s", "1"
        )
        self.assertEqual(4, done.returncode)
        self.cluster.set_links("pass", *links, *platform)
        wait_until(
            lambda: all(
                self.cluster.status(vm)["tree"]["revision"] == 2 for vm in links
            ),
            "the revision arrives everywhere",
        )
        resent = self.session.wipe("vm-a1", "job-cut", key="cut")
        self.assertEqual("complete", resent.outcome)
        self.assert_no_violations()


class SilentLinkTests(_LinkCase):
    """Open connections stay silent for good, while new ones work."""

    def test_silent_links_between_vms_are_replaced(self) -> None:
        """Calls are served after every link between VMs fell silent."""
        self.session.chat("vm-a1", "before")
        self.cluster.set_links("silent", "vm-a1", "vm-a2", "vm-b1", "vm-b2")
        self.cluster.set_links("pass", "vm-a1", "vm-a2", "vm-b1", "vm-b2")
        calls = [self.session.chat(vm, f"after {vm}") for vm in ("vm-a1", "vm-a2")]
        self.assertEqual([200, 200], [call.status for call in calls])
        self.cluster.await_ready("vm-a1", "vm-a2", live_count=2)
        self.assert_no_violations()

    def test_a_silent_link_to_the_store_is_replaced(self) -> None:
        """A settings change arrives although the open watch has fallen silent."""
        self.cluster.set_links("silent", "vm-a1-store", "vm-b1-store")
        self.cluster.set_links("pass", "vm-a1-store", "vm-b1-store")
        done = self.cluster.cli("settings", "set", "/clinics", "weight=2")
        self.assertEqual((0, ""), (done.returncode, done.stderr))
        wipe = self.session.wipe("vm-a1", "job-1", key="k")
        self.assertEqual("complete", wipe.outcome)
        self.assert_no_violations()

    def test_a_silent_link_to_the_list_is_replaced(self) -> None:
        """The list is read over a new connection, and a leaving upstream is noticed."""
        self.cluster.set_links("silent", "vm-a1-list", "vm-a2-list")
        self.cluster.set_links("pass", "vm-a1-list", "vm-a2-list")
        self.cluster.control("list", {"leaving": ["engine-a1"]})
        wait_until(
            lambda: "engine-a1" not in _upstreams_taking_work(self.cluster, "vm-a1"),
            "vm-a1 learns that engine-a1 leaves",
        )
        self.assert_no_violations()

    def test_a_silent_idle_connection_to_an_engine_costs_no_call(self) -> None:
        """Calls after idle connections fell silent are answered and dispatched once."""
        for index in range(4):
            self.session.chat("vm-a1", f"warm {index}")
        self.cluster.set_links("silent", "engine-a1", "engine-a2")
        self.cluster.set_links("pass", "engine-a1", "engine-a2")
        calls = [self.session.chat("vm-a1", f"cold {index}") for index in range(4)]
        for call in calls:
            self.assertIn(call.outcome, ("complete", "unknown"))
        self.assert_no_violations()


def _upstreams_taking_work(cluster: Cluster, vm: str) -> list[str]:
    listed = cluster.status(vm)["upstreams"]
    return [entry["name"] for entry in listed if entry["takes_work"]]
