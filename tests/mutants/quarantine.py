"""Mutants of the quarantine of requests that crash upstreams."""

from hemlocktrestle.daemon._crash_watch import CrashWatch
from hemlocktrestle.quarantine import Entry, QuarantineBook
from hemlocktrestle.wire import Suspicion
from tests.mutants import mutant


@mutant("quarantine.never")
def never_quarantine() -> None:
    """No number of crashes quarantines a request."""
    Entry.is_quarantined = property(lambda self: False)  # type: ignore[assignment]


@mutant("quarantine.blame_resets")
def blame_resets() -> None:
    """A connection reset counts as a crash."""
    original = CrashWatch.__init__

    class Gone:
        async def is_reachable(self, address: str) -> bool:
            return False

    def init(self: CrashWatch, **options: object) -> None:
        original(self, **options)  # type: ignore[arg-type]
        self._upstreams = Gone()  # type: ignore[assignment]

    CrashWatch.__init__ = init  # type: ignore[method-assign,assignment]


@mutant("quarantine.no_spread")
def tell_nobody() -> None:
    """Suspicions are not sent to other VMs."""

    def tell(self: CrashWatch, suspicion: Suspicion) -> None:
        return

    CrashWatch._tell = tell  # type: ignore[method-assign]


@mutant("quarantine.no_clearing")
def clear_nobody() -> None:
    """A completed request stays suspected."""

    def clear(self: QuarantineBook, fingerprint: str) -> bool:
        return False

    QuarantineBook.clear = clear  # type: ignore[method-assign]


@mutant("quarantine.one_crash")
def blame_after_one_crash() -> None:
    """One crash quarantines every request of the batch."""
    Entry.is_quarantined = property(  # type: ignore[assignment]
        lambda self: bool(self.upstreams)
    )
