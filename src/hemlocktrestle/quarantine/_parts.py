"""Parts of prompts that crash the upstreams that begin to answer them.

Requests with such a part need not be alike, so crashes are counted by part.  Each VM
records the same facts: a crash with the requests that it may be blamed on, and the
parts of requests that were answered.  What they lead to is derived here.

Parts that were only seen together cannot be told apart by counting.  Each set of
parts that explains the same crashes is an alternative then: a request that all of
them explain is refused, and one that only some explain may be tried.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from hemlocktrestle.quarantine._part_records import (
    PartChanges,
    PartCrash,
    QuarantinedPart,
)
from hemlocktrestle.quarantine._registry import QUARANTINE_MS, SUSPICION_MS

QUARANTINE_WEIGHT = 4
"""Weight of the crashes after which a part is quarantined."""

SOUND_QUARANTINE_WEIGHT = 8
"""Weight for a part that was in an answered request; only later crashes count."""

CERTAIN_CRASH_COUNT = 5
"""Crashes after which one part in all of them is the cause, not another in each."""

ACCUSED_MS = 60_000
"""Time after a crash for which other VMs are told that a part is sound, in ms."""

CRASHES_MAX = 256
"""Crashes that are kept, one for each request; the oldest are evicted first."""

SOUND_PARTS_MAX = 4_096
"""Parts of answered requests that are kept; the least recent are evicted first."""

QUARANTINED_MAX = 256
"""Parts that are quarantined at once; those with the most crashes come first."""


class _Suspect(NamedTuple):
    """A part with enough crashes; several of them are ranked by the first fields.

    Of parts that weigh the same, the one with the fewest crashing requests is the most
    specific one, and then the last in its prompt.
    """

    is_never_sound: bool
    weight: int
    negative_count: int
    position: int
    part: str
    crashes: tuple[PartCrash, ...]
    upstreams: frozenset[str]


class PartQuarantine:
    """Suspected, quarantined and sound parts of prompts, bounded in number."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], PartCrash] = {}
        self._sound_ms: dict[str, float] = {}
        self._accused_until_ms: dict[str, float] = {}
        self._quarantined: dict[str, QuarantinedPart] = {}
        self._suspected: dict[str, list[QuarantinedPart]] = {}

    def __len__(self) -> int:
        """Return the number of quarantined parts, including expired ones."""
        return len(self._quarantined)

    def record_crash(self, crash: PartCrash, now_ms: float) -> PartChanges | None:
        """Record that an upstream crashed while it ran a request.

        Args:
            crash: the crash; other requests may be reported for the same one.
            now_ms: the time of the process in milliseconds.

        Returns:
            What changes, or ``None`` if the crash was known or blames no part.
        """
        key = (crash.upstream, crash.fingerprint)
        known = self._crashes.get(key)
        if not crash.parts or (known is not None and known.weight >= crash.weight):
            return None
        self._expire_crashes(now_ms)
        self._crashes[key] = crash
        self._accused_until_ms |= dict.fromkeys(crash.parts, now_ms + ACCUSED_MS)
        if len(self._crashes) > CRASHES_MAX:
            del self._crashes[next(iter(self._crashes))]
        return self._derive(now_ms)

    def record_sound(
        self, parts: Iterable[str], *, at_ms: float, now_ms: float
    ) -> PartChanges:
        """Record that an upstream answered a request with these parts.

        Args:
            parts: the parts of its prompt.
            at_ms: when the answer came, by the time of the process.
            now_ms: the time of the process in milliseconds.

        Returns:
            What changes; crashes that a lifted part explained are blamed on others.
        """
        is_changed = False
        for part in parts:
            if at_ms <= self._sound_ms.get(part, float("-inf")):
                continue
            self._sound_ms.pop(part, None)
            self._sound_ms[part] = at_ms
            is_changed = is_changed or part in self._suspected
        while len(self._sound_ms) > SOUND_PARTS_MAX:
            del self._sound_ms[next(iter(self._sound_ms))]
        return self._derive(now_ms) if is_changed else PartChanges()

    def quarantined(
        self, parts: Sequence[str], now_ms: float
    ) -> QuarantinedPart | None:
        """Return the first quarantine that expects a request to crash its upstream."""
        for entry in self._entries_about(parts, now_ms):
            if entry.explains(parts) and not self._is_decisive(entry, parts):
                return entry
        return None

    def doubtful(self, parts: Sequence[str], now_ms: float) -> QuarantinedPart | None:
        """Return the first quarantine that a request with these parts would test.

        Some of its alternatives expect a crash and others do not, or its last crash
        is long past.  There is none if another quarantine expects a crash.
        """
        entries = self._entries_about(parts, now_ms)
        is_refused = any(
            entry.explains(parts)
            and not self._is_decisive(entry, parts)
            and now_ms < entry.retrial_ms
            for entry in entries
        )
        return entries[0] if entries and not is_refused else None

    def _is_decisive(self, entry: QuarantinedPart, parts: Iterable[str]) -> bool:
        """Tell whether a request would show that a part is, or is not, the cause.

        Each crash may have had a cause of its own so far, and the request has only
        sound parts beside this one.
        """
        return not entry.is_certain and all(
            part == entry.part or part in self._sound_ms for part in parts
        )

    def pop_expired(self, now_ms: float) -> tuple[QuarantinedPart, ...]:
        """Remove and return the quarantined parts that have expired."""
        expired = [
            entry for entry in self._quarantined.values() if entry.expires_ms <= now_ms
        ]
        if expired:
            for entry in expired:
                del self._quarantined[entry.part]
            self._index()
        return tuple(expired)

    def is_suspected(self, fingerprint: str) -> bool:
        """Tell whether a request ran at a crash that may be blamed on its parts.

        It may not if all of them were in answered requests since, or if a quarantined
        part of another request explains the crash.
        """
        explained = {
            crash.upstream
            for entry in self._quarantined.values()
            for crash in entry.crashes
        }
        return any(
            crash.fingerprint == fingerprint and crash.upstream not in explained
            for crashes in self._blamed(self._crashes.values()).values()
            for crash in crashes
        )

    def sound_accused(self, now_ms: float) -> dict[str, float]:
        """Return the parts accused of late that were in answered requests, and when."""
        self._accused_until_ms = {
            part: until_ms
            for part, until_ms in self._accused_until_ms.items()
            if until_ms > now_ms
        }
        return {
            part: self._sound_ms[part]
            for part in self._accused_until_ms
            if part in self._sound_ms
        }

    def crashes_to_tell(self, now_ms: float) -> tuple[PartCrash, ...]:
        """Return the crashes that still count, for a VM that may not know them.

        They blame no part that was in an answered request, unless it is quarantined:
        the other VM may know nothing of the answer.
        """
        told = []
        for crash in self._known_crashes(now_ms):
            parts = tuple(
                part
                for part in crash.parts
                if part in self._suspected or part not in self._sound_ms
            )
            if parts:
                told.append(crash._replace(parts=parts))
        return tuple(told)

    def _entries_about(
        self, parts: Iterable[str], now_ms: float
    ) -> list[QuarantinedPart]:
        """Return the quarantines in force that suspect some of the parts."""
        if not self._suspected:
            return []
        return [
            entry
            for part in parts
            for entry in self._suspected.get(part, ())
            if entry.expires_ms > now_ms
        ]

    def _index(self) -> None:
        self._suspected = {}
        for entry in self._quarantined.values():
            for part in entry.suspects:
                self._suspected.setdefault(part, []).append(entry)

    def _known_crashes(self, now_ms: float) -> tuple[PartCrash, ...]:
        """Return the crashes that still count, first those behind a quarantine."""
        found = {
            (crash.upstream, crash.fingerprint): crash
            for entry in self._quarantined.values()
            if entry.expires_ms > now_ms
            for crash in entry.crashes
        }
        found |= {
            key: crash
            for key, crash in self._crashes.items()
            if crash.at_ms + SUSPICION_MS > now_ms
        }
        return tuple(found.values())

    def _derive(self, now_ms: float) -> PartChanges:
        """Quarantine the parts that explain the crashes, the likeliest first.

        All known crashes are looked at anew, so that the VMs come to the same result
        in whatever order they learn of them.
        """
        before = self._quarantined
        blamed = self._blamed(self._known_crashes(now_ms))
        parts_at: dict[str, set[str]] = {}
        for part, found in blamed.items():
            for crash in found:
                parts_at.setdefault(crash.upstream, set()).add(part)
        suspects = {
            part: self._suspect(part, found)
            for part, found in blamed.items()
            if _is_convicting(found, self._limit_of(part))
        }
        self._quarantined = {}
        while suspects and len(self._quarantined) < QUARANTINED_MAX:
            first = max(suspects.values())
            parts = frozenset().union(*(parts_at[name] for name in first.upstreams))
            self._quarantined[first.part] = _quarantine_of(
                first,
                {
                    part: first.upstreams & {crash.upstream for crash in blamed[part]}
                    for part in parts - {first.part}
                    if first.is_never_sound == (part not in self._sound_ms)
                },
            )
            for part in parts & suspects.keys():
                # One more crash suffices for a part that may have caused others.
                unexplained = [
                    crash
                    for crash in suspects[part].crashes
                    if crash.upstream not in first.upstreams
                ]
                if unexplained:
                    suspects[part] = self._suspect(part, unexplained)
                else:
                    del suspects[part]
        self._index()
        return self._changes_since(before)

    def _suspect(self, part: str, crashes: Sequence[PartCrash]) -> _Suspect:
        return _Suspect(
            part not in self._sound_ms,
            _weight_of(crashes),
            -len(crashes),
            max(crash.parts.index(part) for crash in crashes),
            part,
            tuple(crashes),
            frozenset(crash.upstream for crash in crashes),
        )

    def _changes_since(self, before: dict[str, QuarantinedPart]) -> PartChanges:
        return PartChanges(
            tuple(
                entry
                for part, entry in self._quarantined.items()
                if part not in before or before[part].alternatives != entry.alternatives
            ),
            tuple(
                entry for part, entry in before.items() if part not in self._suspected
            ),
        )

    def _limit_of(self, part: str) -> int:
        return SOUND_QUARANTINE_WEIGHT if part in self._sound_ms else QUARANTINE_WEIGHT

    def _blamed(self, crashes: Iterable[PartCrash]) -> dict[str, list[PartCrash]]:
        """Return crashes by part, but those before an answer to a request with it."""
        blamed: dict[str, list[PartCrash]] = {}
        for crash in crashes:
            for part in crash.parts:
                if crash.at_ms > self._sound_ms.get(part, float("-inf")):
                    blamed.setdefault(part, []).append(crash)
        return blamed

    def _expire_crashes(self, now_ms: float) -> None:
        for key, crash in list(self._crashes.items()):
            if crash.at_ms + SUSPICION_MS <= now_ms:
                del self._crashes[key]


def _quarantine_of(
    first: _Suspect, companions: Mapping[str, frozenset[str]]
) -> QuarantinedPart:
    """Return the quarantine of a part, with what else may explain its crashes.

    Another part may explain all of them, or several together.

    Args:
        first: the likeliest cause.
        companions: other parts that may have caused some of its crashes, and which.
    """
    alternatives = [frozenset({first.part})]
    joint: set[str] = set()
    explained: set[str] = set()
    for part, upstreams in sorted(companions.items()):
        if upstreams == first.upstreams:
            alternatives.append(frozenset({part}))
        elif len(upstreams) > 1:
            joint.add(part)
            explained |= upstreams
    if joint:
        joint |= set() if explained == first.upstreams else {first.part}
        alternatives.append(frozenset(joint))
    at_ms = max(crash.at_ms for crash in first.crashes)
    return QuarantinedPart(
        first.part,
        first.crashes,
        at_ms + QUARANTINE_MS,
        tuple(alternatives),
        is_certain=len(first.upstreams) >= CERTAIN_CRASH_COUNT
        or frozenset().union(*companions.values()) != first.upstreams,
    )


def _weight_of(crashes: Iterable[PartCrash]) -> int:
    """Return the weight of crashes; several requests at one crash count once."""
    weights: dict[str, int] = {}
    for crash in crashes:
        weights[crash.upstream] = max(weights.get(crash.upstream, 0), crash.weight)
    return sum(weights.values())


def _is_convicting(crashes: Sequence[PartCrash], limit: int) -> bool:
    """Tell whether crashes suffice: enough of them, under requests that differ."""
    differ = len({crash.fingerprint for crash in crashes}) > 1
    return differ and _weight_of(crashes) >= limit
