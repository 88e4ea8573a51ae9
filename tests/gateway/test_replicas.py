"""Tests of the registry of live replicas."""

from testtools import TestCase

from hemlocktrestle.gateway import (
    STORE_RECOVERY_GRACE_MS,
    ReplicaRegistry,
    ReplicaUpdate,
)
from tests.gateway.records import at, replica_update


def ids(registry: ReplicaRegistry) -> list[str]:
    """Return the ids of the replicas that are considered live."""
    return sorted(record.replica_id for record in registry.replicas())


class ReplicaRegistryTests(TestCase):
    """The latest revision counts, from the store or from another VM."""

    def registry(self) -> ReplicaRegistry:
        """Return a registry of two replicas that the store has listed."""
        registry = ReplicaRegistry()
        registry.apply_listing(
            [replica_update("a", 5), replica_update("b", 6)], revision=at(7), now_ms=0
        )
        registry.pop_updates()
        return registry

    def test_older_updates_are_ignored(self) -> None:
        """A late update from another VM is ignored."""
        registry = self.registry()
        registry.apply_update(replica_update("a", 9, is_draining=True))
        registry.apply_update(replica_update("a", 8, is_draining=False))
        self.assertEqual([True, False], [r.is_draining for r in registry.replicas()])
        self.assertEqual(
            ["a"], [update.replica_id for update in registry.pop_updates()]
        )

    def test_a_removed_entry_goes_at_once_while_the_store_is_well(self) -> None:
        """A replica that has left gets no more work."""
        registry = self.registry()
        registry.apply_removal("a", at(8), 10)
        self.assertEqual(["b"], ids(registry))
        self.assertEqual([ReplicaUpdate("a", at(8), None)], registry.pop_updates())

    def test_a_removal_before_the_last_write_does_not_count(self) -> None:
        """A removal is ignored if the replica has registered again since."""
        registry = self.registry()
        registry.apply_update(replica_update("a", 12))
        registry.apply_removal("a", at(11), 10)
        self.assertEqual(["a", "b"], ids(registry))

    def test_an_entry_that_cannot_be_read_names_no_replica(self) -> None:
        """An unreadable entry removes its replica only."""
        registry = self.registry()
        registry.apply_update(ReplicaUpdate("a", at(8), None))
        self.assertEqual(["b"], ids(registry))

    def test_an_unchanged_entry_is_no_update(self) -> None:
        """An unchanged entry is not forwarded to the other VMs."""
        registry = self.registry()
        registry.apply_update(replica_update("a", 20))
        self.assertEqual([], registry.pop_updates())


class LapsedEntryTests(TestCase):
    """Entries that expired while the store was unavailable get a grace period."""

    def lapsed(self) -> ReplicaRegistry:
        """Return a registry whose store recovered at 0 without the entry of ``a``."""
        registry = ReplicaRegistry()
        registry.apply_listing(
            [replica_update("a", 5), replica_update("b", 6)],
            revision=at(7),
            now_ms=-9_000,
        )
        registry.on_store_lost()
        registry.on_store_recovered(0)
        registry.apply_listing([replica_update("b", 6)], revision=at(20), now_ms=0)
        return registry

    def test_they_are_kept_for_a_while(self) -> None:
        """They are kept for about two seconds after the store's recovery."""
        registry = self.lapsed()
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS - 1)
        self.assertEqual(["a", "b"], ids(registry))

    def test_what_is_missing_after_that_is_gone(self) -> None:
        """A missing entry is removed after the grace period, on other VMs too."""
        registry = self.lapsed()
        registry.pop_updates()
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["b"], ids(registry))
        self.assertEqual([ReplicaUpdate("a", at(20), None)], registry.pop_updates())

    def test_what_comes_back_stays(self) -> None:
        """A replica that registers again in time is kept."""
        registry = self.lapsed()
        registry.apply_update(replica_update("a", 21))
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["a", "b"], ids(registry))

    def test_nothing_is_dropped_while_the_store_is_away_again(self) -> None:
        """Nothing is removed while the store is unavailable again."""
        registry = self.lapsed()
        registry.on_store_lost()
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS * 3)
        self.assertEqual(["a", "b"], ids(registry))

    def test_another_vm_that_is_in_touch_is_believed_at_once(self) -> None:
        """A removal by another VM applies while the store refuses only this VM."""
        registry = self.lapsed()
        registry.on_store_lost()
        registry.apply_update(ReplicaUpdate("a", at(30), None))
        self.assertEqual(["b"], ids(registry))
