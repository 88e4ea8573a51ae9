"""Tests of the list of known failures."""

from testtools import TestCase

from tests.support._known_red import KnownRed, parse_known_red


class KnownRedTests(TestCase):
    """Each line of the list is an entry of its own."""

    def test_entries_of_one_name_are_all_kept(self) -> None:
        """Guards against an entry that another one of its name hides."""
        found = parse_known_red("# head\na | run 1 | x\n\na | run 2 | y\nb | z\n")
        self.assertEqual(
            [
                KnownRed("a", "run 1 | x"),
                KnownRed("a", "run 2 | y"),
                KnownRed("b", "z"),
            ],
            found,
        )
