"""Tests of parts of prompts that crashes alone cannot tell apart."""

from testtools import TestCase

from hemlocktrestle.quarantine import QUARANTINE_MS, PartQuarantine
from hemlocktrestle.quarantine._part_records import (
    RETRIAL_MS,
    SINGLE_CRASH_RETRIAL_MS,
)
from tests.quarantine.test_parts import POISON, crash, record, refused


def in_doubt(found: PartQuarantine, *parts: str, now_ms: float = 1_000.0) -> bool:
    """Tell whether a request with these parts may only be sent as a trial."""
    return found.doubtful(parts, now_ms) is not None


class AlternativeTests(TestCase):
    """Parts that crashes cannot tell apart are not blamed one without the others.

    Guards against sound requests refused for a part that came only with the cause.
    """

    def test_parts_that_came_only_together_are_refused_only_together(self) -> None:
        """The cause may be the first of them, one in the middle, or the last."""
        for parts in (("a", "b"), ("a", "b", "c", "d")):
            found = PartQuarantine()
            record(found, *(crash(number, *parts) for number in range(4)))
            self.assertTrue(refused(found, *parts, "own"))
            for part in parts:
                self.assertFalse(refused(found, part))
                self.assertTrue(in_doubt(found, part))
            self.assertFalse(in_doubt(found, "other"))

    def test_an_answer_leaves_the_cause(self) -> None:
        """A part that was answered alone is sound, and the others are blamed."""
        found = PartQuarantine()
        record(found, *(crash(number, "a", POISON, "b") for number in range(4)))
        found.record_sound(["b"], at_ms=500, now_ms=500)
        self.assertFalse(in_doubt(found, "b"))
        self.assertTrue(refused(found, "a", POISON))
        found.record_sound(["a"], at_ms=600, now_ms=600)
        self.assertTrue(refused(found, POISON))
        self.assertFalse(refused(found, "a", "b") or in_doubt(found, "a", "b"))

    def test_a_crash_without_the_others_names_the_cause(self) -> None:
        """One more crash under a request with one of the parts decides."""
        found = PartQuarantine()
        record(found, *(crash(number, "a", POISON, "b") for number in range(4)))
        record(found, crash(4, POISON))
        self.assertTrue(refused(found, POISON))
        self.assertFalse(refused(found, "a", "b"))

    def test_a_shared_part_is_tried_beside_two_causes(self) -> None:
        """Guards against the one part that explains what two others explain, too."""
        found = PartQuarantine()
        for number in range(4):
            record(found, crash(number, "shared", f"bad{number % 2}"))
        for bad in ("bad0", "bad1"):
            self.assertTrue(refused(found, "shared", bad))
        self.assertFalse(refused(found, "shared", "other"))
        self.assertTrue(in_doubt(found, "shared", "other"))
        found.record_sound(["shared"], at_ms=500, now_ms=500)
        self.assertTrue(refused(found, "bad0") and refused(found, "bad1"))

    def test_two_causes_of_different_requests_do_not_wait_for_each_other(self) -> None:
        """Crashes of other upstreams do not delay a quarantine by one more crash."""
        found = PartQuarantine()
        for number in range(8):
            one = crash(number, f"bad{number % 2}", f"beside{number}", is_started=False)
            record(found, one)
        for bad in ("bad0", "bad1"):
            self.assertTrue(refused(found, bad, "other"))
            self.assertTrue(in_doubt(found, bad))

    def test_the_second_of_two_causes_takes_one_crash_of_its_own(self) -> None:
        """Guards against a cause that hides behind another one and begins anew."""
        found = PartQuarantine()
        for number in range(5):
            record(found, crash(number, "bad0", "bad1", is_started=False))
        record(found, crash(5, "bad0", is_started=False))
        self.assertTrue(refused(found, "bad0"))
        self.assertFalse(refused(found, "bad1"))
        self.assertTrue(in_doubt(found, "bad1"))
        record(found, crash(6, "bad1", is_started=False))
        self.assertTrue(refused(found, "bad0") and refused(found, "bad1"))

    def test_a_part_that_one_crash_speaks_against_is_soon_tried_again(self) -> None:
        """A sound part that came with the cause may meet a crash of another cause."""
        found = PartQuarantine()
        record(found, *(crash(number, POISON, "beside") for number in range(4)))
        record(found, crash(4, POISON), crash(5, POISON), crash(6, "beside"))
        self.assertTrue(refused(found, "beside"))
        due_ms = 600.0 + SINGLE_CRASH_RETRIAL_MS
        self.assertFalse(in_doubt(found, "beside", now_ms=due_ms - 1))
        self.assertTrue(in_doubt(found, "beside", now_ms=due_ms))
        found.record_sound(["beside"], at_ms=due_ms, now_ms=due_ms)
        self.assertFalse(refused(found, "beside", now_ms=due_ms))
        self.assertTrue(refused(found, POISON, now_ms=due_ms))

    def test_a_quarantine_is_tried_again_before_it_ends(self) -> None:
        """Guards against a sound part that nobody may use, and so none acquits."""
        found = PartQuarantine()
        record(found, crash(1, POISON), crash(2, POISON))
        due_ms = 200.0 + RETRIAL_MS
        self.assertFalse(in_doubt(found, POISON, now_ms=due_ms - 1))
        self.assertTrue(in_doubt(found, POISON, now_ms=due_ms))
        self.assertLess(RETRIAL_MS, QUARANTINE_MS)
        record(found, crash(3, POISON, at_ms=due_ms))
        self.assertFalse(in_doubt(found, POISON, now_ms=due_ms + 1))
        self.assertTrue(refused(found, POISON, now_ms=due_ms + 1))
        late_ms = due_ms + RETRIAL_MS
        changes = found.record_sound([POISON], at_ms=late_ms, now_ms=late_ms)
        self.assertEqual([POISON], [entry.part for entry in changes.lifted])
