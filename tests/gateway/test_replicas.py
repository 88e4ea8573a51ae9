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


class RestoredStoreTests(TestCase):
    """Facts of the era before hold for the grace period, then the new era counts."""

    def restored(self) -> ReplicaRegistry:
        """Return a registry at 0, when the era 1 is learned: ``b`` left, ``c`` came."""
        registry = ReplicaRegistry()
        registry.begin_era(0, -9_000)
        registry.apply_listing(
            [replica_update("a", 5), replica_update("b", 6), replica_update("c", 40)],
            revision=at(41),
            now_ms=-9_000,
        )
        registry.apply_removal("b", at(42), -1_000)
        registry.begin_era(1, 0)
        return registry

    def listed(self) -> ReplicaRegistry:
        """Return the registry after it has read the older copy."""
        registry = self.restored()
        registry.apply_listing(
            [replica_update("a", 5, era=1), replica_update("b", 6, era=1)],
            revision=at(7, era=1),
            now_ms=0,
        )
        return registry

    def test_the_older_copy_changes_nothing_at_once(self) -> None:
        """Neither does a replica leave that it lacks, nor one return that left."""
        registry = self.listed()
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS - 1)
        self.assertEqual(["a", "c"], ids(registry))

    def test_the_new_era_alone_counts_after_the_grace_period(self) -> None:
        """No fact of the lost seconds is believed for good."""
        registry = self.listed()
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["a", "b"], ids(registry))

    def test_what_is_written_again_counts_at_once(self) -> None:
        """A removal that is written again ends what the older copy lists."""
        registry = self.listed()
        registry.apply_update(replica_update("c", 8, era=1))
        registry.apply_removal("b", at(9, era=1), 100)
        registry.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["a", "c"], ids(registry))
        registry.apply_update(replica_update("b", 6, era=1))
        self.assertEqual(["a", "c"], ids(registry))

    def test_an_earlier_start_does_not_replace_a_later_one(self) -> None:
        """The copy may list a replica as it was before its restart."""
        for born_ms, address in ((7, "new"), (9, "newest")):
            registry = self.restored()
            registry.apply_update(
                replica_update("a", 1, era=1, born_ms=8, address="new")
            )
            registry.begin_era(2, 50)
            registry.apply_update(
                replica_update("a", 1, era=2, born_ms=born_ms, address="newest")
            )
            found = registry.find("a")
            assert found is not None
            self.assertEqual(address, found.address)

    def test_a_start_that_drains_takes_no_work_again(self) -> None:
        """Guards against work for a replica that writes its state again too late."""
        for born_ms, expected in ((8, True), (9, False), (0, False)):
            registry = self.restored()
            registry.apply_update(
                replica_update("a", 8, era=1, born_ms=8, is_draining=True)
            )
            registry.begin_era(2, 50)
            for is_late in (False, True):
                if is_late:
                    registry.begin_era(3, 60)
                    registry.drop_unconfirmed(60 + STORE_RECOVERY_GRACE_MS)
                era = 2 + is_late
                registry.apply_update(replica_update("a", 3, era=era, born_ms=born_ms))
                registry.drop_unconfirmed(60 + STORE_RECOVERY_GRACE_MS)
                found = registry.find("a")
                assert found is not None
                self.assertEqual(expected, found.is_draining)
                self.assertEqual(born_ms, found.born_ms)

    def test_facts_of_an_earlier_era_are_refused(self) -> None:
        """A VM that has not seen the restore overwrites nothing."""
        registry = self.restored()
        registry.apply_update(replica_update("d", 900))
        registry.apply_removal("a", at(900), 5_000)
        registry.apply_listing([], revision=at(901), now_ms=5_000)
        self.assertEqual(["a", "c"], ids(registry))

    def test_what_the_first_copy_lacked_is_read_again_after_a_second(self) -> None:
        """Only what the last listing lacks is dropped."""
        registry = self.listed()
        registry.begin_era(2, 1_000)
        registry.apply_listing(
            [replica_update("c", 4, era=2)], revision=at(7, era=2), now_ms=1_000
        )
        registry.drop_unconfirmed(1_000 + STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["c"], ids(registry))

    def test_what_both_copies_lack_is_dropped(self) -> None:
        """Guards against a removal that is refused as one of the first era."""
        registry = self.listed()
        registry.begin_era(2, 1_000)
        registry.apply_listing(
            [replica_update("a", 4, era=2)], revision=at(7, era=2), now_ms=1_000
        )
        registry.drop_unconfirmed(1_000 + STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["a"], ids(registry))

    def test_the_first_era_is_no_restore(self) -> None:
        """A process that starts believes a removal at once."""
        registry = ReplicaRegistry()
        registry.begin_era(3, 0)
        registry.apply_update(replica_update("a", 5, era=3))
        registry.apply_removal("a", at(6, era=3), 10)
        self.assertEqual([], ids(registry))

    def test_what_another_vm_sent_before_the_first_answer_is_no_restore(self) -> None:
        """Guards against removals that wait although the store states no era."""
        registry = ReplicaRegistry()
        registry.apply_update(replica_update("a", 5))
        registry.begin_era(0, 0)
        registry.apply_removal("a", at(6), 10)
        self.assertEqual([], ids(registry))

    def test_a_restore_before_the_first_answer_is_one(self) -> None:
        """What another VM sent of an earlier era may be missing in the copy."""
        registry = ReplicaRegistry()
        registry.apply_update(replica_update("a", 5))
        registry.begin_era(1, 0)
        registry.apply_removal("a", at(6, era=1), 10)
        self.assertEqual(["a"], ids(registry))
