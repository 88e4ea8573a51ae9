"""Tests of the replicas whose address another one has taken."""

import testtools

from hemlocktrestle.gateway import DisplacedReplicas, ReplicaRecord
from hemlocktrestle.gateway._displaced import DISPLACED_KEPT_MS
from tests.gateway.records import replica


class DisplacedReplicasTests(testtools.TestCase):
    """A mark holds for one registration, for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.registered: dict[str, ReplicaRecord] = {"r1": replica("r1")}
        self.displaced = DisplacedReplicas(self.registered.get)

    def mark(self, now_ms: float, *, address: str = "r1", own: bool = True) -> bool:
        """Record that r1 is not at an address."""
        return self.displaced.record("r1", address, now_ms, is_witness=own)

    def is_marked(self, now_ms: float) -> bool:
        return self.displaced.learned_ms("r1", now_ms) is not None

    def test_a_mark_expires(self) -> None:
        """Guards against capacity that is lost for good by one wrong answer."""
        self.assertTrue(self.mark(0.0))
        self.assertTrue(self.is_marked(DISPLACED_KEPT_MS - 1))
        self.assertFalse(self.is_marked(DISPLACED_KEPT_MS))

    def test_expiry_is_reported_once(self) -> None:
        self.mark(0.0)
        told = [self.displaced.forget(at_ms) for at_ms in (1.0, 1e4, 2e4)]
        self.assertEqual([False, True, False], told)

    def test_hearsay_does_not_extend_a_mark(self) -> None:
        """Guards against VMs that keep one another's marks alive."""
        self.mark(0.0)
        self.assertFalse(self.mark(DISPLACED_KEPT_MS, own=False))
        self.assertFalse(self.is_marked(DISPLACED_KEPT_MS))
        self.assertTrue(self.mark(DISPLACED_KEPT_MS))
        self.assertTrue(self.is_marked(DISPLACED_KEPT_MS))

    def test_another_registration_is_not_marked(self) -> None:
        self.mark(0.0)
        self.registered["r1"] = replica("r1", born_ms=9)
        self.assertFalse(self.is_marked(1.0))
        self.displaced.forget(1.0)
        self.assertEqual([], list(self.displaced))

    def test_only_the_registered_address_counts(self) -> None:
        """An answer at an address that the replica has left says nothing."""
        self.assertFalse(self.mark(0.0, address="r7"))
        del self.registered["r1"]
        self.assertFalse(self.mark(0.0))
