"""The order in which regions are asked for a permit."""

from collections.abc import Sequence
from typing import NamedTuple

LEAVE_FACTOR = 1.25
"""Multiple of the way's time that the wait saved must exceed to begin to leave.

Once requests of a pool leave, they do so while the wait saved exceeds the way's time:
waits that differ by little do not move them to and fro.
"""


class RegionOption(NamedTuple):
    """What is known of one region that has replicas for a request.

    Args:
        region: its name.
        is_own: whether it is the region of the VM.
        wait_ms: expected wait for a slot there.
        way_ms: what the way there takes, the transfer of its bytes included.
        has_room: whether the link there has room for its bytes.
        least_way_ms: what the way takes at least, without the bytes; 0 if unknown.
    """

    region: str
    is_own: bool
    wait_ms: float
    way_ms: float = 0.0
    has_room: bool = True
    least_way_ms: float = 0.0

    @property
    def served_ms(self) -> float:
        """When the request would get a slot there."""
        return self.wait_ms + self.way_ms


class RegionOrder(NamedTuple):
    """Regions to ask, the first first, and why the first comes first."""

    regions: tuple[str, ...]
    reason: str


class RegionChoice:
    """Orders regions; remembers for each pool whether its requests leave."""

    def __init__(self) -> None:
        self._leaving: set[str] = set()

    def order(
        self, pool: str, options: Sequence[RegionOption], *, left_ms: float
    ) -> RegionOrder:
        """Order the regions by when the caller would be served.

        A region comes before the own one if the wait that it saves exceeds the time
        of the way, and the link has room.  After the own one come all others that
        may still be in time, for a request that it refuses: an estimate that is too
        long would never be corrected if nothing was sent.

        Args:
            pool: the service.
            options: regions that may have a slot; the own one among them if it has
                replicas.
            left_ms: the time that the caller has left.
        """
        order, is_leaving = self.decide(pool, options, left_ms=left_ms)
        if is_leaving:
            self._leaving.add(pool)
        elif is_leaving is not None:
            self._leaving.discard(pool)
        return order

    def decide(
        self, pool: str, options: Sequence[RegionOption], *, left_ms: float
    ) -> tuple[RegionOrder, bool | None]:
        """Order the regions without remembering it; see :meth:`order`.

        Returns:
            The order, and whether the pool's requests leave, ``None`` for as before.
        """
        own = next((option for option in options if option.is_own), None)
        others = sorted(
            (option for option in options if not option.is_own),
            key=lambda option: (not option.has_room, option.served_ms, option.region),
        )
        if own is None:
            return RegionOrder(_names(others), "no own replica"), None
        others = [option for option in others if option.least_way_ms < left_ms]
        factor = 1.0 if pool in self._leaving else LEAVE_FACTOR
        sooner = [
            option
            for option in others
            if own.wait_ms - option.wait_ms > factor * option.way_ms
        ]
        first = [option for option in sooner if option.has_room]
        rest = [option for option in others if option not in first]
        if not sooner:
            return RegionOrder(_names([own, *rest]), "own region as soon"), False
        if not first:
            return RegionOrder(_names([own, *rest]), "link full"), None
        return RegionOrder(_names([*first, own, *rest]), "sooner elsewhere"), True


def _names(options: Sequence[RegionOption]) -> tuple[str, ...]:
    return tuple(option.region for option in options)
