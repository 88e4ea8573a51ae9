"""Tests of suspicions and quarantine as decisions."""

import json

from testtools import TestCase

from hemlocktrestle.quarantine import (
    CRASHES_MAX,
    ENTRIES_MAX,
    QUARANTINE_MS,
    SUSPECT_MS,
    QuarantineEntry,
    QuarantineRegistry,
    chat_fingerprint,
)


def suspected(
    book: QuarantineRegistry, name: str, *upstreams: str
) -> QuarantineEntry | None:
    """Suspect a fingerprint after a crash of each upstream, at time 0."""
    entry = None
    for upstream in upstreams:
        entry = book.record_crash(
            "assistant", name, upstream=upstream, request_id="r", now_ms=0
        )
    return entry


class QuarantineBookTests(TestCase):
    """Two crashes of different upstreams count, one coincidence does not."""

    def test_one_crash_is_a_suspicion(self) -> None:
        """A request that was there at one crash still runs."""
        entry = suspected(QuarantineRegistry(), "a", "e1")
        assert entry is not None
        self.assertFalse(entry.is_quarantined)

    def test_crashes_of_different_upstreams_count(self) -> None:
        """The stated number of crashes puts a request in quarantine."""
        upstreams = [f"e{number}" for number in range(CRASHES_MAX)]
        entry = suspected(QuarantineRegistry(), "a", *upstreams)
        assert entry is not None
        self.assertTrue(entry.is_quarantined)

    def test_the_same_upstream_counts_once(self) -> None:
        """An upstream that crashes again and again is itself the likely cause."""
        entry = suspected(QuarantineRegistry(), "a", "e1", "e1", "e1")
        assert entry is not None
        self.assertFalse(entry.is_quarantined)

    def test_a_suspicion_is_cleared_and_a_quarantine_is_not(self) -> None:
        """A request that ran to its end clears a suspicion alone."""
        book = QuarantineRegistry()
        suspected(book, "a", "e1")
        suspected(book, "b", "e1", "e2")
        self.assertTrue(book.clear_suspicion("a"))
        self.assertFalse(book.clear_suspicion("b"))
        self.assertEqual(["b"], [entry.fingerprint for entry in book.entries(0)])
        self.assertTrue(book.lift("b"))
        self.assertFalse(book.lift("b"))

    def test_entries_expire(self) -> None:
        """A suspicion and a quarantine end with their time."""
        book = QuarantineRegistry()
        suspected(book, "a", "e1")
        suspected(book, "b", "e1", "e2")
        self.assertIsNotNone(book.find("a", SUSPECT_MS - 1))
        self.assertIsNone(book.find("a", SUSPECT_MS))
        self.assertIsNotNone(book.find("b", QUARANTINE_MS - 1))
        self.assertIsNone(book.find("b", QUARANTINE_MS))

    def test_the_oldest_suspicions_go_first(self) -> None:
        """The number of entries is bounded, and a quarantine outlives suspicions."""
        book = QuarantineRegistry()
        suspected(book, "kept", "e1", "e2")
        for number in range(ENTRIES_MAX + 10):
            suspected(book, f"s{number}", "e1")
        self.assertEqual(ENTRIES_MAX, len(book))
        self.assertIsNotNone(book.find("kept", 0))
        self.assertIsNone(book.find("s0", 0))
        self.assertIsNotNone(book.find(f"s{ENTRIES_MAX + 9}", 0))


class FingerprintTests(TestCase):
    """A request that is sent again is known by what it asks."""

    def test_varying_fields_do_not_count(self) -> None:
        """Length, streaming, seed and the order of fields change nothing."""
        message = {"role": "user", "content": "x"}
        plain = {"model": "m", "messages": [message]}
        varied = {"seed": 1, "stream": True, "messages": [message], "model": "m"}
        self.assertEqual(
            chat_fingerprint(json.dumps(plain).encode()),
            chat_fingerprint(json.dumps(varied).encode()),
        )

    def test_model_and_messages_count(self) -> None:
        """Another model or another message is another request."""
        message = {"role": "user", "content": "x"}
        bodies = [
            {"model": "m", "messages": [message]},
            {"model": "n", "messages": [message]},
            {"model": "m", "messages": [message, message]},
        ]
        prints = {chat_fingerprint(json.dumps(body).encode()) for body in bodies}
        self.assertEqual(3, len(prints))
