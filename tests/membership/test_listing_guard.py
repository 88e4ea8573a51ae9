"""Tests of the guard against lists that lose most entries at once."""

from testtools import TestCase

from hemlocktrestle.membership import (
    MASS_LOSS_RETENTION_MS,
    Listing,
    ListingGuard,
    UpstreamRecord,
    VmRecord,
)


def listing(*names: str, leaving: tuple[str, ...] = (), vms: int = 2) -> Listing:
    """Return a listing of upstreams and VMs."""
    return Listing(
        tuple(VmRecord(f"v{n}", "z", "r", f"v{n}:1", False) for n in range(vms)),
        tuple(
            UpstreamRecord(name, "z", "r", "a:1", "engine", (), "g", name in leaving)
            for name in names
        ),
    )


def names(believed: Listing) -> list[str]:
    """Return the names of the upstreams in a listing."""
    return sorted(record.name for record in believed.upstreams)


class ListingGuardTests(TestCase):
    """Listed entries apply at once; a mass loss of entries only after a time."""

    def test_one_that_vanishes_is_gone(self) -> None:
        """A single missing entry is removed at once."""
        guard = ListingGuard()
        guard.reconcile(listing("a", "b", "c"), 0)
        self.assertEqual(["a", "b"], names(guard.reconcile(listing("a", "b"), 1)))

    def test_a_mass_that_vanishes_is_kept_for_a_time(self) -> None:
        """The entries of an emptied list are retained for a time, then removed."""
        guard = ListingGuard()
        guard.reconcile(listing("a", "b", "c"), 0)
        empty = Listing((), ())
        for now_ms in (1, MASS_LOSS_RETENTION_MS):
            kept = guard.reconcile(empty, now_ms)
            self.assertEqual(["a", "b", "c"], names(kept))
            self.assertEqual(2, len(kept.vms))
        self.assertEqual(("a", "b", "c", "v0", "v1"), guard.doubted)
        self.assertEqual([], names(guard.reconcile(empty, MASS_LOSS_RETENTION_MS + 2)))

    def test_listed_entries_apply_despite_a_mass_loss(self) -> None:
        """New and leaving entries of an answer with a mass loss apply at once."""
        guard = ListingGuard()
        guard.reconcile(listing("a", "b", "c"), 0)
        kept = guard.reconcile(listing("a", "new", leaving=("a",)), 1)
        self.assertEqual(["a", "b", "c", "new"], names(kept))
        self.assertTrue(kept.upstreams[0].is_leaving)

    def test_announced_leaving_is_no_mass(self) -> None:
        """Entries that were marked as leaving are removed, however many vanish."""
        guard = ListingGuard()
        guard.reconcile(listing("a", "b", "c", leaving=("a", "b")), 0)
        self.assertEqual(["c"], names(guard.reconcile(listing("c"), 1)))

    def test_entries_that_come_back_are_no_longer_doubted(self) -> None:
        """Entries that are listed again are no longer counted as missing."""
        guard = ListingGuard()
        guard.reconcile(listing("a", "b", "c"), 0)
        guard.reconcile(Listing((), ()), 1)
        guard.reconcile(listing("a", "b", "c"), 2)
        self.assertEqual((), guard.doubted)
        self.assertEqual(["a", "b"], names(guard.reconcile(listing("a", "b"), 3)))
