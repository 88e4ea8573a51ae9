"""Suspicions and quarantine, as one VM knows them."""

from typing import NamedTuple

CRASHES_MAX = 2
"""Crashes, each on another upstream, after which a request runs no more."""

SUSPECT_MS = 600_000
"""How long a suspicion lasts, in milliseconds."""

QUARANTINE_MS = 3_600_000
"""How long a quarantine lasts, in milliseconds."""

ENTRIES_MAX = 2_048
"""Entries that are kept; the oldest suspicions go first."""


class QuarantineEntry(NamedTuple):
    """What is known of one fingerprint; it is forgotten at ``expires_ms``."""

    pool: str
    fingerprint: str
    upstreams: frozenset[str]
    request_id: str
    expires_ms: float

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with this fingerprint run no more."""
        return len(self.upstreams) >= CRASHES_MAX


class QuarantineRegistry:
    """Fingerprints that are suspected or in quarantine, bounded in number."""

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
        """Take note that an upstream crashed while it ran such a request.

        Args:
            pool: the pool of the upstream.
            fingerprint: the request's fingerprint.
            upstream: the upstream; a second crash of the same one counts once.
            request_id: the request.
            now_ms: the time of the process in milliseconds.

        Returns:
            What is now known of the fingerprint.
        """
        known = self.find(fingerprint, now_ms)
        upstreams = frozenset({upstream}) | (known.upstreams if known else frozenset())
        is_quarantined = len(upstreams) >= CRASHES_MAX
        lasts_ms = QUARANTINE_MS if is_quarantined else SUSPECT_MS
        entry = QuarantineEntry(
            pool, fingerprint, upstreams, request_id, now_ms + lasts_ms
        )
        self._entries.pop(fingerprint, None)
        self._entries[fingerprint] = entry
        self._bound(now_ms)
        return entry

    def find(self, fingerprint: str, now_ms: float) -> QuarantineEntry | None:
        """Return what is known of a fingerprint, unless it has expired."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires_ms <= now_ms:
            del self._entries[fingerprint]
            return None
        return entry

    def clear_suspicion(self, fingerprint: str) -> bool:
        """Drop a suspicion, because such a request ran to its end.

        Returns:
            Whether there was one; a quarantine stays.
        """
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_quarantined:
            return False
        return self.lift(fingerprint)

    def lift(self, fingerprint: str) -> bool:
        """Forget a fingerprint, whatever is known of it; ``False`` if nothing is."""
        return self._entries.pop(fingerprint, None) is not None

    def entries(self, now_ms: float) -> list[QuarantineEntry]:
        """Return all that is known, the oldest first."""
        return [entry for entry in self._entries.values() if entry.expires_ms > now_ms]

    def _bound(self, now_ms: float) -> None:
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
