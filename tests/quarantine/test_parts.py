"""Tests of the quarantine of parts of prompts that crash upstreams."""

import random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.quarantine import (
    QUARANTINE_MS,
    SUSPICION_MS,
    PartCrash,
    PartQuarantine,
)
from hemlocktrestle.quarantine._parts import (
    CRASHES_MAX,
    QUARANTINED_MAX,
    SOUND_PARTS_MAX,
)

POISON = "bad0"


def crash(number: int, *parts: str, **fields: Any) -> PartCrash:
    """Return the crash of an upstream under a request; the number tells both apart."""
    values: dict[str, Any] = {
        "parts": parts,
        "upstream": f"u{number}/1",
        "fingerprint": f"f{number}",
        "request_id": f"q{number}",
        "is_started": True,
        "at_ms": number * 100.0,
    }
    return PartCrash(**{**values, **fields})


def record(found: PartQuarantine, *crashes: PartCrash) -> None:
    """Record crashes at the times at which they are noticed."""
    for known in crashes:
        found.record_crash(known, known.at_ms)


def refused(found: PartQuarantine, *parts: str, now_ms: float = 1_000.0) -> bool:
    """Tell whether a request with these parts is refused."""
    return found.quarantined(parts, now_ms) is not None


class PartQuarantineTests(TestCase):
    """Parts are quarantined after crashes of several upstreams, others are not."""

    def test_two_crashes_under_different_requests_quarantine_their_part(self) -> None:
        """The part that both requests share is refused, their other parts are not."""
        found = PartQuarantine()
        record(found, crash(1, "a", POISON), crash(2, "b", POISON))
        self.assertTrue(refused(found, "c", POISON))
        self.assertFalse(refused(found, "a", "b"))

    def test_one_crash_quarantines_nothing(self) -> None:
        """Several requests that ran at one crash do not add up."""
        found = PartQuarantine()
        same = [crash(n, POISON, upstream="u/1") for n in range(9)]
        record(found, *same)
        self.assertFalse(refused(found, POISON))

    def test_the_same_request_again_quarantines_no_part(self) -> None:
        """One request that crashes upstreams may do so by its own last part."""
        found = PartQuarantine()
        record(found, *(crash(n, POISON, fingerprint="f") for n in range(9)))
        self.assertFalse(refused(found, POISON))

    def test_an_upstream_that_crashes_again_counts_again(self) -> None:
        """An upstream that restarts under its id is another incarnation."""
        found = PartQuarantine()
        for born in (1, 2):
            record(found, crash(born, POISON, upstream=f"u/{born}"))
        self.assertTrue(refused(found, POISON))

    def test_requests_that_had_no_answer_yet_weigh_less(self) -> None:
        """Four crashes are needed if no answer had begun."""
        found = PartQuarantine()
        crashes = [crash(n, POISON, is_started=False) for n in range(4)]
        record(found, *crashes[:3])
        self.assertFalse(refused(found, POISON))
        record(found, crashes[3])
        self.assertTrue(refused(found, POISON))

    def test_a_crash_is_known_once(self) -> None:
        """A crash that comes over several links changes nothing again."""
        found = PartQuarantine()
        self.assertIsNotNone(found.record_crash(crash(1, POISON), 0.0))
        self.assertIsNone(found.record_crash(crash(1, POISON), 0.0))
        self.assertIsNone(found.record_crash(crash(2), 0.0))


class SoundPartTests(TestCase):
    """Parts of answered requests are acquitted, also late."""

    def test_a_shared_part_is_not_blamed(self) -> None:
        """Guards against sound requests refused for the part that all of them share."""
        found = PartQuarantine()
        record(found, crash(1, "first", POISON), crash(2, "first", POISON))
        self.assertTrue(refused(found, "first", POISON))
        self.assertFalse(refused(found, "first"))
        found.record_sound(["first"], at_ms=300, now_ms=300)
        self.assertTrue(refused(found, POISON))

    def test_requests_beside_the_cause_are_not_blamed(self) -> None:
        """Guards against parts refused because they ran beside two crashes."""
        found = PartQuarantine()
        for number in (1, 2):
            record(found, crash(number, "first", POISON))
            record(found, crash(number, "first", "beside", fingerprint=f"g{number}"))
        record(found, crash(3, "first", POISON))
        self.assertTrue(refused(found, "first", POISON))
        self.assertFalse(refused(found, "first", "beside"))
        found.record_sound(["first"], at_ms=400, now_ms=400)
        self.assertTrue(refused(found, POISON))
        self.assertFalse(refused(found, "beside"))

    def test_an_answer_clears_earlier_crashes(self) -> None:
        """Crashes before an answer do not count, and more are needed after it."""
        found = PartQuarantine()
        record(found, crash(1, "a"))
        found.record_sound(["a"], at_ms=150, now_ms=150)
        record(found, crash(2, "a"), crash(3, "a"), crash(4, "a"))
        self.assertFalse(refused(found, "a"))
        record(found, crash(5, "a"))
        self.assertTrue(refused(found, "a"))

    def test_a_late_answer_ends_a_quarantine(self) -> None:
        """A request that was in flight shows that its part was blamed wrongly."""
        found = PartQuarantine()
        record(found, crash(1, "a"), crash(2, "a"))
        changes = found.record_sound(["a"], at_ms=300, now_ms=300)
        self.assertEqual(["a"], [entry.part for entry in changes.lifted])
        self.assertFalse(refused(found, "a"))

    def test_an_old_answer_of_another_vm_does_not_end_a_quarantine(self) -> None:
        """Only an answer after the crashes shows that they have another cause."""
        found = PartQuarantine()
        record(found, *(crash(n, POISON) for n in range(2, 7)))
        found.record_sound([POISON], at_ms=100, now_ms=700)
        self.assertTrue(refused(found, POISON))

    def test_the_order_of_the_crashes_does_not_matter(self) -> None:
        """Guards against VMs that refuse different parts for the same crashes."""
        crashes = [crash(n, f"first{n % 2}", POISON) for n in range(4)]
        crashes += [crash(n, "first1", fingerprint=f"g{n}") for n in range(4)]
        for seed in range(50):
            found = PartQuarantine()
            mixed = random.Random(seed).sample(crashes, len(crashes))
            for known in mixed:
                found.record_crash(known, 1_000.0)
            self.assertTrue(refused(found, "first1", POISON))
            self.assertFalse(refused(found, "first0", "first1"))
            found.record_sound(["first1"], at_ms=2_000, now_ms=2_000)
            self.assertTrue(refused(found, POISON))
            self.assertFalse(refused(found, "first0", "first1"))

    def test_later_crashes_tell_the_cause_from_the_part_beside_it(self) -> None:
        """A part that is always beside the cause at first is freed by later crashes."""
        found = PartQuarantine()
        record(found, crash(1, POISON, "beside"), crash(2, POISON, "beside"))
        self.assertTrue(refused(found, POISON, "beside"))
        record(found, crash(3, POISON), crash(4, POISON))
        self.assertTrue(refused(found, POISON))
        self.assertFalse(refused(found, "beside"))


class BoundTests(TestCase):
    """Suspicions and quarantines end, and are bounded in number."""

    def test_a_suspicion_ends(self) -> None:
        """A crash that is long past does not count with a new one."""
        found = PartQuarantine()
        record(found, crash(1, POISON), crash(2, POISON, at_ms=200.0 + SUSPICION_MS))
        self.assertFalse(refused(found, POISON, now_ms=300.0 + SUSPICION_MS))

    def test_a_quarantine_ends(self) -> None:
        """A part may be tried again after the quarantine."""
        found = PartQuarantine()
        record(found, crash(1, POISON), crash(2, POISON))
        ends_ms = 200.0 + QUARANTINE_MS
        self.assertTrue(refused(found, POISON, now_ms=ends_ms - 1))
        self.assertFalse(refused(found, POISON, now_ms=ends_ms))
        (expired,) = found.pop_expired(ends_ms)
        self.assertEqual((POISON, 0), (expired.part, len(found)))

    def test_a_quarantine_outlasts_the_suspicions(self) -> None:
        """Guards against a quarantine that a later crash of another cause ends."""
        found = PartQuarantine()
        record(found, crash(1, POISON), crash(2, POISON))
        late_ms = 2.0 * SUSPICION_MS
        record(found, crash(3, "a", at_ms=late_ms), crash(4, "b", at_ms=late_ms))
        self.assertTrue(refused(found, POISON, now_ms=late_ms))

    def test_numbers_are_bounded(self) -> None:
        """Any number of parts, sound or crashing, takes bounded memory."""
        found = PartQuarantine()
        for number in range(600):
            pair = (crash(number, f"p{number}", upstream=f"v{number}"),)
            record(found, *pair, crash(number, f"p{number}", fingerprint="g"))
        parts = [f"s{number}" for number in range(2 * SOUND_PARTS_MAX)]
        found.record_sound(parts, at_ms=1, now_ms=1)
        self.assertLessEqual(len(found), QUARANTINED_MAX)
        self.assertLessEqual(len(found._crashes), CRASHES_MAX)
        self.assertLessEqual(len(found._sound_ms), SOUND_PARTS_MAX)


class _Fleet:
    """VMs that send random requests to upstreams; facts reach all VMs after a delay.

    Args:
        draws: the source of random numbers.
        vm_count: number of VMs.
        delay: steps until a fact of one VM reaches another one.
    """

    def __init__(self, draws: random.Random, vm_count: int, delay: int) -> None:
        self._draws = draws
        self._delay = delay
        self.vms = [PartQuarantine() for _ in range(vm_count)]
        self._facts: list[tuple[int, int, PartCrash | tuple[str, ...]]] = []
        self.crash_count = 0
        self.poison_sent = 0
        self.sound_sent = 0
        self.sound_refused = 0

    def step(self, number: int) -> None:
        """Send some requests to one upstream, and let it crash or answer."""
        self._deliver(number)
        ran = [self._request(number) for _ in range(self._draws.randint(1, 6))]
        sent = [entry for entry in ran if entry is not None]
        has_crashed = any(POISON in parts for _, parts in sent)
        self.crash_count += has_crashed
        for index, (vm, parts) in enumerate(sent):
            is_started = POISON in parts or self._draws.random() < 0.3
            fact: PartCrash | tuple[str, ...] = parts
            if has_crashed:
                fact = crash(
                    number,
                    *parts,
                    fingerprint=f"f{number}.{index}",
                    is_started=is_started,
                )
            self._record(self.vms[vm], fact, number)
            self._facts.append((number + self._delay, vm, fact))

    def _request(self, number: int) -> tuple[int, tuple[str, ...]] | None:
        draws = self._draws
        vm = draws.randrange(len(self.vms))
        is_poison = draws.random() < 0.2
        middle = POISON if is_poison else f"m{draws.randrange(6)}"
        parts = (f"first{draws.randrange(3)}", middle)
        is_refused = refused(self.vms[vm], *parts, now_ms=number * 100.0)
        if is_poison:
            self.poison_sent += not is_refused
        else:
            self.sound_sent += not is_refused
            self.sound_refused += is_refused
        return None if is_refused else (vm, parts)

    def _deliver(self, number: int) -> None:
        due = [entry for entry in self._facts if entry[0] <= number]
        self._facts = [entry for entry in self._facts if entry[0] > number]
        for _, source, fact in due:
            for vm, found in enumerate(self.vms):
                if vm != source:
                    self._record(found, fact, number)

    def _record(
        self, found: PartQuarantine, fact: PartCrash | tuple[str, ...], number: int
    ) -> None:
        at_ms = number * 100.0
        if isinstance(fact, PartCrash):
            found.record_crash(fact, at_ms)
        else:
            found.record_sound(fact, at_ms=at_ms, now_ms=at_ms)


class MixtureTests(TestCase):
    """Sound and crashing requests in random mixtures over VMs and upstreams."""

    @given(
        seed=st.integers(min_value=0, max_value=2**32),
        vm_count=st.integers(min_value=1, max_value=6),
        delay=st.integers(min_value=1, max_value=2),
    )
    def test_crashes_end_and_sound_requests_are_served(
        self, seed: int, vm_count: int, delay: int
    ) -> None:
        """Guards against crashes that go on, and against refusals of sound requests.

        Sound requests share the first part with the crashing ones.  By the rules of
        the users, three requests with the part may still be sent after the fifth
        crash, and half of the sound ones must be served.
        """
        fleet = _Fleet(random.Random(seed), vm_count, delay)
        number = 0
        while fleet.crash_count < 5 and number < 200:
            fleet.step(number)
            number += 1
        for _ in range(delay):
            fleet.step(number)
            number += 1
        fleet.poison_sent = fleet.sound_sent = fleet.sound_refused = 0
        for _ in range(100):
            fleet.step(number)
            number += 1
        self.assertLessEqual(fleet.poison_sent, 3)
        self.assertLessEqual(fleet.sound_refused, fleet.sound_sent)
