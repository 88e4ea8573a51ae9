"""Promise 5 over real processes: callers that disconnect, also during a shutdown."""

import json
import signal
import socket

from testtools import TestCase

from tests.cluster import Cluster, Upstream, Zone, sample_tree, wait_until
from tests.demo import CallResult, chat_body, send

ZONE = Zone("pwani-a", "pwani")
HEAD = (
    "POST /services/ledger/w HTTP/1.1\r\nhost: l\r\n"
    "authorization: Bearer wiper-token\r\nidempotency-key: {key}\r\n"
    "content-length: 2\r\n\r\n{{}}"
)


class GoneCallerTests(TestCase):
    """Two daemons, a ledger service with a delay, and an engine."""

    def setUp(self) -> None:
        """Start all processes."""
        super().setUp()
        self.cluster = Cluster()
        self.cluster.__enter__()
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.start_platform()
        self.cluster.start_upstreams(
            [
                Upstream("engine-1", "engine", ZONE, "assistant"),
                Upstream("ledger-1", "ledger", ZONE, "ledger"),
            ]
        )
        self.cluster.start_daemons({"vm-1": ZONE, "vm-2": ZONE})
        self.cluster.apply_tree(sample_tree())
        self.cluster.await_ready("vm-1", "vm-2", live_count=2)

    def send_and_disconnect(self, key: str, *, is_draining: bool) -> None:
        """Send a request through vm-1 and disconnect while it runs."""
        address = self.cluster.processes["vm-1"].addresses["callers"]
        host, port = address.split(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(HEAD.format(key=key).encode())
            wait_until(
                lambda: self.cluster.status("vm-1")["running_count"] == 1, "it runs"
            )
            if is_draining:
                self.cluster.processes["vm-1"].signal(signal.SIGTERM)

    def send(self, target: str, body: bytes, *, key: str = "") -> CallResult:
        """Send a request through vm-2."""
        return send(
            self.cluster, "vm-2", target, body, token="wiper-token", what="", key=key
        )

    def test_the_work_of_a_caller_that_went_away_is_recorded(self) -> None:
        """A resend gets the answer, also if the first VM was shut down meanwhile."""
        self.cluster.control("ledger-1", {"delay_ms": 500})
        self.send_and_disconnect("k1", is_draining=False)
        wait_until(
            lambda: self.cluster.status("vm-1")["running_count"] == 0, "it ended"
        )
        self.send_and_disconnect("k2", is_draining=True)
        self.assertEqual(0, self.cluster.processes["vm-1"].child.wait(timeout=60))
        for key in ("k1", "k2"):
            again = self.send("/services/ledger/w", b"{}", key=key)
            self.assertEqual((201, "complete"), (again.status, again.outcome), key)
        self.assertEqual(2, len(self.cluster.control("ledger-1", {})["effects"]))

    def test_a_ticket_runs_once(self) -> None:
        """A request with a ticket runs once, and its resend is refused."""
        given = self.send("/v1/tickets", b'{"count": 2}')
        tickets = json.loads(given.body)["tickets"]
        body = chat_body("once", is_stream=False, tokens=3)
        target = "/v1/chat/completions"
        statuses = [
            self.send(target, body, key=ticket).status
            for ticket in (tickets[0], tickets[0], tickets[1])
        ]
        self.assertEqual([200, 409, 200], statuses)
        self.assertEqual(2, len(self.cluster.control("engine-1", {})["log"]))
