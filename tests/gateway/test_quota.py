"""Tests of quotas that all VMs share."""

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
CHECKED = (QUOTA.rate_per_s * 8 + QUOTA.burst) * (1 + QUOTA.over) + QUOTA.slack
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


class FleetOfBooks:
    """VMs that tell each other of their demand twice a second.

    Args:
        count: how many there are.
        are_keepers: whether each is the keeper of an area of its own.
    """

    def __init__(self, count: int, *, are_schedulers: bool = False) -> None:
        self.are_schedulers = are_schedulers
        self.books = [QuotaTracker(LONG_AGO_MS) for _ in range(count)]
        self.views = [
            FleetDemand(f"v{number}", f"a{number}" if are_schedulers else "area")
            for number in range(count)
        ]
        self.spends: list[tuple[float, float]] = []

    def exchange(self, now_ms: float, *, cut: int = -1) -> None:
        """Let each VM hear the others, but for one that is cut off."""
        for number, view in enumerate(self.views):
            for other, book in enumerate(self.books):
                if other == number or cut in {number, other}:
                    continue
                told = book.demands(now_ms)
                if self.are_schedulers:
                    view.record_domain_demand(f"a{other}", 1, told, now_ms)
                else:
                    view.record_vm_demand(f"v{other}", told, now_ms)

    def ask(self, number: int, amount: float, now_ms: float) -> bool:
        """Ask one VM to spend; returns whether it did."""
        book = self.books[number]
        fleet = self.views[number].snapshot(
            book.demands(now_ms),
            is_scheduler=self.are_schedulers,
            vm_count=len(self.books),
            now_ms=now_ms,
        )
        wait_ms = book.admit("c", QUOTA, amount=amount, fleet=fleet, now_ms=now_ms)
        if wait_ms is None:
            self.spends.append((now_ms, amount))
        return wait_ms is None


class QuotaTests(TestCase):
    """No window holds more than the quota and its tolerance, on any set of VMs."""

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
        """However a flood is spread over the VMs, keepers or not."""
        fleet = FleetOfBooks(vm_count, are_schedulers=are_schedulers)
        for step in range(20 * per_s):
            now_ms = step * 1000 / per_s
            if step % max(1, per_s // 2) == 0:
                fleet.exchange(now_ms)
            fleet.ask(step // skew % vm_count, amount, now_ms)
        self.assertTrue(most_in_window(fleet.spends) <= CHECKED, CHECKED)

    def test_what_is_within_the_quota_is_never_refused(self) -> None:
        """Requests of uneven size, at six tenths of the quota, on uneven VMs."""
        fleet = FleetOfBooks(3)
        refused = 0
        for step in range(600):
            now_ms = step * 50.0
            if step % 10 == 0:
                fleet.exchange(now_ms)
            amount = 90.0 if step % 6 == 0 else 18.0
            refused += not fleet.ask((step * step) % 3, amount, now_ms)
        self.assertEqual(0, refused)

    def test_a_vm_that_is_cut_off_spends_its_part_by_head_only(self) -> None:
        """The others leave that part to it, so the sum holds."""
        fleet = FleetOfBooks(3)
        for step in range(800):
            now_ms = step * 25.0
            if step % 20 == 0:
                fleet.exchange(now_ms, cut=2 if now_ms > 4_000 else -1)
            fleet.ask(step % 3, 60.0, now_ms)
        self.assertTrue(most_in_window(fleet.spends) <= CHECKED)

    def test_a_new_scheduler_serves_calm_customers_at_once(self) -> None:
        """What the other area asks for leaves enough for what comes here now."""
        fleet = FleetOfBooks(2, are_schedulers=True)
        for step in range(80):
            if step % 10 == 0:
                fleet.exchange(step * 50.0)
            self.assertTrue(fleet.ask(0, 25.0, step * 50.0))
        passed = [fleet.ask(1, 25.0, 4_000 + step * 50.0) for step in range(20)]
        self.assertTrue(all(passed))

    def test_a_refusal_says_when_to_come_again(self) -> None:
        """After that time the request passes."""
        book = QuotaTracker(LONG_AGO_MS)
        for _ in range(40):
            book.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=0)
        wait_ms = book.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=100)
        self.assertIsNotNone(wait_ms)
        assert wait_ms is not None
        later_ms = 101 + wait_ms
        self.assertIsNone(
            book.admit("c", QUOTA, amount=500, fleet=ALONE, now_ms=later_ms)
        )


class RestartTests(TestCase):
    """What the process before may have spent counts."""

    def spent_at_once(
        self, book: QuotaTracker, fleet: FleetSnapshot, now_ms: float
    ) -> float:
        """Ask for far too much at one moment and return what passed."""
        passed = 0.0
        for _ in range(400):
            if book.admit("c", QUOTA, amount=50, fleet=fleet, now_ms=now_ms) is None:
                passed += 50
        return passed

    def test_a_new_process_spends_nothing_at_first(self) -> None:
        """Its part of the window may be gone."""
        self.assertEqual(
            0, self.spent_at_once(QuotaTracker(0.0), FleetSnapshot(4, 1, {}), 0.0)
        )

    def test_its_part_comes_back_with_the_window(self) -> None:
        """Half a window later, half of it; after the window, all."""
        half = self.spent_at_once(QuotaTracker(0.0), ALONE, 4_000)
        whole = self.spent_at_once(QuotaTracker(0.0), ALONE, 8_000)
        self.assertTrue(abs(half - QUOTA.limit / 2) <= 50, half)
        self.assertTrue(abs(whole - QUOTA.limit) <= 50, whole)

    def test_the_youth_of_others_counts_too(self) -> None:
        """All VMs were killed at once, and this one asks for everything."""
        others = {"c": Demand("c", 0.0, 0.0)}
        calm = self.spent_at_once(
            QuotaTracker(LONG_AGO_MS), FleetSnapshot(2, 2, others), 0.0
        )
        young = FleetSnapshot(2, 2, others, 1.0)
        spent = self.spent_at_once(QuotaTracker(LONG_AGO_MS), young, 0.0)
        self.assertTrue(abs(spent - calm / 2) <= 50, (calm, spent))


class FleetDemandTests(TestCase):
    """A keeper sums up its area; the others take the sum without their own part."""

    def test_a_vm_hears_of_the_rest_through_its_scheduler(self) -> None:
        """The keeper's sum holds this VM's own demand, which is taken off."""
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
        """Each area counts once, by its keeper."""
        view = FleetDemand("v", "here")
        view.record_domain_demand("there", 3, (Demand("c", 7, 70),), 0)
        fleet = view.snapshot((), is_scheduler=True, vm_count=4, now_ms=10)
        self.assertEqual((4, {"c": Demand("c", 7, 70)}), fleet[1:3])

    def test_old_news_does_not_count(self) -> None:
        """A VM that fell silent is no longer heard."""
        view = FleetDemand("v", "here")
        view.record_vm_demand("w", (Demand("c", 7, 70),), 0)
        fleet = view.snapshot((), is_scheduler=True, vm_count=2, now_ms=5_000)
        self.assertEqual((1, {}), fleet[1:3])


class OneCustomerTests(TestCase):
    """Demand for one customer is what it is among that of all."""

    def test_one_customer_is_summed_up_alone(self) -> None:
        """For a keeper, and for a VM that hears one."""
        for is_scheduler in (True, False):
            demand = FleetDemand("v1", "north")
            for number in range(3):
                heard = [Demand("a", number, 10.0), Demand("b", 5.0, 7.0)]
                demand.record_vm_demand(f"v{number + 2}", heard, 0.0)
            demand.record_domain_demand("south", 4, [Demand("a", 9.0, 90.0)], 0.0)
            demand.record_domain_demand("north", 4, [Demand("b", 8.0, 80.0)], 0.0)
            own = (Demand("a", 1.0, 2.0), Demand("b", 1.0, 2.0))
            for customer in ("a", "b"):
                known = {"is_scheduler": is_scheduler, "vm_count": 8, "now_ms": 1.0}
                whole = demand.snapshot(own, **known)  # type: ignore[arg-type]
                one = demand.snapshot(own, customer=customer, **known)  # type: ignore[arg-type]
                self.assertEqual(whole.demands.get(customer), one.demands.get(customer))
                self.assertEqual(whole._replace(demands={}), one._replace(demands={}))
