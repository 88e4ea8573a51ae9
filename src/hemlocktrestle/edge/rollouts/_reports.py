"""What the VMs report to the leader of an order."""

from collections.abc import Iterable
from typing import NamedTuple

from hemlocktrestle.rollout import Order, Phase, Tallies, Tally, TallyKey, merged
from hemlocktrestle.wire import RolloutReport

FRESH_MS = 1_500.0
"""Age up to which a report counts: a few of the leader's rounds."""


class Received(NamedTuple):
    """A report, and when it came."""

    report: RolloutReport
    received_ms: float


class Confirmation(NamedTuple):
    """Whether the old version is unused.

    Args:
        is_unused: whether all VMs that were heard lately say so.
        unheard_count: VMs that were not heard lately.
    """

    is_unused: bool
    unheard_count: int


class Reports:
    """The last report of each VM on one order."""

    def __init__(self, order: Order) -> None:
        self._order = order
        self._by_vm: dict[str, Received] = {}

    def record(self, vm: str, report: RolloutReport, now_ms: float) -> None:
        """Record a report; one on another order is ignored."""
        if Order(report.service, report.target, report.duration_ms) == self._order:
            self._by_vm[vm] = Received(report, now_ms)

    @property
    def is_bad(self) -> bool:
        """Whether any VM has found the target bad."""
        bad = {Phase.STOPPED.value, Phase.ROLLED_BACK.value}
        return any(found.report.phase in bad for found in self._by_vm.values())

    @property
    def elapsed_ms(self) -> float:
        """Longest time since the order that any VM has stated."""
        return max(
            (found.report.elapsed_ms for found in self._by_vm.values()), default=0.0
        )

    @property
    def drain_ms(self) -> float:
        """Time in which requests at the old version usually end."""
        return max(
            (float(found.report.drain_ms) for found in self._by_vm.values()),
            default=0.0,
        )

    def tallies(self) -> Tallies:
        """Return the sum of all counts."""
        return merged(
            {
                TallyKey(*found[:3]): Tally(*found[3:])
                for found in received.report.tallies
            }
            for received in self._by_vm.values()
        )

    def confirmation(self, vms: Iterable[str], now_ms: float) -> Confirmation:
        """Return whether VMs confirm that they use the old version no more."""
        heard = {
            vm: received.report
            for vm, received in self._by_vm.items()
            if now_ms - received.received_ms <= FRESH_MS
        }
        is_unused = all(
            report.phase == Phase.SHIFTING.value and not report.old_count
            for report in heard.values()
        )
        return Confirmation(bool(heard) and is_unused, len(set(vms) - heard.keys()))
