"""One VM's registry of suspected and quarantined requests."""

from collections.abc import Mapping
from typing import NamedTuple

QUARANTINE_CRASH_COUNT = 2
"""Crashes after which a request is quarantined that was not answered of late."""

SOUND_CRASH_COUNT = 4
"""The same for a request that was answered of late; only crashes since then count."""

SUSPICION_MS = 600_000
"""Time after which a suspicion expires, in milliseconds."""

QUARANTINE_MS = 3_600_000
"""Time after which a quarantine expires, in milliseconds."""

SOUND_QUARANTINE_MS = 10_000
"""Time after which the quarantine of an answered request expires, in milliseconds.

Upstreams may die under a popular request one after the other and not because of it,
and while it is refused no answer can show that.
"""

ACCUSED_MS = 60_000
"""Time after a crash for which other VMs are told of answers, in milliseconds."""

ENTRIES_MAX = 2_048
"""Entries that are kept; the oldest suspicions are evicted first."""

ANSWERED_MAX = 4_096
"""Answered requests that are kept; the least recent are evicted first."""


class QuarantineEntry(NamedTuple):
    """The crashes of one fingerprint, by name, with the times they were noticed at.

    ``limit`` is the number of crashes from which it is quarantined.  The entry
    expires at ``expires_ms``.
    """

    pool: str
    fingerprint: str
    crashes: Mapping[str, float]
    limit: int
    request_id: str
    expires_ms: float

    @property
    def upstreams(self) -> frozenset[str]:
        """The crashes, by the names of the upstreams or of their incarnations."""
        return frozenset(self.crashes)

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with this fingerprint are refused."""
        return len(self.crashes) >= self.limit


class QuarantineRegistry:
    """Fingerprints that are suspected or quarantined, bounded in number."""

    def __init__(self) -> None:
        self._entries: dict[str, QuarantineEntry] = {}
        self._answered_ms: dict[str, float] = {}
        self._accused_until_ms: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def record_crash(
        self,
        pool: str,
        fingerprint: str,
        *,
        upstream: str,
        request_id: str,
        now_ms: float,
    ) -> QuarantineEntry:
        """Record that an upstream crashed while it ran a request.

        Args:
            pool: the pool of the upstream.
            fingerprint: the request's fingerprint.
            upstream: the crash; the same name counts once.
            request_id: id of the request.
            now_ms: the time of the process in milliseconds.

        Returns:
            The updated entry of the fingerprint.
        """
        known = self.find(fingerprint, now_ms)
        crashes = {upstream: now_ms, **(known.crashes if known else {})}
        answered_ms = self._answered_ms.get(fingerprint)
        is_sound = answered_ms is not None and answered_ms + SUSPICION_MS > now_ms
        limit = SOUND_CRASH_COUNT if is_sound else QUARANTINE_CRASH_COUNT
        lasts_ms = SUSPICION_MS
        if len(crashes) >= limit:
            lasts_ms = SOUND_QUARANTINE_MS if is_sound else QUARANTINE_MS
        entry = QuarantineEntry(
            pool, fingerprint, crashes, limit, request_id, now_ms + lasts_ms
        )
        self._accused_until_ms[fingerprint] = now_ms + ACCUSED_MS
        self._entries.pop(fingerprint, None)
        self._entries[fingerprint] = entry
        self._evict(now_ms)
        return entry

    def find(self, fingerprint: str, now_ms: float) -> QuarantineEntry | None:
        """Return the entry of a fingerprint, unless it has expired."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_ms <= now_ms:
            del self._entries[fingerprint]
            return None
        return entry

    def record_answer(self, fingerprint: str, at_ms: float) -> bool:
        """Record that such a request was answered; earlier crashes do not count.

        Args:
            fingerprint: the request's fingerprint.
            at_ms: when the answer came, by the time of the process.

        Returns:
            Whether there was a crash that no longer counts.
        """
        if at_ms <= self.answered_ms(fingerprint):
            return False
        self._answered_ms.pop(fingerprint, None)
        self._answered_ms[fingerprint] = at_ms
        if len(self._answered_ms) > ANSWERED_MAX:
            del self._answered_ms[next(iter(self._answered_ms))]
        entry = self._entries.get(fingerprint)
        if entry is None:
            return False
        left = {name: ms for name, ms in entry.crashes.items() if ms > at_ms}
        if left:
            limit = SOUND_CRASH_COUNT
            self._entries[fingerprint] = entry._replace(crashes=left, limit=limit)
        else:
            del self._entries[fingerprint]
        return len(left) < len(entry.crashes)

    def answered_ms(self, fingerprint: str) -> float:
        """Return when such a request was last answered, minus infinity if never."""
        return self._answered_ms.get(fingerprint, float("-inf"))

    def answered_accused(self, now_ms: float) -> dict[str, float]:
        """Return the requests accused of late that were answered, and when."""
        self._accused_until_ms = {
            fingerprint: until_ms
            for fingerprint, until_ms in self._accused_until_ms.items()
            if until_ms > now_ms
        }
        return {
            fingerprint: self._answered_ms[fingerprint]
            for fingerprint in self._accused_until_ms
            if fingerprint in self._answered_ms
        }

    def clear_suspicion(self, fingerprint: str) -> bool:
        """Remove a suspicion, because such a request ran to completion.

        Returns:
            Whether there was one; a quarantine is kept.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_quarantined:
            return False
        return self.lift(fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Remove a suspicion or quarantine; ``False`` if there is none."""
        return self._entries.pop(fingerprint, None) is not None

    def entries(self, now_ms: float) -> list[QuarantineEntry]:
        """Return the entries that have not expired, the oldest first."""
        return [entry for entry in self._entries.values() if entry.expires_ms > now_ms]

    def _evict(self, now_ms: float) -> None:
        if len(self._entries) <= ENTRIES_MAX:
            return
        self._entries = {entry.fingerprint: entry for entry in self.entries(now_ms)}
        while len(self._entries) > ENTRIES_MAX:
            suspects = (
                name
                for name, entry in self._entries.items()
                if not entry.is_quarantined
            )
            del self._entries[next(suspects, next(iter(self._entries)))]
