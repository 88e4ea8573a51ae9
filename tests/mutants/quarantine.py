"""Mutants of the quarantine of requests that crash upstreams."""

from hemlocktrestle.daemon._crash_monitor import CrashMonitor
from hemlocktrestle.quarantine import QuarantineEntry, QuarantineRegistry
from hemlocktrestle.wire import Suspicion
from tests.mutants import mutant


@mutant("quarantine.never")
def never_quarantine() -> None:
    """No number of crashes stops a request."""
    QuarantineEntry.is_quarantined = property(lambda self: False)  # type: ignore[assignment]


@mutant("quarantine.blame_resets")
def blame_resets() -> None:
    """A mere reset counts as a crash."""
    original = CrashMonitor.__init__

    class Gone:
        async def is_reachable(self, address: str) -> bool:
            return False

    def init(self: CrashMonitor, **options: object) -> None:
        original(self, **options)  # type: ignore[arg-type]
        self._upstreams = Gone()  # type: ignore[assignment]

    CrashMonitor.__init__ = init  # type: ignore[method-assign,assignment]


@mutant("quarantine.no_spread")
def tell_nobody() -> None:
    """Suspicions stay with the VM that saw the crash."""

    def tell(self: CrashMonitor, suspicion: Suspicion) -> None:
        return

    CrashMonitor._broadcast = tell  # type: ignore[method-assign]


@mutant("quarantine.no_clearing")
def clear_nobody() -> None:
    """A request that ran to its end stays suspected."""

    def clear(self: QuarantineRegistry, fingerprint: str) -> bool:
        return False

    QuarantineRegistry.clear_suspicion = clear  # type: ignore[method-assign]


@mutant("quarantine.one_crash")
def blame_after_one_crash() -> None:
    """One crash puts every request of the batch in quarantine."""
    QuarantineEntry.is_quarantined = property(  # type: ignore[assignment]
        lambda self: bool(self.upstreams)
    )
