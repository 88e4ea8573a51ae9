"""Tests of how many bytes may go over a link."""

from testtools import TestCase

from hemlocktrestle.locality import LinkRoom
from hemlocktrestle.locality._link_room import BURST_MS, RATE_MIN_BYTES_PER_MS

FLOOR_MS = 40.0
FULL_MS = 200.0


class LinkRoomTests(TestCase):
    """The budget of a link follows its delay, and favours the high tier."""

    def filled(self, sent_bytes: int) -> LinkRoom:
        """Return the room of a link that was full while this VM sent."""
        room = LinkRoom(0.0)
        room.spend(sent_bytes)
        room.observe(round_trip_ms=FULL_MS, floor_ms=FLOOR_MS, now_ms=BURST_MS)
        return room

    def sent(self, room: LinkRoom, tier: int, now_ms: float) -> int:
        """Send requests of 1 kB until one may not leave, and return the bytes."""
        sent_bytes = 0
        while room.has_room(1_000, tier=tier, now_ms=now_ms):
            room.spend(1_000)
            sent_bytes += 1_000
        return sent_bytes

    def test_an_idle_link_bounds_nothing(self) -> None:
        """Guards against callers refused for a limit that nobody measured."""
        room = LinkRoom(0.0)
        room.spend(50_000_000)
        room.observe(round_trip_ms=FLOOR_MS, floor_ms=FLOOR_MS, now_ms=BURST_MS)
        self.assertTrue(room.has_room(10_000_000, tier=2, now_ms=BURST_MS))

    def test_a_full_link_gets_less_than_was_sent(self) -> None:
        """Guards against a link whose delay grows with each request that leaves."""
        room = self.filled(1_000_000)
        self.assertLess(room.bytes_per_ms, 1_000_000 / BURST_MS)
        after = sum(self.sent(room, 0, BURST_MS + at) for at in range(0, 2_000, 10))
        self.assertLess(after, 2 * 1_000_000)

    def test_low_leaves_room_for_high(self) -> None:
        """After the low tier has used its part, the higher ones still have theirs."""
        room = self.filled(1_000_000)
        now_ms = 2 * BURST_MS
        tiers = (9, 8, 3)
        for tier in tiers:
            room.has_room(0, tier=tier, now_ms=now_ms)
        sent = [self.sent(room, tier, now_ms) for tier in tiers]
        self.assertTrue(max(sent) - min(sent) <= 1_000 and min(sent) > 0, sent)

    def test_a_tier_that_sends_alone_has_all_the_room(self) -> None:
        """Guards against room that is kept for tiers that no caller has."""
        alone = self.sent(self.filled(1_000_000), 9, 2 * BURST_MS)
        self.assertEqual(alone, self.sent(self.filled(1_000_000), 0, 2 * BURST_MS))

    def test_one_long_upload_takes_the_room_of_later_ones(self) -> None:
        """One that is larger than any burst may leave, and is paid for afterwards."""
        room = self.filled(1_000_000)
        now_ms = 2 * BURST_MS
        self.assertTrue(room.has_room(5_000_000, tier=0, now_ms=now_ms))
        room.spend(5_000_000)
        self.assertFalse(room.has_room(100, tier=0, now_ms=now_ms + 1_000))
        self.assertGreater(room.extra_ms(5_000_000), 5_000)

    def test_room_comes_back(self) -> None:
        """Guards against a limit that one burst leaves behind for good."""
        room = self.filled(1_000_000)
        before = room.bytes_per_ms
        for number in range(2, 12):
            now_ms = number * BURST_MS
            self.sent(room, 0, now_ms)
            room.observe(round_trip_ms=FLOOR_MS, floor_ms=FLOOR_MS, now_ms=now_ms)
        self.assertGreater(room.bytes_per_ms, 4 * before)

    def test_a_slow_reply_alone_is_no_full_link(self) -> None:
        """Guards against a busy scheduler that is taken for a link without room."""
        room = LinkRoom(0.0)
        room.spend(RATE_MIN_BYTES_PER_MS * BURST_MS / 2)
        room.observe(round_trip_ms=FULL_MS, floor_ms=FLOOR_MS, now_ms=BURST_MS)
        self.assertTrue(room.has_room(10_000_000, tier=2, now_ms=BURST_MS))

    def test_what_was_not_sent_is_given_back(self) -> None:
        """Guards against requests that failed before they left and use up the room."""
        room = self.filled(1_000_000)
        sent = self.sent(room, 0, 2 * BURST_MS)
        room.spend(-sent)
        self.assertEqual(sent, self.sent(room, 0, 2 * BURST_MS))
