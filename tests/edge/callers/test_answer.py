"""Tests of the answers to requests that failed."""

import random

from testtools import TestCase

from hemlocktrestle.edge.callers._answer import (
    RETRY_AFTER_MS_MIN,
    SPREAD_SHARE,
    error_answer,
)
from hemlocktrestle.edge.callers._quota_gate import over_quota
from hemlocktrestle.errors import ErrorKind, RequestError


def retry_after_ms(error: RequestError, jitter: random.Random) -> float:
    """Return the pause that the caller of a failed request is told."""
    answer = error_answer(error, may_have_sent=False, jitter=jitter)
    return float(dict(answer.headers)[b"retry-after"]) * 1000


class RetryAfterTests(TestCase):
    """Refused callers are told when to come back, and do not do so together."""

    def test_the_refused_come_back_spread(self) -> None:
        """Guards against a herd: all callers of one moment were told one time."""
        jitter = random.Random(1)
        error = RequestError(ErrorKind.NO_UPSTREAM, "none", retry_after_ms=2_000)
        found = [retry_after_ms(error, jitter) for _ in range(200)]
        self.assertTrue(2_000 <= min(found) < 2_050, min(found))
        latest_ms = 2_000 * (1 + SPREAD_SHARE)
        self.assertTrue(latest_ms - 50 < max(found) <= latest_ms, max(found))

    def test_nobody_is_told_to_come_back_at_once(self) -> None:
        """Guards against callers that repeat without a pause."""
        error = RequestError(ErrorKind.DRAINING, "leaving", retry_after_ms=0)
        found = retry_after_ms(error, random.Random(1))
        self.assertTrue(found >= RETRY_AFTER_MS_MIN, found)


class QuotaTests(TestCase):
    """A caller over its quota is told when its window has room."""

    def test_the_window_sets_the_pause(self) -> None:
        """Guards against callers that come back after 3 s to a window of 8 s."""
        self.assertEqual(7_900, over_quota(7_900).retry_after_ms)
