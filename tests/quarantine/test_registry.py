"""Tests of the registry of suspected and quarantined requests."""

import json

from testtools import TestCase

from hemlocktrestle.quarantine import (
    ENTRIES_MAX,
    QUARANTINE_CRASH_COUNT,
    QUARANTINE_MS,
    SUSPICION_MS,
    QuarantineEntry,
    QuarantineRegistry,
    chat_fingerprint,
)


def record_crashes(
    registry: QuarantineRegistry, name: str, *upstreams: str
) -> QuarantineEntry | None:
    """Record a crash of each upstream for a fingerprint, at time 0."""
    entry = None
    for upstream in upstreams:
        entry = registry.record_crash(
            "assistant", name, upstream=upstream, request_id="r", now_ms=0
        )
    return entry


class QuarantineRegistryTests(TestCase):
    """Crashes of two different upstreams lead to quarantine, a single one does not."""

    def test_one_crash_is_a_suspicion(self) -> None:
        """A request that was running at one crash is not quarantined."""
        entry = record_crashes(QuarantineRegistry(), "a", "e1")
        assert entry is not None
        self.assertFalse(entry.is_quarantined)

    def test_crashes_of_different_upstreams_count(self) -> None:
        """The configured number of crashes quarantines a request."""
        upstreams = [f"e{number}" for number in range(QUARANTINE_CRASH_COUNT)]
        entry = record_crashes(QuarantineRegistry(), "a", *upstreams)
        assert entry is not None
        self.assertTrue(entry.is_quarantined)

    def test_the_same_upstream_counts_once(self) -> None:
        """An upstream that crashes again and again is itself the likely cause."""
        entry = record_crashes(QuarantineRegistry(), "a", "e1", "e1", "e1")
        assert entry is not None
        self.assertFalse(entry.is_quarantined)

    def test_a_suspicion_is_cleared_and_a_quarantine_is_not(self) -> None:
        """A completed request clears a suspicion but not a quarantine."""
        registry = QuarantineRegistry()
        record_crashes(registry, "a", "e1")
        record_crashes(registry, "b", "e1", "e2")
        self.assertTrue(registry.clear_suspicion("a"))
        self.assertFalse(registry.clear_suspicion("b"))
        self.assertEqual(["b"], [entry.fingerprint for entry in registry.entries(0)])
        self.assertTrue(registry.lift("b"))
        self.assertFalse(registry.lift("b"))

    def test_entries_expire(self) -> None:
        """Suspicions and quarantines expire after their times."""
        registry = QuarantineRegistry()
        record_crashes(registry, "a", "e1")
        record_crashes(registry, "b", "e1", "e2")
        self.assertIsNotNone(registry.find("a", SUSPICION_MS - 1))
        self.assertIsNone(registry.find("a", SUSPICION_MS))
        self.assertIsNotNone(registry.find("b", QUARANTINE_MS - 1))
        self.assertIsNone(registry.find("b", QUARANTINE_MS))

    def test_the_oldest_suspicions_go_first(self) -> None:
        """The number of entries is bounded, and a quarantine outlives suspicions."""
        registry = QuarantineRegistry()
        record_crashes(registry, "kept", "e1", "e2")
        for number in range(ENTRIES_MAX + 10):
            record_crashes(registry, f"s{number}", "e1")
        self.assertEqual(ENTRIES_MAX, len(registry))
        self.assertIsNotNone(registry.find("kept", 0))
        self.assertIsNone(registry.find("s0", 0))
        self.assertIsNotNone(registry.find(f"s{ENTRIES_MAX + 9}", 0))


class FingerprintTests(TestCase):
    """A fingerprint depends on the model and the messages only."""

    def test_varying_fields_do_not_count(self) -> None:
        """Length, streaming, seed and the order of fields do not change it."""
        message = {"role": "user", "content": "x"}
        plain = {"model": "m", "messages": [message]}
        varied = {"seed": 1, "stream": True, "messages": [message], "model": "m"}
        self.assertEqual(
            chat_fingerprint(json.dumps(plain).encode()),
            chat_fingerprint(json.dumps(varied).encode()),
        )

    def test_model_and_messages_count(self) -> None:
        """Another model or another message gives another fingerprint."""
        message = {"role": "user", "content": "x"}
        bodies = [
            {"model": "m", "messages": [message]},
            {"model": "n", "messages": [message]},
            {"model": "m", "messages": [message, message]},
        ]
        prints = {chat_fingerprint(json.dumps(body).encode()) for body in bodies}
        self.assertEqual(3, len(prints))
