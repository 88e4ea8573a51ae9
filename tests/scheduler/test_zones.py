"""Tests of the zones in which a pool's scheduler places requests."""

from collections import Counter
from collections.abc import Iterable

from testtools import TestCase

from hemlocktrestle.locality import ZoneReason
from hemlocktrestle.scheduler import PoolScheduler, policy_named
from hemlocktrestle.scheduler._upstream_set import CANDIDATE_COUNT
from hemlocktrestle.wire import Permit, Release
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of

TOKENS = 10


class ZoneTests(TestCase):
    """A request stays in its zone while its caller is served alike there."""

    def pool(self, zones: dict[str, str], *, slots: int = 8) -> PoolScheduler:
        """Return a scheduler of upstreams, given with their zones."""
        scheduler = PoolScheduler("assistant", policy=policy_named("time_left"))
        records = [
            upstream(name, zone=zone)._replace(slots=slots)
            for name, zone in zones.items()
        ]
        scheduler.set_upstreams(records, 0.0)
        return scheduler

    def place(
        self, scheduler: PoolScheduler, ask_id: str, *, zone: str = "a", tier: int = 1
    ) -> str:
        """Return the upstream that a request is granted at once, or an empty name."""
        ask = ask_of(
            ask_id,
            tier=tier,
            zone=zone,
            way_ms=8.0,
            prompt_tokens=0,
            output_tokens=TOKENS,
        )
        for sent in scheduler.enqueue("v1", ask, 0.0):
            if isinstance(sent.message, Permit):
                return sent.message.upstream
        return ""

    def teach(self, scheduler: PoolScheduler, speeds_ms: dict[str, int]) -> None:
        """Let upstreams answer requests, each in its time."""
        for number in range(40):
            for upstream_name, total_ms in speeds_ms.items():
                ask_id = f"learn{number}{upstream_name}"
                others = tuple(name for name in speeds_ms if name != upstream_name)
                ask = ask_of(ask_id, excluded=others, output_tokens=TOKENS)
                scheduler.enqueue("v1", ask, 0.0)
                release = Release(
                    ask_id,
                    "assistant",
                    upstream_name,
                    True,
                    "",
                    total_ms // 4,
                    total_ms,
                    ask.prompt_tokens,
                    TOKENS,
                )
                scheduler.release(release, 0.0)

    def placed(
        self, scheduler: PoolScheduler, numbers: Iterable[int], *, zone: str = "a"
    ) -> Counter[str]:
        """Return how many requests each upstream is granted."""
        return Counter(
            self.place(scheduler, str(number), zone=zone) for number in numbers
        )

    def test_a_quiet_zone_serves_its_own(self) -> None:
        """Guards against answers that cross zones while the own one is idle."""
        scheduler = self.pool({"u1": "a", "u2": "b", "u3": "c"})
        found = {zone: self.place(scheduler, zone, zone=zone) for zone in "cba"}
        self.assertEqual({"a": "u1", "b": "u2", "c": "u3"}, found)

    def test_the_neighbour_serves_what_a_full_zone_cannot(self) -> None:
        """Guards against a caller who waits while the next zone is idle."""
        scheduler = self.pool({"u1": "a", "u2": "b"}, slots=2)
        found = self.placed(scheduler, range(4))
        self.assertEqual({"u1": 2, "u2": 2}, found)
        self.assertEqual(1, scheduler.report_zones()[ZoneReason.NO_ROOM])

    def test_a_hot_zone_shares_its_load(self) -> None:
        """Guards against one zone's replica at its limit beside idle ones.

        The times of such answers, which have no prompt, tell nothing of the load.
        """
        scheduler = self.pool({"u1": "a", "u2": "b", "u3": "c"}, slots=8)
        found = self.placed(scheduler, range(12))
        self.assertEqual({"u1": 4, "u2": 4, "u3": 4}, found)

    def test_a_faster_replica_of_another_zone_wins(self) -> None:
        """Guards against callers who get a slow answer so that bytes stay near."""
        scheduler = self.pool({"u1": "a", "u2": "b"})
        self.teach(scheduler, {"u1": 900, "u2": 300})
        self.assertEqual("u2", self.place(scheduler, "1"))
        self.assertEqual(1, scheduler.report_zones()[ZoneReason.SOONER])

    def test_a_high_tier_leaves_a_zone_that_low_ones_fill(self) -> None:
        """Guards against a high tier that waits or is refused to save bytes."""
        scheduler = self.pool({"u1": "a", "u2": "b"}, slots=1)
        self.assertEqual("u1", self.place(scheduler, "low", tier=2))
        self.assertEqual("u2", self.place(scheduler, "high", tier=0))

    def test_the_own_zone_is_found_among_many(self) -> None:
        """Guards against a near replica that is not compared: eight others are."""
        zones = {f"u{number:02}": "b" for number in range(CANDIDATE_COUNT + 4)}
        scheduler = self.pool({**zones, "u99": "a"})
        self.assertEqual("u99", self.place(scheduler, "1"))

    def test_a_requester_without_a_zone_is_served_as_before(self) -> None:
        """Guards against daemons whose requests state no zone."""
        scheduler = self.pool({"u1": "b", "u2": "a"})
        self.assertEqual("u1", self.place(scheduler, "1", zone=""))
        self.assertEqual({}, scheduler.report_zones())
