"""Which upstreams refuse work themselves, agreed on by all VMs without a clock."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.wire import UpstreamRefusal

PROBE_MS_MIN = 1_000
"""Time from a refusal to the first probe of the upstream, in milliseconds."""

PROBE_MS_MAX = 60_000
"""Longest time between two probes of an upstream, in milliseconds."""

UNTOLD_MS_MIN = 60_000
"""First pause of an upstream whose probe tells nothing, in milliseconds."""

UNTOLD_MS_MAX = 600_000
"""Longest pause of an upstream whose probe tells nothing, in milliseconds."""

WELL_MS = 600_000
"""Time without a refusal after which earlier ones no longer count, in milliseconds."""


class ProbeResult(Enum):
    """What a probe of an upstream told."""

    HEALTHY = "well"
    REFUSING = "refusing"
    UNREPORTED = "untold"


class _Entry(NamedTuple):
    """One fact, and what this VM needs to know to check it."""

    fact: UpstreamRefusal
    since_ms: float
    probe_at_ms: float
    failure_count: int


Key = tuple[str, str]


class RefusalTracker:
    """Facts about upstreams that refuse work.

    A fact is numbered, and the higher number wins wherever two meet; so VMs agree
    however late or often they hear of it.  A fact belongs to a name and an address:
    an upstream that comes back under another address starts afresh.
    """

    def __init__(self) -> None:
        self._entries: dict[Key, _Entry] = {}

    def record_refusal(self, upstream: str, address: str, now_ms: float) -> None:
        """Note that an upstream refused work."""
        known = self._entries.get((upstream, address))
        if known is not None and known.fact.is_refusing:
            return
        version = known.fact.version + 1 if known is not None else 1
        self._put(UpstreamRefusal(upstream, address, version, True), known, now_ms)

    def record_probe(
        self, upstream: str, address: str, result: ProbeResult, now_ms: float
    ) -> None:
        """Take in what a probe of a refusing upstream told."""
        known = self._entries.get((upstream, address))
        if known is None or not known.fact.is_refusing:
            return
        is_over = now_ms - known.since_ms >= _untold_ms(known.failure_count)
        if result is ProbeResult.HEALTHY or (
            result is ProbeResult.UNREPORTED and is_over
        ):
            fact = known.fact._replace(
                version=known.fact.version + 1, is_refusing=False
            )
            self._put(fact, known, now_ms)

    def merge(self, facts: Iterable[UpstreamRefusal], now_ms: float) -> None:
        """Take in the facts of another VM."""
        for fact in facts:
            known = self._entries.get((fact.upstream, fact.address))
            if known is None or _order(fact) > _order(known.fact):
                self._put(fact, known, now_ms)

    def snapshot(self) -> tuple[UpstreamRefusal, ...]:
        """Return all facts, for other VMs."""
        return tuple(entry.fact for entry in self._entries.values())

    def is_refusing(self, upstream: str, address: str) -> bool:
        """Tell whether an upstream refuses work."""
        entry = self._entries.get((upstream, address))
        return entry is not None and entry.fact.is_refusing

    def pop_due(self, now_ms: float) -> list[Key]:
        """Return the upstreams to probe now, and put their next probes off."""
        found = []
        for key, entry in self._entries.items():
            if entry.fact.is_refusing and entry.probe_at_ms <= now_ms:
                found.append(key)
                waited_ms = max(PROBE_MS_MIN, now_ms - entry.since_ms)
                next_ms = now_ms + min(waited_ms, PROBE_MS_MAX)
                self._entries[key] = entry._replace(probe_at_ms=next_ms)
        return found

    def retain(self, listed: Iterable[Key], now_ms: float) -> None:
        """Forget upstreams that are no longer listed, and what is long mended."""
        wanted = set(listed)
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if key in wanted
            and (entry.fact.is_refusing or now_ms - entry.since_ms <= WELL_MS)
        }

    def _put(self, fact: UpstreamRefusal, known: _Entry | None, now_ms: float) -> None:
        failure_count = known.failure_count if known is not None else 0
        if fact.is_refusing:
            failure_count += 1
        probe_at_ms = now_ms + (PROBE_MS_MIN << min(max(failure_count - 1, 0), 6))
        self._entries[(fact.upstream, fact.address)] = _Entry(
            fact, now_ms, min(probe_at_ms, now_ms + PROBE_MS_MAX), failure_count
        )


def _order(fact: UpstreamRefusal) -> tuple[int, bool]:
    """Return the rank of a fact; at equal numbers a refusal wins."""
    return (fact.version, fact.is_refusing)


def _untold_ms(failure_count: int) -> float:
    doubled_ms = UNTOLD_MS_MIN << min(failure_count - 1, 8)
    return min(doubled_ms, UNTOLD_MS_MAX)
