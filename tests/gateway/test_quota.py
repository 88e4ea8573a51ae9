"""Tests of quotas that are enforced over all VMs."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from hemlocktrestle.gateway import (
    Demand,
    FleetDemand,
    FleetSnapshot,
    Quota,
    QuotaTracker,
)

QUOTA = Quota(rate_per_s=1_000, burst=500, window_ms=8_000, over=0.1, slack=2_000)
STATED = QUOTA.rate_per_s * 8 + QUOTA.burst
"""What the operator grants in one window."""

CHECKED = STATED * (1 + QUOTA.over) + QUOTA.slack
"""What the platform tolerates in one window."""

ALONE = FleetSnapshot(1, 1, {})
LONG_AGO_MS = -100_000.0


def most_in_window(spends: list[tuple[float, float]]) -> float:
    """Return the most that was spent in any window."""
    return max(
        (
            sum(amount for at, amount in spends if start <= at < start + 8_000)
            for start, _ in spends
        ),
        default=0.0,
    )


class FleetOfTrackers:
    """VMs that report their demand to each other twice a second.

    Args:
        count: number of VMs.
        are_schedulers: whether each is the scheduler of a domain of its own.
    """

    def __init__(self, count: int, *, are_schedulers: bool = False) -> None:
        self.are_schedulers = are_schedulers
        self.trackers = [QuotaTracker(LONG_AGO_MS) for _ in range(count)]
        self.views = [
            FleetDemand(f"v{number}", f"a{number}" if are_schedulers else "area")
            for number in range(count)
        ]
        self.spends: list[tuple[float, float]] = []

    def exchange(self, now_ms: float, *, cut: int = -1) -> None:
        """Report between all VMs, except one that is cut off."""
        for number, view in enumerate(self.views):
            for other, tracker in enumerate(self.trackers):
                if other == number or cut in {number, other}:
                    continue
                reported = tracker.demands(now_ms)
                if self.are_schedulers:
                    view.record_domain_demand(f"a{other}", 1, reported, now_ms)
                else:
                    view.record_vm_demand(f"v{other}", reported, now_ms)

    def spend(self, number: int, amount: float, now_ms: float) -> bool:
        """Spend on one VM, and return whether it was admitted."""
        tracker = self.trackers[number]
        fleet = self.views[number].snapshot(
            tracker.demands(now_ms),
            is_scheduler=self.are_schedulers,
            vm_count=len(self.trackers),
            now_ms=now_ms,
        )
        wait_ms = tracker.admit("c", QUOTA, amount=amount, fleet=fleet, now_ms=now_ms)
        if wait_ms is None:
            self.spends.append((now_ms, amount))
        return wait_ms is None


class QuotaTests(TestCase):
    """No window exceeds the quota and its tolerance, on any set of VMs."""

    @settings(max_examples=30, deadline=None)
    @given(
        vm_count=st.integers(1, 6),
        per_s=st.integers(2, 40),
        amount=st.integers(20, 900),
        skew=st.integers(1, 4),
        are_schedulers=st.booleans(),
    )
    def test_all_vms_together_keep_to_it(
        self, vm_count: int, per_s: int, amount: int, skew: int, are_schedulers: bool
    ) -> None:
        """All VMs together stay within the tolerance, however load is distributed."""
        fleet = FleetOfTrackers(vm_count, are_schedulers=are_schedulers)
        for step in range(20 * per_s):
            now_ms = step * 1000 / per_s
            if step % max(1, per_s // 2) == 0:
                fleet.exchange(now_ms)
            fleet.spend(step // skew % vm_count, amount, now_ms)
        self.assertTrue(most_in_window(fleet.spends) <= CHECKED, CHECKED)

    def test_nobody_gets_more_because_an_excess_is_tolerated(self) -> None:
        """Guards against a customer that takes the slots of others.

        The platform tolerates an excess for what VMs cannot know yet.
        """
        for vm_count, are_schedulers in ((1, False), (2, True), (4, False)):
            fleet = FleetOfTrackers(vm_count, are_schedulers=are_schedulers)
            for step in range(2_000):
                now_ms = step * 10.0
                if step % 50 == 0:
                    fleet.exchange(now_ms)
                fleet.spend(step % vm_count, 20.0, now_ms)
            steady = [spend for spend in fleet.spends if spend[0] >= 8_000]
            unreported = 0.0 if vm_count == 1 else STATED * 0.1
            self.assertTrue(
                most_in_window(steady) <= STATED + unreported,
                (vm_count, most_in_window(steady)),
            )

    def test_what_is_within_the_quota_is_never_refused(self) -> None:
        """Uneven load at 60% of the quota is never refused."""
        fleet = FleetOfTrackers(3)
        refused = 0
        for step in range(600):
            now_ms = step * 50.0
            if step % 10 == 0:
                fleet.exchange(now_ms)
            amount = 90.0 if step % 6 == 0 else 18.0
            refused += not fleet.spend((step * step) % 3, amount, now_ms)
        self.assertEqual(0, refused)

    def test_a_vm_that_is_cut_off_spends_its_equal_part_only(self) -> None:
        """A VM that is cut off spends only its equal part, which the others leave."""
        fleet = FleetOfTrackers(3)
        for step in range(800):
            now_ms = step * 25.0
            if step % 20 == 0:
                fleet.exchange(now_ms, cut=2 if now_ms > 4_000 else -1)
            fleet.spend(step % 3, 60.0, now_ms)
        self.assertTrue(most_in_window(fleet.spends) <= CHECKED)

    def test_a_new_scheduler_serves_calm_customers_at_once(self) -> None:
        """The demand of another domain leaves enough for new demand of this one."""
        fleet = FleetOfTrackers(2, are_schedulers=True)
        for step in range(80):
            if step % 10 == 0:
                fleet.exchange(step * 50.0)
            self.assertTrue(fleet.spend(0, 25.0, step * 50.0))
        passed = [fleet.spend(1, 25.0, 4_000 + step * 50.0) for step in range(20)]
        self.assertTrue(all(passed))

    def test_a_refusal_for_the_part_says_when_the_next_one_comes(self) -> None:
        """Guards against a caller that stays away for a window of 8 s.

        The quota has room; this VM has spent its part of it until the next update.
        """
        tracker = QuotaTracker(LONG_AGO_MS)
        fleet = FleetSnapshot(2, 2, {}, domain_count=2)
        for now_ms in (0.0, 100.0):
            wait_ms = tracker.admit(
                "c", QUOTA, amount=4_000, fleet=fleet, now_ms=now_ms
            )
        self.assertEqual(900, wait_ms)

    def test_a_refusal_says_when_to_come_again(self) -> None:
        """A request is admitted after the wait that its refusal stated."""
        tracker = QuotaTracker(LONG_AGO_MS)
        for _ in range(40):
            tracker.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=0)
        wait_ms = tracker.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=100)
        self.assertIsNotNone(wait_ms)
        assert wait_ms is not None
        later_ms = 101 + wait_ms
        self.assertIsNone(
            tracker.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=later_ms)
        )


class RestartTests(TestCase):
    """What the previous process may have spent counts."""

    def spent_at_once(
        self, tracker: QuotaTracker, fleet: FleetSnapshot, now_ms: float
    ) -> float:
        """Ask for far more than the quota at once, and return what was admitted."""
        passed = 0.0
        for _ in range(400):
            if tracker.admit("c", QUOTA, amount=50, fleet=fleet, now_ms=now_ms) is None:
                passed += 50
        return passed

    def test_a_new_process_spends_nothing_at_first(self) -> None:
        """A new process assumes that its part of the window was spent."""
        self.assertEqual(
            0, self.spent_at_once(QuotaTracker(0.0), FleetSnapshot(4, 1, {}), 0.0)
        )

    def test_its_part_comes_back_with_the_window(self) -> None:
        """Half a window later half of the part is available, after it all."""
        half = self.spent_at_once(QuotaTracker(0.0), ALONE, 4_000)
        whole = self.spent_at_once(QuotaTracker(0.0), ALONE, 8_000)
        self.assertTrue(abs(half - QUOTA.limit / 2) <= 50, half)
        self.assertTrue(abs(whole - QUOTA.limit) <= 50, whole)

    def test_startup_shares_of_others_count_too(self) -> None:
        """The startup shares of other VMs reduce what this one may spend."""
        others = {"c": Demand("c", 0.0, 0.0)}
        calm = self.spent_at_once(
            QuotaTracker(LONG_AGO_MS), FleetSnapshot(2, 2, others), 0.0
        )
        restarted = FleetSnapshot(2, 2, others, 1.0)
        spent = self.spent_at_once(QuotaTracker(LONG_AGO_MS), restarted, 0.0)
        self.assertTrue(abs(spent - calm / 2) <= 50, (calm, spent))


class FleetDemandTests(TestCase):
    """A scheduler sums its domain; other VMs subtract their own demand from it."""

    def test_a_vm_hears_of_the_rest_through_its_scheduler(self) -> None:
        """The scheduler's sum includes this VM's own demand, which is subtracted."""
        own = (Demand("c", 10, 100),)
        scheduler = FleetDemand("k", "area")
        scheduler.record_vm_demand("v", own, 0)
        count, total = scheduler.domain_demand((Demand("c", 5, 50),), 0)
        self.assertEqual((2, (Demand("c", 15, 150),)), (count, total))
        requester = FleetDemand("v", "area")
        requester.record_domain_demand("area", count, total, 0)
        fleet = requester.snapshot(own, is_scheduler=False, vm_count=3, now_ms=10)
        self.assertEqual({"c": Demand("c", 5, 50)}, fleet.demands)
        self.assertEqual((3, 2), (fleet.vm_count, fleet.reporting_count))

    def test_other_domains_add_up(self) -> None:
        """Each domain counts once, as its scheduler reports it."""
        view = FleetDemand("v", "here")
        view.record_domain_demand("there", 3, (Demand("c", 7, 70),), 0)
        fleet = view.snapshot((), is_scheduler=True, vm_count=4, now_ms=10)
        self.assertEqual((4, {"c": Demand("c", 7, 70)}), fleet[1:3])

    def test_old_reports_do_not_count(self) -> None:
        """The demand of a VM without recent reports does not count."""
        view = FleetDemand("v", "here")
        view.record_vm_demand("w", (Demand("c", 7, 70),), 0)
        fleet = view.snapshot((), is_scheduler=True, vm_count=2, now_ms=5_000)
        self.assertEqual((1, {}), fleet[1:3])


class OneCustomerTests(TestCase):
    """The demand of one customer is the same alone as among all."""

    def test_one_customer_is_summed_up_alone(self) -> None:
        """It is equal on a scheduler and on a VM that gets its reports."""
        for is_scheduler in (True, False):
            demand = FleetDemand("v1", "north")
            for number in range(3):
                reported = [Demand("a", number, 10.0), Demand("b", 5.0, 7.0)]
                demand.record_vm_demand(f"v{number + 2}", reported, 0.0)
            demand.record_domain_demand("south", 4, [Demand("a", 9.0, 90.0)], 0.0)
            demand.record_domain_demand("north", 4, [Demand("b", 8.0, 80.0)], 0.0)
            own = (Demand("a", 1.0, 2.0), Demand("b", 1.0, 2.0))
            for customer in ("a", "b"):
                known = {"is_scheduler": is_scheduler, "vm_count": 8, "now_ms": 1.0}
                whole = demand.snapshot(own, **known)  # type: ignore[arg-type]
                one = demand.snapshot(own, customer=customer, **known)  # type: ignore[arg-type]
                self.assertEqual(whole.demands.get(customer), one.demands.get(customer))
                self.assertEqual(whole._replace(demands={}), one._replace(demands={}))
