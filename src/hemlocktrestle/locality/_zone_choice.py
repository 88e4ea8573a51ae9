"""The choice among replicas of one region, some in the requester's zone."""

from collections.abc import Sequence
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

_ReplicaT = TypeVar("_ReplicaT")


class ZoneOption(NamedTuple, Generic[_ReplicaT]):
    """A replica with room for a request.

    Args:
        replica: the replica.
        name: its name, the last to decide.
        expected_ms: time to the whole answer, without the way.
        running_count: requests that it runs.
        slots: requests that it may run.
        is_near: whether it is in the zone that the request comes from.
    """

    replica: _ReplicaT
    name: str
    expected_ms: float
    running_count: int
    slots: int
    is_near: bool

    @property
    def filled_share(self) -> float:
        """Share of its slots that are filled, with this request."""
        return (self.running_count + 1) / max(1, self.slots)


class ZoneReason(Enum):
    """Why a request stays in its zone or leaves it."""

    OWN_ZONE = "own-zone"
    NO_ROOM = "no-room"
    SOONER = "sooner"


def choose_in_region(
    options: Sequence[ZoneOption[_ReplicaT]], *, way_ms: float
) -> ZoneOption[_ReplicaT] | None:
    """Choose the replica that finishes first, a near one if the caller sees no odds.

    The caller is served alike if the near replica finishes later by no more than the
    way to the other one takes, and is not fuller: one more request slows the others
    that run there.

    Args:
        options: the replicas with room.
        way_ms: what the way to another zone takes longer than that within the zone.
    """
    fastest = min(options, key=_by_time, default=None)
    near = min(
        (option for option in options if option.is_near), key=_by_time, default=None
    )
    if fastest is None or near is None or fastest.is_near:
        return fastest
    is_later = near.expected_ms - fastest.expected_ms > way_ms
    is_fuller = near.filled_share > fastest.filled_share
    return fastest if is_later or is_fuller else near


def _by_time(option: ZoneOption[_ReplicaT]) -> tuple[float, int, str]:
    return option.expected_ms, option.running_count, option.name
