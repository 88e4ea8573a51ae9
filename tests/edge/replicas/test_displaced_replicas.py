"""Tests of replicas that crashed and whose address another one answers at.

The load is a herd: many VMs go on sending to replicas that seem idle, because each
request comes back at once.
"""

import trio

from hemlocktrestle.gateway import RequestKind
from hemlocktrestle.wire import LeavingReplica
from tests.edge.harness import EdgeHarness, answer_ok
from tests.edge.replicas.test_replica_notices import answer, listed
from tests.gateway.records import configuration, replica_update, route
from tests.support import TrioTestCase

SUCCESSOR = answer(421, is_unrun=True, lines={"x-instance-id": "r9"})


class DisplacedReplicaTests(TrioTestCase):
    """One answer of the successor is enough for a VM."""

    def harness(self, lines: dict[str, str] | None = None) -> EdgeHarness:
        """Return a harness whose scheduler goes on choosing the replica r1."""
        script = SUCCESSOR
        if lines is not None:
            script = answer(421, is_unrun=True, lines=lines)
        return EdgeHarness(
            self,
            {"r1": script, "r2": answer_ok},
            records=listed("r1", "r2", born_ms=0),
            preferred="r1",
        )

    async def test_it_gets_no_second_request(self) -> None:
        harness = self.harness()
        for _ in range(5):
            reply = await harness.send()
            self.assertEqual(200, reply.status)
        self.assertEqual(["r1", *["r2"] * 5], harness.reached_replicas())

    async def test_a_request_that_may_run_once_is_not_lost(self) -> None:
        """It has not run at the successor, and goes to another replica."""
        harness = self.harness()
        harness.state.configuration = configuration(
            route(kind=RequestKind.NON_IDEMPOTENT, attempts=1)
        )
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(200, reply.status)

    async def test_a_refusal_that_names_no_other_replica_counts_nothing(self) -> None:
        for lines in ({}, {"x-instance-id": "r1"}):
            harness = self.harness(lines)
            for _ in range(2):
                await harness.send()
            self.assertEqual(["r1", "r2", "r1", "r2"], harness.reached_replicas())

    async def test_a_new_registration_takes_work(self) -> None:
        harness = self.harness()
        await harness.send()
        harness.scripts["r1"] = answer_ok
        harness.state.replicas.apply_update(replica_update("r1", 9, born_ms=8))
        await harness.send()
        self.assertEqual("r1", harness.reached_replicas()[-1])

    async def test_it_is_tried_again_after_a_while(self) -> None:
        """Guards against a replica that is lost while the store is away."""
        harness = self.harness()
        await harness.send()
        harness.scripts["r1"] = answer_ok
        await trio.sleep(10)
        await harness.send()
        self.assertEqual("r1", harness.reached_replicas()[-1])


class SharedDisplacementTests(TrioTestCase):
    """What one VM learns, the scheduler and the other VMs learn."""

    def harness(self, *, born_ms: int) -> EdgeHarness:
        return EdgeHarness(
            self,
            {"r1": answer_ok, "r2": answer_ok},
            records=listed("r1", "r2", born_ms=born_ms),
            preferred="r1",
        )

    async def test_a_vm_shares_what_it_has_learned(self) -> None:
        witness = EdgeHarness(self, {"r1": SUCCESSOR}, records=listed("r1"))
        await witness.send()
        shared = witness.state.replica_notices.shared()
        self.assertEqual((LeavingReplica("r1", 7, "r1"),), shared)
        await trio.sleep(10)
        self.assertEqual((), witness.state.replica_notices.shared())

    async def test_another_vm_sends_it_nothing(self) -> None:
        other = self.harness(born_ms=7)
        other.state.replica_notices.on_news("vm-1", [LeavingReplica("r1", 7, "r1")])
        await other.send()
        self.assertEqual(["r2"], other.reached_replicas())

    async def test_another_start_of_the_id_is_not_meant(self) -> None:
        other = self.harness(born_ms=8)
        other.state.replica_notices.on_news("vm-1", [LeavingReplica("r1", 7, "r1")])
        await other.send()
        self.assertEqual(["r1"], other.reached_replicas())
