"""Guards against a platform's list that loses most of its entries at once."""

from collections.abc import Mapping
from typing import TypeVar

from hemlocktrestle.membership._records import Listing, UpstreamRecord, VmRecord

MASS_LOSS_RETENTION_MS = 600_000
"""How long entries that vanished in a mass loss are retained, in milliseconds."""

MASS_LOSS_SHARE = 0.5
"""Share of the entries above which their vanishing at once is a mass loss."""

_Record = TypeVar("_Record", VmRecord, UpstreamRecord)


class ListingGuard:
    """Retains for a time the entries that a list loses in a mass loss.

    New, changed and leaving entries apply at once.
    A missing entry is removed too, unless more than half of its kind vanish in one
    answer without having been marked as leaving.
    Such a mass loss is taken for a fault of the list: the entries are retained until
    they are listed again, or :data:`MASS_LOSS_RETENTION_MS` have passed.
    """

    def __init__(self) -> None:
        self._vms: dict[str, VmRecord] = {}
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._missing_since_ms: dict[tuple[str, str], float] = {}

    @property
    def doubted(self) -> tuple[str, ...]:
        """Names of the entries that are retained although the list lost them."""
        return tuple(sorted(name for _, name in self._missing_since_ms))

    def reconcile(self, listing: Listing, now_ms: float) -> Listing:
        """Apply a new answer of the list.

        Args:
            listing: the answer.
            now_ms: the time of the process in milliseconds.

        Returns:
            The answer, with the retained entries added.
        """
        vms = {record.name: record for record in listing.vms}
        upstreams = {record.name: record for record in listing.upstreams}
        self._vms = vms | self._retained("vm", self._vms, vms, now_ms)
        self._upstreams = upstreams | self._retained(
            "upstream", self._upstreams, upstreams, now_ms
        )
        return Listing(tuple(self._vms.values()), tuple(self._upstreams.values()))

    def _retained(
        self,
        kind: str,
        before: Mapping[str, _Record],
        after: Mapping[str, _Record],
        now_ms: float,
    ) -> dict[str, _Record]:
        for name in after:
            self._missing_since_ms.pop((kind, name), None)
        doubted = {name for where, name in self._missing_since_ms if where == kind}
        steady = {
            name
            for name, record in before.items()
            if not record.is_leaving and name not in doubted
        }
        missing = steady - set(after)
        if len(missing) > MASS_LOSS_SHARE * len(steady):
            self._missing_since_ms.update({(kind, name): now_ms for name in missing})
        kept = {}
        for (where, name), since_ms in list(self._missing_since_ms.items()):
            if where != kind:
                continue
            if now_ms - since_ms > MASS_LOSS_RETENTION_MS:
                del self._missing_since_ms[(where, name)]
            else:
                kept[name] = before[name]
        return kept
