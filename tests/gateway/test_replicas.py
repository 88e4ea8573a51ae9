"""Tests of the registry of live replicas."""

from testtools import TestCase

from hemlocktrestle.gateway import RETURN_MS, ReplicaBook, ReplicaFact
from tests.gateway.records import fact


def ids(book: ReplicaBook) -> list[str]:
    """Return the ids of the replicas that are considered live."""
    return sorted(record.replica_id for record in book.replicas())


class ReplicaBookTests(TestCase):
    """The latest revision counts, from the store or from another VM."""

    def book(self) -> ReplicaBook:
        """Return a registry of two replicas that the store has listed."""
        book = ReplicaBook()
        book.listed([fact("a", 5), fact("b", 6)], revision=7, now_ms=0)
        book.take_news()
        return book

    def test_older_word_never_counts(self) -> None:
        """A late update from another VM is ignored."""
        book = self.book()
        book.put(fact("a", 9, is_draining=True))
        book.put(fact("a", 8, is_draining=False))
        self.assertEqual([True, False], [r.is_draining for r in book.replicas()])
        self.assertEqual(["a"], [news.replica_id for news in book.take_news()])

    def test_a_removed_entry_goes_at_once_while_the_store_is_well(self) -> None:
        """A replica that has left gets no more work."""
        book = self.book()
        book.removed("a", 8, 10)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaFact("a", 8, None)], book.take_news())

    def test_a_removal_before_the_last_write_does_not_count(self) -> None:
        """A removal is ignored if the replica has registered again since."""
        book = self.book()
        book.put(fact("a", 12))
        book.removed("a", 11, 10)
        self.assertEqual(["a", "b"], ids(book))

    def test_an_entry_that_cannot_be_read_names_no_replica(self) -> None:
        """An unreadable entry removes its replica only."""
        book = self.book()
        book.put(ReplicaFact("a", 8, None))
        self.assertEqual(["b"], ids(book))

    def test_an_unchanged_entry_is_no_news(self) -> None:
        """An unchanged entry is not forwarded to the other VMs."""
        book = self.book()
        book.put(fact("a", 20))
        self.assertEqual([], book.take_news())


class LapsedEntryTests(TestCase):
    """Entries that expired while the store was unavailable get a grace period."""

    def lapsed(self) -> ReplicaBook:
        """Return a registry whose store recovered at 0 without the entry of ``a``."""
        book = ReplicaBook()
        book.listed([fact("a", 5), fact("b", 6)], revision=7, now_ms=-9_000)
        book.store_lost()
        book.store_returned(0)
        book.listed([fact("b", 6)], revision=20, now_ms=0)
        return book

    def test_they_are_kept_for_a_while(self) -> None:
        """They are kept for about two seconds after the store's recovery."""
        book = self.lapsed()
        book.settle(RETURN_MS - 1)
        self.assertEqual(["a", "b"], ids(book))

    def test_what_is_missing_after_that_is_gone(self) -> None:
        """A missing entry is removed after the grace period, on other VMs too."""
        book = self.lapsed()
        book.take_news()
        book.settle(RETURN_MS)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaFact("a", 20, None)], book.take_news())

    def test_what_comes_back_stays(self) -> None:
        """A replica that registers again in time is kept."""
        book = self.lapsed()
        book.put(fact("a", 21))
        book.settle(RETURN_MS)
        self.assertEqual(["a", "b"], ids(book))

    def test_nothing_is_dropped_while_the_store_is_away_again(self) -> None:
        """Nothing is removed while the store is unavailable again."""
        book = self.lapsed()
        book.store_lost()
        book.settle(RETURN_MS * 3)
        self.assertEqual(["a", "b"], ids(book))

    def test_another_vm_that_is_in_touch_is_believed_at_once(self) -> None:
        """A removal by another VM applies while the store refuses only this VM."""
        book = self.lapsed()
        book.store_lost()
        book.put(ReplicaFact("a", 30, None))
        self.assertEqual(["b"], ids(book))
