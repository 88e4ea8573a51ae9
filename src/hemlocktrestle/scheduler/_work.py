"""The work that is left to answer a request, from what its route's answers took."""

from typing import NamedTuple

from hemlocktrestle.latency import Estimates
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
"""What is left of a request whose work is not known."""


class WorkEstimates:
    """Measured times of answers, by route; kept by schedulers and requesting VMs."""

    def __init__(self) -> None:
        self._first_ms = Estimates()
        self._token_ms = Estimates()

    def learn(self, route: str, release: Release) -> None:
        """Learn from the release of a request that was answered."""
        first_ms = float(release.first_token_ms)
        rest_ms = max(0.0, release.total_ms - first_ms)
        self._first_ms.learn(route, first_ms)
        self._token_ms.learn(route, rest_ms / max(1, release.output_tokens))

    def expect(self, ask: Ask) -> Work:
        """Return the work that a request is expected to be.

        A scheduler that has not measured the route, such as one that has just taken
        over, goes by what the requesting VM measured.
        """
        first = self._first_ms.find(ask.route)
        if not first.is_known:
            return Work(ask.first_ms, ask.total_ms)
        token_ms = self._token_ms.find(ask.route).mean
        return Work(first.mean, first.mean + ask.output_tokens * token_ms)
