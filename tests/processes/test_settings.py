"""Tests of the command-line tool with daemons and a store restored from a copy."""

import json

from testtools import TestCase

from tests.cluster import Cluster, wait_until
from tests.observer import check_all
from tests.processes._session import start_two_zones

EXIT_CONFLICT = 5
EXIT_NOT_IN_FORCE = 4


class OlderStoreTests(TestCase):
    """The store is restored from an older copy under running daemons."""

    def test_the_tool_refuses_until_it_is_recovered(self) -> None:
        """`set` is refused until `recover`, and no daemon goes back to the old tree."""
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        session = start_two_zones(cluster)
        cluster.control("store", {"save": True})
        self._set(cluster, 0, "weight=2", "weight=3")
        cluster.control("store", {"restore": True})

        def shows() -> bool:
            states = [cluster.status(vm)["tree"] for vm in cluster.zones]
            return all(s["store_problem"] == "older" for s in states if s["is_relay"])

        wait_until(shows, "status shows it")
        refused = self._set(cluster, EXIT_CONFLICT, "weight=4")
        self.assertIn("settings recover", refused)
        done = cluster.cli("settings", "recover")
        self.assertEqual(0, done.returncode, done.stderr)
        self._set(cluster, 0, "weight=5")
        self.assertEqual([], check_all(session.run()))

    def test_daemons_that_lag_are_named(self) -> None:
        """The tool names the VMs where a change is not in force, and exits with 4."""
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        start_two_zones(cluster)
        frozen = [vm for vm in cluster.zones if cluster.zones[vm].name == "pwani-b"]
        for vm in frozen:
            cluster.processes[vm].child.send_signal(19)
        done = cluster.cli(
            "--json", "settings", "set", "/", "weight=2", "--wait-s", "7"
        )
        for vm in frozen:
            cluster.processes[vm].child.send_signal(18)
        self.assertEqual(EXIT_NOT_IN_FORCE, done.returncode, done.stderr)
        shown = json.loads(done.stdout)
        self.assertEqual(2, len(shown["not_in_force_at"]))
        self.assertEqual(["(unknown zone)"], shown["not_in_force_in_zones"])

    def _set(self, cluster: Cluster, code: int, *assignments: str) -> str:
        text = ""
        for assignment in assignments:
            done = cluster.cli("settings", "set", "/", assignment)
            self.assertEqual(code, done.returncode, done.stdout + done.stderr)
            text = done.stdout + done.stderr
        return text
