"""Proofs of links between VMs under mutual TLS."""

import json

from testtools import TestCase

from tests.cluster import Cluster, Upstream, sample_tree
from tests.processes._session import MODEL, ZONE_A, Session


class PeerTlsTests(TestCase):
    """Three daemons of a zone; the third has a certificate of another name."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster = Cluster(has_peer_tls=True)
        self.addCleanup(self.cluster.__exit__, None, None, None)
        self.cluster.certificate_names["vm-3"] = "vm-9"
        self.cluster.start_platform()
        self.cluster.start_upstreams([Upstream("e-1", "engine", ZONE_A, MODEL)])
        self.cluster.start_daemons(dict.fromkeys(("vm-1", "vm-2", "vm-3"), ZONE_A))

    def test_a_vm_with_another_name_is_no_peer(self) -> None:
        """The two sound VMs see each other alone, and both serve."""
        path = self.cluster.folder / "tree.json"
        path.write_text(json.dumps(sample_tree()))
        done = self.cluster.cli("settings", "apply", str(path), "--wait-s", "3")
        self.assertIn(done.returncode, (0, 4), done.stderr)
        self.cluster.await_ready("vm-1", "vm-2", live_count=2)
        session = Session(self.cluster)
        calls = [session.chat(vm, "hello") for vm in ("vm-1", "vm-2")]
        self.assertEqual([200, 200], [call.status for call in calls])
        self.assertEqual(["vm-1", "vm-2"], self.cluster.status("vm-1")["live_vms"])
        self.assertFalse(self.cluster.status("vm-1")["peers_plain"])
