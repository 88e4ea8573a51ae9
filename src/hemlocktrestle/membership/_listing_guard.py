"""Doubts a platform's list that loses most of its entries at once."""

from collections.abc import Mapping
from typing import TypeVar

from hemlocktrestle.membership._records import Listing, UpstreamRecord, VmRecord

DOUBT_MS = 600_000
"""How long entries that vanished in a mass are still believed, in milliseconds."""

MASS_SHARE = 0.5
"""Share of the entries whose vanishing at once is doubted."""

_Record = TypeVar("_Record", VmRecord, UpstreamRecord)


class ListingGuard:
    """Keeps what a list loses in a mass, for a time.

    What a list says of an entry is believed at once: that it is new, changed, or
    leaving.  That an entry is missing is believed too, unless more than half of its
    kind go missing in one answer without having been marked as leaving.  Those are
    kept until they are listed again, or :data:`DOUBT_MS` have passed.
    """

    def __init__(self) -> None:
        self._vms: dict[str, VmRecord] = {}
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._doubted_ms: dict[tuple[str, str], float] = {}

    @property
    def doubted(self) -> tuple[str, ...]:
        """Names of entries that are believed although the list lost them."""
        return tuple(sorted(name for _, name in self._doubted_ms))

    def reconcile(self, listing: Listing, now_ms: float) -> Listing:
        """Return what to believe after a new answer of the list.

        Args:
            listing: the answer.
            now_ms: the time of the process in milliseconds.

        Returns:
            The answer with the entries that are kept.
        """
        vms = {record.name: record for record in listing.vms}
        upstreams = {record.name: record for record in listing.upstreams}
        self._vms = vms | self._kept("vm", self._vms, vms, now_ms)
        self._upstreams = upstreams | self._kept(
            "upstream", self._upstreams, upstreams, now_ms
        )
        return Listing(tuple(self._vms.values()), tuple(self._upstreams.values()))

    def _kept(
        self,
        kind: str,
        before: Mapping[str, _Record],
        after: Mapping[str, _Record],
        now_ms: float,
    ) -> dict[str, _Record]:
        for name in after:
            self._doubted_ms.pop((kind, name), None)
        doubted = {name for where, name in self._doubted_ms if where == kind}
        steady = {
            name
            for name, record in before.items()
            if not record.is_leaving and name not in doubted
        }
        missing = steady - set(after)
        if len(missing) > MASS_SHARE * len(steady):
            self._doubted_ms.update({(kind, name): now_ms for name in missing})
        kept = {}
        for (where, name), since_ms in list(self._doubted_ms.items()):
            if where != kind:
                continue
            if now_ms - since_ms > DOUBT_MS:
                del self._doubted_ms[(where, name)]
            else:
                kept[name] = before[name]
        return kept
