"""Bounds how many requests reach a version that is not known to be good."""

import math
from typing import NamedTuple

CANARY_SHARE = 0.5
"""Share of the allowed exposure that the canary uses."""

RAMP_SHARE = 0.8
"""Share of it that is used shortly before the shift, to judge under more load.

The rest is room for requests that no scheduler has counted yet.
"""

SLACK_SHARE = 0.5
"""Share of the slack that is used; a scheduler that starts anew uses it again."""

ROUTE_LEAD_MAX = 4
"""Requests that one route may be ahead of an equal share of the routes."""


class ExposureBounds(NamedTuple):
    """Limits on requests to a version that is not known to be good.

    Args:
        share: share of the service's requests that it may get.
        slack: requests that it may get beyond that, from all VMs together.
        stop_ms: time in which nothing more may be sent to it once it is bad.
    """

    share: float
    slack: float
    stop_ms: float


class ExposureLedger:
    """Counts one scheduler's requests to a service since an order.

    The bound holds for the sum over the schedulers if each keeps it for itself.

    Args:
        bounds: limits on the exposure.
        scheduler_count: schedulers that share the slack.
    """

    def __init__(self, bounds: ExposureBounds, *, scheduler_count: int) -> None:
        self._share = bounds.share
        self._slack = bounds.slack * SLACK_SHARE / max(1, scheduler_count)
        self._target_by_route: dict[str, int] = {}
        self.total_count = 0
        self.target_count = 0

    def record(self, route: str, *, is_target: bool, count: int = 1) -> None:
        """Count a request that was placed, or discount one that was not sent."""
        self.total_count = max(0, self.total_count + count)
        known = self._target_by_route.setdefault(route, 0)
        if is_target:
            self.target_count = max(0, self.target_count + count)
            self._target_by_route[route] = max(0, known + count)

    def has_room(self, route: str, *, is_ramp: bool) -> bool:
        """Tell whether one more request of a route may go to the target.

        The routes get equal numbers, since a version may be bad on one route only.
        """
        used_share = RAMP_SHARE if is_ramp else CANARY_SHARE
        allowed = self._share * used_share * self.total_count + self._slack
        if self.target_count + 1 > allowed:
            return False
        counts = self._target_by_route
        known = counts.get(route, 0)
        equal = self.target_count / max(1, len(counts.keys() | {route}))
        return known <= equal + ROUTE_LEAD_MAX


def canary_count(bounds: ExposureBounds, ready_count: int) -> int:
    """Return how many replicas of the target take the canary's requests.

    They bear about the load of an ordinary replica, so that a version which is bad
    only under load shows it.  There are two if possible, to tell a bad replica from
    a bad version.
    """
    share = bounds.share * CANARY_SHARE
    return min(ready_count, max(2, math.ceil(share * ready_count)))
