"""The messages about moving a service to another version."""

from typing import NamedTuple

from hemlocktrestle.wire._registry import message


@message("rolloutGrant")
class RolloutGrant(NamedTuple):
    """The leader's word on an order: its phase, and the time since the order.

    ``revision`` is that of the record in the store, 0 if there is none yet.
    """

    service: str
    target: str
    duration_ms: float
    phase: str
    elapsed_ms: float
    revision: int = 0


class VersionTally(NamedTuple):
    """Requests at one version on one route since the order, from one scheduler.

    ``replica`` is empty for the old version.
    """

    is_target: bool
    route: str
    replica: str
    request_count: int
    ended_count: int
    bad_count: int


@message("rolloutReport")
class RolloutReport(NamedTuple):
    """A VM's reply to a grant, which repeats the order.

    ``phase`` is the one in force at the sender, which may have found the target bad.
    ``old_count`` are its requests at replicas of the old version, the requests that
    it has permitted as a scheduler among them.  ``drain_ms`` is the time in which
    such requests usually end, 0 if it is not known.
    """

    service: str
    target: str
    duration_ms: float
    phase: str
    elapsed_ms: float
    old_count: int
    drain_ms: int = 0
    tallies: tuple[VersionTally, ...] = ()
