"""Tests of the replicated states of upstreams that refuse work."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.membership import ProbeResult, RefusalTracker


class RefusalTrackerTests(TestCase):
    """States have versions, and the higher version wins."""

    def test_another_address_is_another_upstream(self) -> None:
        """An upstream that returns under another address is not refusing."""
        tracker = RefusalTracker()
        tracker.record_refusal("e1", "old:1", 0)
        self.assertTrue(tracker.is_refusing("e1", "old:1"))
        self.assertFalse(tracker.is_refusing("e1", "new:1"))

    def test_inconclusive_probes_grow_rarer(self) -> None:
        """With inconclusive probes, each refusal excludes an upstream for longer."""
        tracker = RefusalTracker()
        now_ms, pauses = 0, []
        for _ in range(4):
            tracker.record_refusal("e1", "a:1", now_ms)
            since_ms = now_ms
            while tracker.is_refusing("e1", "a:1"):
                now_ms += 1_000
                for key in tracker.pop_due(now_ms):
                    tracker.record_probe(*key, ProbeResult.UNREPORTED, now_ms)
            pauses.append(now_ms - since_ms)
        self.assertGreaterEqual(pauses[0], 60_000)
        for early, late in itertools.pairwise(pauses):
            self.assertGreater(late, 1.5 * early)

    def test_one_that_left_the_list_is_forgotten(self) -> None:
        """An upstream that is no longer listed is removed from the tracker."""
        tracker = RefusalTracker()
        tracker.record_refusal("e1", "a:1", 0)
        tracker.retain([("e2", "b:1")], 1)
        self.assertEqual((), tracker.snapshot())

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2), st.sampled_from(["refused", "well"]), st.booleans()
            ),
            max_size=30,
        )
    )
    def test_all_agree_in_the_end(self, steps: list[tuple[int, str, bool]]) -> None:
        """Trackers that exchanged their states agree, whatever each observed."""
        trackers = [RefusalTracker() for _ in range(3)]
        for index, what, is_shared in steps:
            if what == "refused":
                trackers[index].record_refusal("e1", "a:1", 0)
            else:
                trackers[index].record_probe("e1", "a:1", ProbeResult.HEALTHY, 0)
            if is_shared:
                trackers[(index + 1) % 3].merge(trackers[index].snapshot(), 0)
        for _ in range(2):
            for tracker in trackers:
                for other in trackers:
                    tracker.merge(other.snapshot(), 0)
        self.assertEqual(1, len({tracker.snapshot() for tracker in trackers}))
