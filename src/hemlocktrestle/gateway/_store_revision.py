"""The order of facts in a store that may come back from an older copy."""

from typing import NamedTuple, Self


class StoreRevision(NamedTuple):
    """A point in the history of the platform's store.

    The store counts its restores, and gives revisions out again after each: only
    both numbers together order two facts.

    Args:
        era: number of restores before it; 0 if the store does not state them.
        number: the store's revision within the era.
    """

    era: int
    number: int

    def next(self) -> Self:
        """Return the revision that follows this one in its era."""
        return self._replace(number=self.number + 1)

    def log_fields(self) -> dict[str, int]:
        """Return the fields that state this revision in a log line."""
        return {"store_era": self.era, "store_revision": self.number}


NO_REVISION = StoreRevision(-1, -1)
"""Precedes each revision of a store."""

NO_ERA = -1
"""Precedes each era: the store's era is not known yet."""
