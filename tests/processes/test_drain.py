"""Tests with daemons that are shut down gracefully under load."""

import signal

import httpcore
from testtools import TestCase

from tests.cluster import Cluster, call_json, wait_until
from tests.observer import check_all
from tests.processes._session import start_two_zones

ZONE_VMS = ("vm-a1", "vm-a2")
NOTICE_MS = 2_000
STREAM_TOKENS = 250
"""At 20 ms each, longer than the server's default wait of 3 s plus the notice."""


class DrainedZoneTests(TestCase):
    """Both VMs of a zone are shut down while streams run and calls arrive."""

    def test_streams_are_whole_and_arrivals_are_served(self) -> None:
        """No call is cut or refused, idle connections close, and both exit with 0."""
        cluster = Cluster()
        self.addCleanup(cluster.__exit__, None, None, None)
        session = start_two_zones(cluster, decode_ms=20, notice_ms=NOTICE_MS)
        idle = self._idle_connection(cluster)
        for index in range(24):
            vm = ZONE_VMS[index % 2]
            session.start(session.chat, vm, f"long {index}", tokens=STREAM_TOKENS)
        wait_until(lambda: len(session.run().dispatches) >= 8, "streams run")
        for vm in ZONE_VMS:
            cluster.processes[vm].signal(signal.SIGTERM)
        for vm in ZONE_VMS:
            wait_until(lambda vm=vm: self._readiness(cluster, vm) == 503, "unready")  # type: ignore[misc]
        for vm in (*ZONE_VMS, "vm-b1", "vm-b2"):
            session.start(session.chat, vm, "late", tokens=4)
        for vm in ZONE_VMS:
            wait_until(lambda vm=vm: not self._takes_connections(cluster, vm), "closed")  # type: ignore[misc]
        self.assertIsNone(cluster.processes["vm-a1"].child.poll())
        with idle:
            wait_until(lambda: self._is_closed(idle), "idle connection closes")
        session.join()
        codes = [cluster.processes[vm].child.wait(timeout=30) for vm in ZONE_VMS]
        self.assertEqual([0, 0], codes)
        self.assertEqual({200}, {call.status for call in session.calls})
        self.assertTrue(all(call.is_whole for call in session.calls))
        self.assertEqual([], check_all(session.run()))

    def _readiness(self, cluster: Cluster, vm: str) -> int:
        address = cluster.processes[vm].addresses["operators"]
        return call_json(address, "/readyz")[0]

    def _idle_connection(self, cluster: Cluster) -> httpcore.HTTPConnection:
        address = cluster.processes["vm-a1"].addresses["callers"]
        host, port = address.split(":")
        origin = httpcore.Origin(b"http", host.encode(), int(port))
        connection = httpcore.HTTPConnection(origin)
        headers = [("authorization", "Bearer nurse-token"), ("host", address)]
        answer = connection.request(
            "GET", f"http://{address}/v1/models", headers=headers
        )
        self.assertEqual(200, answer.status)
        return connection

    def _is_closed(self, connection: httpcore.HTTPConnection) -> bool:
        return connection.has_expired()

    def _takes_connections(self, cluster: Cluster, vm: str) -> bool:
        address = cluster.processes[vm].addresses["callers"]
        try:
            with httpcore.ConnectionPool() as pool:
                pool.request("GET", f"http://{address}/v1/models")
        except httpcore.ConnectError:
            return False
        return True
