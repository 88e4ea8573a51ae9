"""Tests of the checks themselves, with answers that break each promise."""

from testtools import TestCase

from tests.support import Answer
from tests.support._checks import duplicate_dispatches, false_not_run_reports

NOT_RUN_BODY = b'{"error": {"outcome": "not-run"}}'
UNKNOWN_BODY = b'{"error": {"outcome": "unknown"}}'


def told(outcome: str, body: bytes) -> Answer:
    """Return an answer to the request r1."""
    headers = {"x-request-id": "r1", "x-hemlocktrestle-outcome": outcome}
    return Answer(503, headers, body, True)


class NotRunCheckTests(TestCase):
    """The check of "not-run" sees each breach."""

    def test_true(self) -> None:
        """A request that reached nobody may be told not to have run."""
        self.assertEqual(
            [], false_not_run_reports([told("not-run", NOT_RUN_BODY)], ["r2"])
        )

    def test_dispatched(self) -> None:
        """A request that reached an upstream may not."""
        self.assertEqual(
            1, len(false_not_run_reports([told("not-run", NOT_RUN_BODY)], ["r1"]))
        )

    def test_unknown(self) -> None:
        """A dispatched request of unknown outcome breaks nothing."""
        self.assertEqual(
            [], false_not_run_reports([told("unknown", UNKNOWN_BODY)], ["r1"])
        )

    def test_head_and_body_differ(self) -> None:
        """An answer that says two things breaks the promise."""
        self.assertEqual(
            1, len(false_not_run_reports([told("not-run", UNKNOWN_BODY)], ["r2"]))
        )


class DispatchCheckTests(TestCase):
    """The check of dispatches sees a second one."""

    def test_doubled(self) -> None:
        """An id that came twice is named."""
        self.assertEqual(["r1"], duplicate_dispatches(["r1", "r2", "r1"]))
