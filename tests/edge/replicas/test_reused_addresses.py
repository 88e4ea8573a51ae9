"""Tests of addresses at which another replica answers than the one that was chosen."""

from hemlocktrestle.edge.placing._placement import AttemptEnd
from tests.edge.harness import EdgeHarness, answer_ok
from tests.edge.replicas.test_displaced_replicas import SUCCESSOR
from tests.gateway.records import replica, replica_update
from tests.support import TrioTestCase


class ReusedAddressTests(TrioTestCase):
    """A replica is gone once another one answers at its address.

    Guards against requests that go there again and again until the store tells.
    """

    def harness(self) -> EdgeHarness:
        """Return a server whose scheduler goes on choosing ``r1``, which is gone."""
        return EdgeHarness(
            self,
            {"r1": SUCCESSOR, "r2": answer_ok},
            records=(replica("r1", born_ms=5), replica("r2", born_ms=6)),
            preferred="r1",
        )

    async def test_each_request_names_the_replica_that_is_meant(self) -> None:
        """Also the next attempt, at another replica."""
        harness = self.harness()
        await harness.send(method="POST", body=b"wipe")
        named = [
            request.headers["x-expect-instance"] for _, request in harness.requests
        ]
        self.assertEqual(["r1", "r2"], named)

    async def test_one_that_was_not_run_goes_elsewhere_once(self) -> None:
        """It has not run, so it may be sent again, whatever its route allows."""
        harness = self.harness()
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual(200, reply.status)
        self.assertEqual(("r1", AttemptEnd.NOT_RUN), harness.released[0])

    async def test_the_next_request_is_not_sent_there(self) -> None:
        """One answer is enough; the registration may lag."""
        harness = self.harness()
        await harness.send(method="POST", body=b"wipe")
        harness.requests.clear()
        reply = await harness.send(method="POST", body=b"wipe")
        self.assertEqual((200, ["r2"]), (reply.status, harness.reached_replicas()))

    async def test_a_new_incarnation_is_used(self) -> None:
        """The id has registered again with a later start."""
        harness = self.harness()
        await harness.send(method="POST", body=b"wipe")
        harness.state.replicas.apply_update(replica_update("r1", 9, born_ms=50))
        harness.scripts["r1"] = answer_ok
        harness.requests.clear()
        await harness.send(method="POST", body=b"wipe")
        self.assertEqual(["r1"], harness.reached_replicas())
