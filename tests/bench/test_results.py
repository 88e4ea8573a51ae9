"""Tests of the page made from the journal of the users' bench."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from testtools import TestCase

from bench.results import (
    day_table,
    failed_days_table,
    page,
    read_failed_days,
    read_plays,
)

DAY = {
    "name": "trouble-1",
    "G": 0.4,
    "served": 0.77,
    "refused": 0.006,
    "failed": 0.068,
    "rules": {"DRAIN": 2},
    "short": ["fault: too slow"],
}


def entry(number: int, **changes: Any) -> dict[str, Any]:
    """Return an entry of the journal of one day that was played alone."""
    return {
        "id": f"e{number}",
        "cmd": "run",
        "argv": ["site.toml", "trouble-1"],
        "site": "site",
        "days": [DAY],
        "ok": False,
        **changes,
    }


def write_journal(folder: str, *entries: dict[str, Any]) -> Path:
    """Write entries of a journal, and return its folder."""
    for number, document in enumerate(entries):
        Path(folder, f"{number}.json").write_text(json.dumps(document))
    return Path(folder)


class FailedDayTests(TestCase):
    """The page lists the days of scores and hunts that failed."""

    def test_a_hunted_day_that_falls_short_is_listed(self) -> None:
        """Guards against a hunt that counts broken rules only."""
        fine = {**DAY, "rules": {}, "short": []}
        short = {
            **DAY,
            "name": "scale-1 --seed 9",
            "rules": {},
            "short": ["0.1 of 0.2"],
        }
        with TemporaryDirectory() as name:
            failed = read_failed_days(
                write_journal(
                    name,
                    entry(1, cmd="hunt", head="0123456789", days=[fine, short]),
                    entry(2, cmd="score"),
                    entry(3),
                )
            )
        self.assertEqual(["e1", "e2"], [day.entry_id for day in failed])
        table = failed_days_table(failed)
        self.assertIn("| e1 | site | 0123456 | scale-1 --seed 9 | 0.1 of 0.2 |", table)
        self.assertIn("DRAIN; fault: too slow", table)
        self.assertIn(table, page([], [], failed))


class PlayTests(TestCase):
    """The page has the latest whole plays of each standard day."""

    def plays(self, *entries: dict[str, Any]) -> list[Any]:
        """Return the plays read from a journal with some entries."""
        with TemporaryDirectory() as name:
            return read_plays(write_journal(name, *entries))

    def test_partial_and_varied_plays_are_left_out(self) -> None:
        """So are hunts, plays that did not end, and days drawn for one score."""
        plays = self.plays(
            entry(1),
            entry(2, argv=["site.toml", "trouble-1", "--until", "20"]),
            entry(3, cmd="hunt"),
            entry(4, site=None, days=[]),
            entry(5, days=[{**DAY, "name": "fresh-1"}]),
            entry(6, cmd="score", days=[DAY, {**DAY, "name": "scale-1"}]),
        )
        self.assertEqual(["e1", "e6", "e6"], [play.entry_id for play in plays])

    def test_a_row_says_what_a_play_missed(self) -> None:
        """Broken rules and missed figures stand beside the worth."""
        text = page([], self.plays(*(entry(number) for number in range(5))), [])
        row = "| e4 | 0.400 | 0.770 | 0.006 | 0.068 | DRAIN; fault: too slow |"
        self.assertIn(row, text)
        self.assertNotIn("e1", text)
        self.assertIn("e2", day_table(self.plays(entry(2))))
