"""Tests of placements by a scheduler that knows less than the VM that sends."""

from hemlocktrestle.edge.placing._placement import AttemptEnd
from hemlocktrestle.gateway import ReplicaUpdate
from tests.edge.harness import EdgeHarness, answer_ok
from tests.gateway.records import at, replica_update
from tests.support import TrioTestCase


class StalePlacementTests(TrioTestCase):
    """This VM's own registry decides before each request is sent.

    Guards against requests to replicas that leave, from a scheduler that stood still
    while their registrations changed.
    """

    def harness(self, update: ReplicaUpdate | None, *names: str) -> EdgeHarness:
        """Return a server whose scheduler prefers ``r1``; then ``r1`` changes."""
        harness = EdgeHarness(self, dict.fromkeys(names, answer_ok), preferred="r1")
        if update is not None:
            harness.state.replicas.apply_update(update)
        return harness

    async def test_nothing_is_sent_to_a_replica_that_left(self) -> None:
        """The permit is returned unused, and another one asked for."""
        updates = {
            "draining": replica_update("r1", 2, is_draining=True),
            "gone": ReplicaUpdate("r1", at(2), None),
            "address used again": replica_update("r1", 2, address="elsewhere"),
        }
        for name, update in updates.items():
            with self.subTest(name):
                harness = self.harness(update, "r1", "r2")
                reply = await harness.send(method="POST", body=b"wipe")
                self.assertEqual(200, reply.status)
                self.assertEqual(["r2"], harness.reached_replicas())
                self.assertEqual(("r1", AttemptEnd.HELD_BACK), harness.released[0])

    async def test_a_request_that_no_other_replica_takes_has_not_run(self) -> None:
        """It is refused at once rather than sent to the replica that leaves."""
        update = replica_update("r1", 2, is_draining=True)
        harness = self.harness(update, "r1")
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((503, []), (reply.status, harness.reached_replicas()))

    async def test_a_replica_that_only_the_scheduler_knows_is_used(self) -> None:
        """Its registration may not have come here yet."""
        harness = self.harness(None, "r2")
        harness.scripts["r1"] = answer_ok
        reply = await harness.send()
        self.assertEqual((200, ["r1"]), (reply.status, harness.reached_replicas()))

    async def test_replicas_that_leave_are_not_asked_for(self) -> None:
        """Guards against a permit request for each of many replicas that leave.

        A scheduler that wakes grants them all until it has read what changed.
        """
        names = [f"r{number}" for number in range(1, 14)]
        harness = self.harness(None, *names)
        for name in names[:-1]:
            harness.state.replicas.apply_update(
                replica_update(name, 2, is_draining=True)
            )
        unusable = harness.state.replica_notices.unusable_ids("ledger", frozenset())
        self.assertEqual(set(names[:-1]), set(unusable))
