"""Parts of prompts that crash the upstreams that begin to answer them.

Requests with such a part need not be alike, so crashes are counted by part.  Each VM
records the same facts: a crash with the requests that it may be blamed on, and the
parts of requests that were answered.  What they lead to is derived here.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hemlocktrestle.quarantine._registry import QUARANTINE_MS, SUSPICION_MS

STARTED_WEIGHT = 2
"""Weight of a crash for parts of a request whose answer had begun without content."""

WAITING_WEIGHT = 1
"""Weight of a crash for the parts of a request whose answer had not begun."""

QUARANTINE_WEIGHT = 4
"""Weight of the crashes after which a part is quarantined."""

SOUND_QUARANTINE_WEIGHT = 8
"""Weight for a part that was in an answered request; only later crashes count."""

TIED_QUARANTINE_WEIGHT = 6
"""Weight from which one of several equally suspect parts is quarantined."""

ACCUSED_MS = 60_000
"""Time after a crash for which other VMs are told that a part is sound, in ms."""

CRASHES_MAX = 256
"""Crashes that are kept, one for each request; the oldest are evicted first."""

SOUND_PARTS_MAX = 4_096
"""Parts of answered requests that are kept; the least recent are evicted first."""

QUARANTINED_MAX = 256
"""Parts that are quarantined at once; those with the most crashes come first."""


class PartCrash(NamedTuple):
    """A crash of an upstream that ran a request without content in its answer yet.

    Args:
        parts: parts of the request's prompt that other requests may share, in order.
        upstream: the upstream with its incarnation; each of them crashes once.
        fingerprint: digest of the request.
        request_id: id of the request.
        is_started: whether the head of the answer had come.
        at_ms: when it was noticed, by the time of the process.
    """

    parts: tuple[str, ...]
    upstream: str
    fingerprint: str
    request_id: str
    is_started: bool
    at_ms: float

    @property
    def weight(self) -> int:
        """How much the crash counts against each of the parts."""
        return STARTED_WEIGHT if self.is_started else WAITING_WEIGHT


class QuarantinedPart(NamedTuple):
    """A part that is quarantined until ``expires_ms``, and the crashes behind it."""

    part: str
    crashes: tuple[PartCrash, ...]
    expires_ms: float


class PartChanges(NamedTuple):
    """Parts whose state a fact has changed.

    Args:
        quarantined: parts that are quarantined from now on.
        lifted: parts whose quarantine ends, because other facts explain the crashes.
    """

    quarantined: tuple[QuarantinedPart, ...] = ()
    lifted: tuple[QuarantinedPart, ...] = ()


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

    def is_tied(self, other: "_Suspect") -> bool:
        """Tell whether another part that weighs the same was in other requests."""
        return other[:2] == self[:2] and not set(self.crashes) <= set(other.crashes)


class PartQuarantine:
    """Suspected, quarantined and sound parts of prompts, bounded in number."""

    def __init__(self) -> None:
        self._crashes: dict[tuple[str, str], PartCrash] = {}
        self._sound_ms: dict[str, float] = {}
        self._accused_until_ms: dict[str, float] = {}
        self._quarantined: dict[str, QuarantinedPart] = {}

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
            is_changed = is_changed or part in self._quarantined
        while len(self._sound_ms) > SOUND_PARTS_MAX:
            del self._sound_ms[next(iter(self._sound_ms))]
        return self._derive(now_ms) if is_changed else PartChanges()

    def quarantined(
        self, parts: Iterable[str], now_ms: float
    ) -> QuarantinedPart | None:
        """Return the first quarantined part among some, unless it has expired."""
        if not self._quarantined:
            return None
        for part in parts:
            entry = self._quarantined.get(part)
            if entry is not None and entry.expires_ms > now_ms:
                return entry
        return None

    def pop_expired(self, now_ms: float) -> tuple[QuarantinedPart, ...]:
        """Remove and return the quarantined parts that have expired."""
        expired = [
            entry for entry in self._quarantined.values() if entry.expires_ms <= now_ms
        ]
        for entry in expired:
            del self._quarantined[entry.part]
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
                if part in self._quarantined or part not in self._sound_ms
            )
            if parts:
                told.append(crash._replace(parts=parts))
        return tuple(told)

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
        """Quarantine the parts that explain the crashes, one by one.

        All known crashes are looked at anew, so that the VMs come to the same result
        in whatever order they learn of them.
        """
        before = self._quarantined
        unexplained = self._known_crashes(now_ms)
        self._quarantined = {}
        while (
            len(self._quarantined) < QUARANTINED_MAX
            and (suspect := self._next_suspect(unexplained)) is not None
        ):
            part, crashes = suspect.part, suspect.crashes
            known = before.get(part)
            expires_ms = known.expires_ms if known else now_ms + QUARANTINE_MS
            self._quarantined[part] = QuarantinedPart(part, crashes, expires_ms)
            upstreams = {crash.upstream for crash in crashes}
            unexplained = tuple(
                crash for crash in unexplained if crash.upstream not in upstreams
            )
        return PartChanges(
            tuple(
                self._quarantined[part] for part in self._quarantined.keys() - before
            ),
            tuple(before[part] for part in before.keys() - self._quarantined),
        )

    def _next_suspect(self, crashes: Iterable[PartCrash]) -> _Suspect | None:
        """Return the part that is to be quarantined next.

        If parts of different requests are equally suspect, one more crash decides.
        """
        suspects = [
            _Suspect(
                part not in self._sound_ms,
                _weight_of(found),
                -len(found),
                max(crash.parts.index(part) for crash in found),
                part,
                tuple(found),
            )
            for part, found in self._blamed(crashes).items()
            if _is_convicting(found, self._limit_of(part))
        ]
        if not suspects:
            return None
        first = max(suspects)
        is_tied = any(first.is_tied(other) for other in suspects)
        return None if is_tied and first.weight < TIED_QUARANTINE_WEIGHT else first

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
