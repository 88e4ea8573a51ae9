"""Tests of what is believed of replicas."""

from testtools import TestCase

from hemlocktrestle.gateway import RETURN_MS, ReplicaBook, ReplicaFact
from tests.gateway.records import fact


def ids(book: ReplicaBook) -> list[str]:
    """Return the replicas that are believed to live."""
    return sorted(record.replica_id for record in book.replicas())


class ReplicaBookTests(TestCase):
    """The store's latest word counts, whatever way it came."""

    def book(self) -> ReplicaBook:
        """Return a book of two replicas that the store has listed."""
        book = ReplicaBook()
        book.listed([fact("a", 5), fact("b", 6)], revision=7, now_ms=0)
        book.take_news()
        return book

    def test_older_word_never_counts(self) -> None:
        """News from another VM may be late."""
        book = self.book()
        book.put(fact("a", 9, is_draining=True))
        book.put(fact("a", 8, is_draining=False))
        self.assertEqual([True, False], [r.is_draining for r in book.replicas()])
        self.assertEqual(["a"], [news.replica_id for news in book.take_news()])

    def test_a_removed_entry_goes_at_once_while_the_store_is_well(self) -> None:
        """A replica that has left must get no more work."""
        book = self.book()
        book.removed("a", 8, 10)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaFact("a", 8, None)], book.take_news())

    def test_a_removal_before_the_last_write_does_not_count(self) -> None:
        """The replica has registered again since."""
        book = self.book()
        book.put(fact("a", 12))
        book.removed("a", 11, 10)
        self.assertEqual(["a", "b"], ids(book))

    def test_an_entry_that_cannot_be_read_names_no_replica(self) -> None:
        """The others hold."""
        book = self.book()
        book.put(ReplicaFact("a", 8, None))
        self.assertEqual(["b"], ids(book))

    def test_an_unchanged_entry_is_no_news(self) -> None:
        """Heartbeats of replicas must not travel between all VMs."""
        book = self.book()
        book.put(fact("a", 20))
        self.assertEqual([], book.take_news())


class LapsedEntryTests(TestCase):
    """Entries that lapsed while the store was away have time to come back."""

    def lapsed(self) -> ReplicaBook:
        """Return a book whose store came back at 0 without the entry of ``a``."""
        book = ReplicaBook()
        book.listed([fact("a", 5), fact("b", 6)], revision=7, now_ms=-9_000)
        book.store_lost()
        book.store_returned(0)
        book.listed([fact("b", 6)], revision=20, now_ms=0)
        return book

    def test_they_are_kept_for_a_while(self) -> None:
        """About two seconds after the store's return."""
        book = self.lapsed()
        book.settle(RETURN_MS - 1)
        self.assertEqual(["a", "b"], ids(book))

    def test_what_is_missing_after_that_is_gone(self) -> None:
        """It is news for the other VMs too."""
        book = self.lapsed()
        book.take_news()
        book.settle(RETURN_MS)
        self.assertEqual(["b"], ids(book))
        self.assertEqual([ReplicaFact("a", 20, None)], book.take_news())

    def test_what_comes_back_stays(self) -> None:
        """With a new revision of its entry."""
        book = self.lapsed()
        book.put(fact("a", 21))
        book.settle(RETURN_MS)
        self.assertEqual(["a", "b"], ids(book))

    def test_nothing_is_dropped_while_the_store_is_away_again(self) -> None:
        """An entry cannot come back then."""
        book = self.lapsed()
        book.store_lost()
        book.settle(RETURN_MS * 3)
        self.assertEqual(["a", "b"], ids(book))

    def test_another_vm_that_is_in_touch_is_believed_at_once(self) -> None:
        """The store turned only this VM away."""
        book = self.lapsed()
        book.store_lost()
        book.put(ReplicaFact("a", 30, None))
        self.assertEqual(["b"], ids(book))
