"""Tests of what the soak's deployment records."""

from pathlib import Path

import trio

from tests.soak._deployment import Deployment, Replica
from tests.standins.replica import ReplicaStandIn
from tests.support import TrioTestCase


class RemovedReplicaTests(TrioTestCase):
    """Replicas that are gone."""

    async def test_the_runs_of_a_replica_count_once(self) -> None:
        """Guards against runs that count twice when a replica crashes as it drains."""
        async with trio.open_nursery() as nursery:
            deployment = Deployment(nursery, Path(), lambda line: None)
            replica = Replica(ReplicaStandIn("i-1", zone="z1"), "assistant")
            deployment.replicas["i-1"] = replica
            for _ in range(2):
                deployment.remove_replica(replica)
        self.assertEqual([replica], deployment.removed_replicas)
