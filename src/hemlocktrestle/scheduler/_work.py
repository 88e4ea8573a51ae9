"""The work that is left to answer a request, from what its route's answers took."""

from typing import NamedTuple

from hemlocktrestle.latency import Estimate
from hemlocktrestle.wire import Ask, Release

COUNTED_SHARE = 0.6
"""Share of an expected time that counts against a request.

Below 1, so that a moderate overestimate does not refuse one that would be in time.
"""


class Work(NamedTuple):
    """Times that an answer takes from its grant, 0 for what was never measured.

    Args:
        first_ms: time to its first part.
        total_ms: time to its end, for which it holds a slot.
    """

    first_ms: float = 0.0
    total_ms: float = 0.0


NO_WORK = Work()
"""The work of a request whose route was not measured."""


class _RouteTimes(NamedTuple):
    first_ms: Estimate
    token_ms: Estimate


class WorkEstimates:
    """Measured times of answers, by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}

    def learn(self, route: str, release: Release) -> None:
        """Learn from the release of a request that was answered."""
        times = self._routes.setdefault(route, _RouteTimes(Estimate(), Estimate()))
        first_ms = float(release.first_token_ms)
        rest_ms = max(0.0, release.total_ms - first_ms)
        times.first_ms.learn(first_ms)
        times.token_ms.learn(rest_ms / max(1, release.output_tokens))

    def expect(self, ask: Ask) -> Work:
        """Return the work that a request is expected to be."""
        times = self._routes.get(ask.route)
        if times is None:
            return NO_WORK
        first_ms = times.first_ms.mean
        return Work(first_ms, first_ms + ask.output_tokens * times.token_ms.mean)
