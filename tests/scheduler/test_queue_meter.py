"""Tests of what is reported about the requests that wait for a pool."""

from testtools import TestCase

from hemlocktrestle.wire import Withdraw
from tests.scheduler.test_core import ask_of
from tests.scheduler.test_forecast import answered, learn, new_scheduler


class ReportTests(TestCase):
    """A report has what tells a long queue from a wrong forecast."""

    def setUp(self) -> None:
        """Start with one slot, taken, and one request that waits for it."""
        super().setUp()
        self.scheduler = new_scheduler()
        learn(self.scheduler, "report", 1_000)
        for ask_id in ("busy", "waits"):
            ask = ask_of(ask_id, route="report", deadline_ms=60_000, aim_ms=5_000)
            self.scheduler.enqueue("v1", ask, 1_000)

    def test_requests_that_wait_are_reported_with_their_age(self) -> None:
        """Guards against a queue that stands and is not seen in the logs."""
        (report,) = self.scheduler.report_queue(1_400)
        self.assertEqual((1, 1, 400, 0), report[:4])

    def test_grants_are_reported_with_their_forecast_and_the_time_left(self) -> None:
        """Guards against forecasts that err and are not seen in the logs."""
        self.scheduler.release(answered("busy", 1_000), 1_700)
        (report,) = self.scheduler.report_queue(1_800)
        self.assertEqual((1, 0, 0, 1, 700, 1_000, 4_300, 0), report)
        self.assertEqual([], self.scheduler.report_queue(1_900))

    def test_refused_requests_are_reported_once(self) -> None:
        """Guards against a report that counts the same refusal again."""
        self.scheduler.tick(5_500)
        (report,) = self.scheduler.report_queue(5_500)
        self.assertEqual((0, 1), (report.queued_count, report.refused_count))
        self.assertEqual([], self.scheduler.report_queue(5_600))

    def test_a_request_that_was_given_up_is_forgotten(self) -> None:
        """Guards against memory that grows with callers who leave."""
        self.scheduler.withdraw(Withdraw("waits", "assistant"), 1_500)
        self.assertEqual([], self.scheduler.report_queue(1_600))
        self.assertEqual({}, self.scheduler._meter._forecasts_ms)
