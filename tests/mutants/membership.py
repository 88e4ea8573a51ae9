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
    """VMs do not take in what others know of refusing upstreams."""

    def deaf(
        self: RefusalTracker, facts: Iterable[UpstreamRefusal], now_ms: float
    ) -> None:
        return

    RefusalTracker.merge = deaf  # type: ignore[method-assign]


@mutant("membership.refusals_lapse")
def let_refusals_lapse() -> None:
    """A refusal counts for half a minute, whatever the upstream says."""
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
    """The list's word that an upstream is leaving is not heeded."""

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
    """A list that loses everything at once is believed."""

    def believed(self: ListingGuard, listing: Listing, now_ms: float) -> Listing:
        return listing

    ListingGuard.reconcile = believed  # type: ignore[method-assign]


@mutant("membership.last_vm_refuses")
def keep_nothing_while_leaving() -> None:
    """Where all VMs of a zone leave, none keeps its pools."""

    def none_left(self: Membership, zone: str, now_ms: float) -> list[str]:
        return []

    Membership._leaving_vms = none_left  # type: ignore[method-assign]


@mutant("membership.same_keeper_again")
def ask_the_same_scheduler_again() -> None:
    """A holder whose ask was sent back does not conclude that the keeper leaves."""

    def unmoved(self: Membership, vm: str) -> None:
        return

    Membership.mark_leaving = unmoved  # type: ignore[method-assign]
