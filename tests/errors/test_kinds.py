"""Tests of the table of error kinds, all of it."""

from testtools import TestCase

from hemlocktrestle.errors import ANSWERS, ErrorKind, Outcome, outcome_of
from tests.errors.__main__ import PAGE, page_text

AFTER_SEND = frozenset(
    {
        ErrorKind.UPSTREAM_REFUSED,
        ErrorKind.UPSTREAM_BROKEN,
        ErrorKind.UPSTREAM_SILENT,
        ErrorKind.DEADLINE_RUNNING,
        ErrorKind.CALLER_GONE,
        ErrorKind.SLOW_READER,
        ErrorKind.INTERNAL,
    }
)
"""Kinds that are raised once a request is on its way to an upstream."""


class TableTests(TestCase):
    """The table answers for every kind, and never says too much."""

    def test_every_kind_has_an_answer(self) -> None:
        """The list of kinds and the table agree."""
        self.assertEqual(set(ErrorKind), set(ANSWERS))

    def test_a_kind_after_a_sent_byte_never_says_not_run(self) -> None:
        """No kind that can follow a sent byte has the outcome not-run."""
        for kind, answer in ANSWERS.items():
            if answer.can_follow_send:
                self.assertEqual(Outcome.UNKNOWN, answer.outcome, kind.value)

    def test_kinds_of_the_dispatch_are_marked(self) -> None:
        """Each kind that the dispatch raises is marked as following a byte."""
        for kind in AFTER_SEND:
            self.assertTrue(ANSWERS[kind].can_follow_send, kind.value)

    def test_no_failure_is_complete(self) -> None:
        """No error kind tells that the work was done."""
        for answer in ANSWERS.values():
            self.assertNotEqual(Outcome.COMPLETE, answer.outcome)

    def test_a_sent_byte_outweighs_the_table(self) -> None:
        """Once a byte may have left, every kind's outcome is unknown."""
        for kind in ErrorKind:
            told = outcome_of(kind, may_have_sent=True)
            self.assertEqual(Outcome.UNKNOWN, told, kind.value)
            told = outcome_of(kind, may_have_sent=False)
            self.assertEqual(ANSWERS[kind].outcome, told, kind.value)

    def test_statuses_are_those_of_errors(self) -> None:
        """Every status tells of a failure, and a retry is hinted at where it helps."""
        for kind, answer in ANSWERS.items():
            self.assertIn(answer.status // 100, (4, 5), kind.value)
            if answer.retry_after_s is not None:
                self.assertGreater(answer.retry_after_s, 0)
                self.assertFalse(answer.can_follow_send, kind.value)


class PageTests(TestCase):
    """The callers' page shows the table as it is."""

    def test_the_page_holds_the_table(self) -> None:
        """The committed page is the one that the table gives."""
        self.assertEqual(page_text(PAGE.read_text()), PAGE.read_text())
