"""Mutants of membership."""

from collections.abc import Iterable

from hemlocktrestle.membership import (
    Listing,
    ListingGuard,
    Membership,
    RefusalTracker,
    UpstreamRecord,
)
from hemlocktrestle.wire import UpstreamRefusal
from tests.mutants import mutant

OLD_PAUSE_MS = 30_000


@mutant("membership.refusals_not_shared")
def keep_refusals_to_oneself() -> None:
    """VMs ignore the states of refusing upstreams that others report."""

    def deaf(
        self: RefusalTracker, states: Iterable[UpstreamRefusal], now_ms: float
    ) -> None:
        return

    RefusalTracker.merge = deaf  # type: ignore[method-assign]


@mutant("membership.refusals_lapse")
def let_refusals_lapse() -> None:
    """A refusal expires after half a minute, whatever the probes show."""
    original = RefusalTracker.pop_due

    def lapsing(self: RefusalTracker, now_ms: float) -> list[tuple[str, str]]:
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if now_ms - entry.since_ms < OLD_PAUSE_MS
        }
        return original(self, now_ms)

    RefusalTracker.pop_due = lapsing  # type: ignore[method-assign]


@mutant("membership.leaving_ignored")
def ignore_leaving() -> None:
    """The list's mark that an upstream is leaving is ignored."""

    def all_of_pool(
        self: Membership, pool: str, domain: str, now_ms: float
    ) -> tuple[UpstreamRecord, ...]:
        return tuple(
            record
            for record in self.all_upstreams()
            if pool in record.pools and record.zone == domain
        )

    Membership.upstreams = all_of_pool  # type: ignore[method-assign]


@mutant("membership.list_believed")
def believe_any_list() -> None:
    """A list that loses all entries at once is applied as it is."""

    def believed(self: ListingGuard, listing: Listing, now_ms: float) -> Listing:
        return listing

    ListingGuard.reconcile = believed  # type: ignore[method-assign]


@mutant("membership.last_vm_refuses")
def keep_nothing_while_leaving() -> None:
    """If all VMs of a zone are leaving, none schedules its pools."""

    def none_left(self: Membership, zone: str, now_ms: float) -> list[str]:
        return []

    Membership._leaving_vms = none_left  # type: ignore[method-assign]


@mutant("membership.same_keeper_again")
def ask_the_same_scheduler_again() -> None:
    """A refusal by a leaving scheduler does not mark that VM as leaving."""

    def unmoved(self: Membership, vm: str) -> None:
        return

    Membership.mark_leaving = unmoved  # type: ignore[method-assign]
