"""Tests of the invariant checks, with answers that violate each guarantee."""

from testtools import TestCase

from tests.support import Answer
from tests.support._checks import duplicate_dispatches, false_not_run_reports

NOT_RUN_BODY = b'{"error": {"outcome": "not-run"}}'
UNKNOWN_BODY = b'{"error": {"outcome": "unknown"}}'


def answer_reporting(outcome: str, body: bytes) -> Answer:
    """Return an answer to the request r1."""
    headers = {"x-request-id": "r1", "x-hemlocktrestle-outcome": outcome}
    return Answer(503, headers, body, True)


class NotRunCheckTests(TestCase):
    """The check of "not-run" reports each violation."""

    def test_true(self) -> None:
        """A request that reached no upstream may be reported as not-run."""
        self.assertEqual(
            [],
            false_not_run_reports([answer_reporting("not-run", NOT_RUN_BODY)], ["r2"]),
        )

    def test_dispatched(self) -> None:
        """A request that reached an upstream must not be reported as not-run."""
        self.assertEqual(
            1,
            len(
                false_not_run_reports(
                    [answer_reporting("not-run", NOT_RUN_BODY)], ["r1"]
                )
            ),
        )

    def test_unknown(self) -> None:
        """A dispatched request with an unknown outcome is no violation."""
        self.assertEqual(
            [],
            false_not_run_reports([answer_reporting("unknown", UNKNOWN_BODY)], ["r1"]),
        )

    def test_head_and_body_differ(self) -> None:
        """An answer whose head and body report different outcomes is a violation."""
        self.assertEqual(
            1,
            len(
                false_not_run_reports(
                    [answer_reporting("not-run", UNKNOWN_BODY)], ["r2"]
                )
            ),
        )


class DispatchCheckTests(TestCase):
    """The check of dispatches reports a second dispatch."""

    def test_doubled(self) -> None:
        """An id that was dispatched twice is returned."""
        self.assertEqual(["r1"], duplicate_dispatches(["r1", "r2", "r1"]))
