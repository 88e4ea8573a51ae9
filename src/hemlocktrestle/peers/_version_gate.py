"""The port by which a scheduler asks which versions of its upstreams may be used."""

from collections.abc import Iterable
from typing import NamedTuple, Protocol

from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.wire import Ask, Pulse, Release


class UsableUpstreams(NamedTuple):
    """Upstreams that take work, some of them reserved for the canary's requests."""

    records: tuple[UpstreamRecord, ...]
    reserved: frozenset[str] = frozenset()


class PermittedAsk(NamedTuple):
    """A request that was permitted, for whom and where."""

    ask_id: str
    vm: str
    pool: str
    route: str
    upstream: str


class VersionGate(Protocol):
    """Decides which upstreams of a pool may be used, and hears how that goes."""

    def usable(self, pool: str, records: Iterable[UpstreamRecord]) -> UsableUpstreams:
        """Return the upstreams of a pool that may be used now."""
        ...

    def takes_canary(self, ask: Ask) -> bool:
        """Tell whether a request may go to a reserved upstream."""
        ...

    def on_permit(self, permitted: PermittedAsk) -> None:
        """Count a permit."""
        ...

    def on_pulse(self, pulse: Pulse) -> None:
        """Learn from the progress of a running request."""
        ...

    def on_release(self, release: Release) -> None:
        """Learn how a request ended."""
        ...

    def on_dropped(self, ask_id: str) -> None:
        """Forget a request whose end nobody reports."""
        ...

    def on_requester_disconnected(self, vm: str) -> None:
        """Forget the requests of a VM."""
        ...


class AnyVersionGate:
    """Uses all upstreams alike."""

    def usable(self, pool: str, records: Iterable[UpstreamRecord]) -> UsableUpstreams:
        """Return all upstreams."""
        return UsableUpstreams(tuple(records))

    def takes_canary(self, ask: Ask) -> bool:
        """Return ``False``: nothing is reserved."""
        return False

    def on_permit(self, permitted: PermittedAsk) -> None:
        """Ignore the permit."""

    def on_pulse(self, pulse: Pulse) -> None:
        """Ignore the progress."""

    def on_release(self, release: Release) -> None:
        """Ignore the end."""

    def on_dropped(self, ask_id: str) -> None:
        """Ignore the request."""

    def on_requester_disconnected(self, vm: str) -> None:
        """Ignore the VM."""
