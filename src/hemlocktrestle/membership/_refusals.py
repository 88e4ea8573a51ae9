"""Which upstreams refuse work, replicated between VMs without synchronized clocks."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.wire import UpstreamRefusal

PROBE_MS_MIN = 1_000
"""Time from a refusal to the first probe of the upstream, in milliseconds."""

PROBE_MS_MAX = 60_000
"""Longest time between two probes of an upstream, in milliseconds."""

EXCLUSION_MS_MIN = 60_000
"""Shortest exclusion of an upstream with inconclusive probes, in milliseconds."""

EXCLUSION_MS_MAX = 600_000
"""Longest exclusion of an upstream with inconclusive probes, in milliseconds."""

REFUSAL_MEMORY_MS = 600_000
"""Time without a refusal after which earlier ones are forgotten, in milliseconds."""


class ProbeResult(Enum):
    """What a probe of an upstream showed."""

    HEALTHY = "well"
    REFUSING = "refusing"
    UNREPORTED = "untold"


class _Entry(NamedTuple):
    """The state of one upstream, and this VM's schedule of probes of it."""

    state: UpstreamRefusal
    since_ms: float
    probe_at_ms: float
    failure_count: int


Key = tuple[str, str]


class RefusalTracker:
    """Versioned states of the upstreams that refuse or refused work.

    Merging keeps the state with the higher version, so all VMs converge however late
    or often they receive it.
    A state belongs to a name and an address: an upstream that returns under another
    address starts without one.
    """

    def __init__(self) -> None:
        self._entries: dict[Key, _Entry] = {}

    def record_refusal(self, upstream: str, address: str, now_ms: float) -> None:
        """Record that an upstream refused work."""
        known = self._entries.get((upstream, address))
        if known is not None and known.state.is_refusing:
            return
        version = known.state.version + 1 if known is not None else 1
        self._put(UpstreamRefusal(upstream, address, version, True), known, now_ms)

    def record_probe(
        self, upstream: str, address: str, result: ProbeResult, now_ms: float
    ) -> None:
        """Record the result of a probe of a refusing upstream."""
        known = self._entries.get((upstream, address))
        if known is None or not known.state.is_refusing:
            return
        is_over = now_ms - known.since_ms >= _exclusion_ms(known.failure_count)
        if result is ProbeResult.HEALTHY or (
            result is ProbeResult.UNREPORTED and is_over
        ):
            state = known.state._replace(
                version=known.state.version + 1, is_refusing=False
            )
            self._put(state, known, now_ms)

    def merge(self, states: Iterable[UpstreamRefusal], now_ms: float) -> None:
        """Merge the states known to another VM."""
        for state in states:
            known = self._entries.get((state.upstream, state.address))
            if known is None or _precedence(state) > _precedence(known.state):
                self._put(state, known, now_ms)

    def snapshot(self) -> tuple[UpstreamRefusal, ...]:
        """Return all states, to send to other VMs."""
        return tuple(entry.state for entry in self._entries.values())

    def is_refusing(self, upstream: str, address: str) -> bool:
        """Tell whether an upstream refuses work."""
        entry = self._entries.get((upstream, address))
        return entry is not None and entry.state.is_refusing

    def pop_due(self, now_ms: float) -> list[Key]:
        """Return the upstreams to probe now, and schedule their next probes."""
        found = []
        for key, entry in self._entries.items():
            if entry.state.is_refusing and entry.probe_at_ms <= now_ms:
                found.append(key)
                waited_ms = max(PROBE_MS_MIN, now_ms - entry.since_ms)
                next_ms = now_ms + min(waited_ms, PROBE_MS_MAX)
                self._entries[key] = entry._replace(probe_at_ms=next_ms)
        return found

    def retain(self, listed: Iterable[Key], now_ms: float) -> None:
        """Forget upstreams that are no longer listed or recovered long ago."""
        wanted = set(listed)
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if key in wanted
            and (
                entry.state.is_refusing or now_ms - entry.since_ms <= REFUSAL_MEMORY_MS
            )
        }

    def _put(self, state: UpstreamRefusal, known: _Entry | None, now_ms: float) -> None:
        failure_count = known.failure_count if known is not None else 0
        if state.is_refusing:
            failure_count += 1
        probe_at_ms = now_ms + (PROBE_MS_MIN << min(max(failure_count - 1, 0), 6))
        self._entries[(state.upstream, state.address)] = _Entry(
            state, now_ms, min(probe_at_ms, now_ms + PROBE_MS_MAX), failure_count
        )


def _precedence(state: UpstreamRefusal) -> tuple[int, bool]:
    """Return the precedence of a state; at equal versions a refusal wins."""
    return (state.version, state.is_refusing)


def _exclusion_ms(failure_count: int) -> float:
    doubled_ms = EXCLUSION_MS_MIN << min(failure_count - 1, 8)
    return min(doubled_ms, EXCLUSION_MS_MAX)
