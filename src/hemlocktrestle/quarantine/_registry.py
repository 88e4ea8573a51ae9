"""One VM's registry of suspected and quarantined requests."""

from typing import NamedTuple

QUARANTINE_CRASH_COUNT = 2
"""Crashes, each of another upstream, after which a request is quarantined."""

SUSPICION_MS = 600_000
"""Time after which a suspicion expires, in milliseconds."""

QUARANTINE_MS = 3_600_000
"""Time after which a quarantine expires, in milliseconds."""

ENTRIES_MAX = 2_048
"""Entries that are kept; the oldest suspicions are evicted first."""


class QuarantineEntry(NamedTuple):
    """The crashes of one fingerprint; the entry expires at ``expires_ms``."""

    pool: str
    fingerprint: str
    upstreams: frozenset[str]
    request_id: str
    expires_ms: float

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with this fingerprint are refused."""
        return len(self.upstreams) >= QUARANTINE_CRASH_COUNT


class QuarantineRegistry:
    """Fingerprints that are suspected or quarantined, bounded in number."""

    def __init__(self) -> None:
        self._entries: dict[str, QuarantineEntry] = {}

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
            upstream: the upstream; several crashes of the same one count once.
            request_id: id of the request.
            now_ms: the time of the process in milliseconds.

        Returns:
            The updated entry of the fingerprint.
        """
        known = self.find(fingerprint, now_ms)
        upstreams = frozenset({upstream}) | (known.upstreams if known else frozenset())
        is_quarantined = len(upstreams) >= QUARANTINE_CRASH_COUNT
        lasts_ms = QUARANTINE_MS if is_quarantined else SUSPICION_MS
        entry = QuarantineEntry(
            pool, fingerprint, upstreams, request_id, now_ms + lasts_ms
        )
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
