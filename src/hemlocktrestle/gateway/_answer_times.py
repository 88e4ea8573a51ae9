"""How long replicas take to answer, and from when one counts as silent."""

import math

from hemlocktrestle.latency import Estimate, Estimates

SILENCE_MS_MIN = 50.0
"""Shortest silence that tells anything, in milliseconds.

The event loop of this process may be late by as much.
"""

EQUAL_SHARE = 0.5
"""Share of the time left that a replica gets in any case.

That holds while nothing was measured, and for the pauses of a stream, which sound
replicas make, too.  The rest is as much for another replica.
"""


class AnswerTimes:
    """Measured times to the first part of an answer and between parts, by route."""

    def __init__(self) -> None:
        self._first_ms = Estimates()
        self._gap_ms = Estimates()

    def learn_first(self, route: str, first_ms: float) -> None:
        """Learn the time from sending a request to the first part of its answer."""
        self._first_ms.learn(route, first_ms)

    def learn_gap(self, route: str, gap_ms: float) -> None:
        """Learn the time between two parts of an answer."""
        self._gap_ms.learn(route, gap_ms)

    def usual_first_ms(self, route: str, left_ms: float) -> float:
        """Return the time after which a replica that sent nothing is unusually slow.

        Args:
            route: the request's route.
            left_ms: how long the caller still waits for a part.
        """
        first = self._first_ms.find(route)
        if not first.is_known:
            return left_ms * EQUAL_SHARE
        return max(SILENCE_MS_MIN, first.usual_max)

    def needed_ms(self, route: str, left_ms: float) -> float:
        """Return the time that another replica needs to send a part of an answer.

        Args:
            route: the request's route.
            left_ms: how long the caller still waits for a part.
        """
        first = self._first_ms.find(route)
        return first.mean if first.is_known else left_ms * EQUAL_SHARE

    def first_limit_ms(self, route: str, left_ms: float) -> float:
        """Return the silence after which another replica is searched for.

        It is infinite if another one could not answer in time after it.

        Args:
            route: the request's route.
            left_ms: how long the caller still waits for the first part.
        """
        silence_ms = self.usual_first_ms(route, left_ms)
        return _if_in_time(silence_ms, self.needed_ms(route, left_ms), left_ms)

    def gap_limit_ms(self, route: str, left_ms: float) -> float:
        """Return the same for the silence of a replica that has sent a part.

        A move costs another prefill and a slot that others wait for, so it comes only
        when it is time for the caller.
        """
        needed_ms = self.needed_ms(route, left_ms)
        gap: Estimate = self._gap_ms.find(route)
        silence_ms = max(SILENCE_MS_MIN, gap.usual_max, left_ms * EQUAL_SHARE)
        return _if_in_time(silence_ms, needed_ms, left_ms)


def _if_in_time(silence_ms: float, needed_ms: float, left_ms: float) -> float:
    return silence_ms if silence_ms + needed_ms <= left_ms else math.inf
