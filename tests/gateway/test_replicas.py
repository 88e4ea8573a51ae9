"""Tests of what is believed of replicas."""

from testtools import TestCase

from hemlocktrestle.gateway import (
    STORE_RECOVERY_GRACE_MS,
    ReplicaRegistry,
    ReplicaUpdate,
)
from tests.gateway.records import replica_update


def ids(book: ReplicaRegistry) -> list[str]:
    """Return the replicas that are believed to live."""
    return sorted(record.replica_id for record in book.replicas())


class ReplicaBookTests(TestCase):
    """The store's latest word counts, whatever way it came."""

    def book(self) -> ReplicaRegistry:
        """Return a book of two replicas that the store has listed."""
        book = ReplicaRegistry()
        book.apply_listing(
            [replica_update("a", 5), replica_update("b", 6)], revision=7, now_ms=0
        )
        book.pop_updates()
        return book

    def test_older_word_never_counts(self) -> None:
        """News from another VM may be late."""
        book = self.book()
        book.apply_update(replica_update("a", 9, is_draining=True))
        book.apply_update(replica_update("a", 8, is_draining=False))
        self.assertEqual([True, False], [r.is_draining for r in book.replicas()])
        self.assertEqual(["a"], [news.replica_id for news in book.pop_updates()])

    def test_a_removed_entry_goes_at_once_while_the_store_is_well(self) -> None:
        """A replica that has left must get no more work."""
        book = self.book()
        book.apply_removal("a", 8, 10)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaUpdate("a", 8, None)], book.pop_updates())

    def test_a_removal_before_the_last_write_does_not_count(self) -> None:
        """The replica has registered again since."""
        book = self.book()
        book.apply_update(replica_update("a", 12))
        book.apply_removal("a", 11, 10)
        self.assertEqual(["a", "b"], ids(book))

    def test_an_entry_that_cannot_be_read_names_no_replica(self) -> None:
        """The others hold."""
        book = self.book()
        book.apply_update(ReplicaUpdate("a", 8, None))
        self.assertEqual(["b"], ids(book))

    def test_an_unchanged_entry_is_no_news(self) -> None:
        """Heartbeats of replicas must not travel between all VMs."""
        book = self.book()
        book.apply_update(replica_update("a", 20))
        self.assertEqual([], book.pop_updates())


class LapsedEntryTests(TestCase):
    """Entries that lapsed while the store was away have time to come back."""

    def lapsed(self) -> ReplicaRegistry:
        """Return a book whose store came back at 0 without the entry of ``a``."""
        book = ReplicaRegistry()
        book.apply_listing(
            [replica_update("a", 5), replica_update("b", 6)], revision=7, now_ms=-9_000
        )
        book.on_store_lost()
        book.on_store_recovered(0)
        book.apply_listing([replica_update("b", 6)], revision=20, now_ms=0)
        return book

    def test_they_are_kept_for_a_while(self) -> None:
        """About two seconds after the store's return."""
        book = self.lapsed()
        book.drop_unconfirmed(STORE_RECOVERY_GRACE_MS - 1)
        self.assertEqual(["a", "b"], ids(book))

    def test_what_is_missing_after_that_is_gone(self) -> None:
        """It is news for the other VMs too."""
        book = self.lapsed()
        book.pop_updates()
        book.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaUpdate("a", 20, None)], book.pop_updates())

    def test_what_comes_back_stays(self) -> None:
        """With a new revision of its entry."""
        book = self.lapsed()
        book.apply_update(replica_update("a", 21))
        book.drop_unconfirmed(STORE_RECOVERY_GRACE_MS)
        self.assertEqual(["a", "b"], ids(book))

    def test_nothing_is_dropped_while_the_store_is_away_again(self) -> None:
        """An entry cannot come back then."""
        book = self.lapsed()
        book.on_store_lost()
        book.drop_unconfirmed(STORE_RECOVERY_GRACE_MS * 3)
        self.assertEqual(["a", "b"], ids(book))

    def test_another_vm_that_is_in_touch_is_believed_at_once(self) -> None:
        """The store turned only this VM away."""
        book = self.lapsed()
        book.on_store_lost()
        book.apply_update(ReplicaUpdate("a", 30, None))
        self.assertEqual(["b"], ids(book))
