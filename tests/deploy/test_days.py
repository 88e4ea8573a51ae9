"""Tests of the bench days: timed lists of planned work and faults, as TOML files."""

import tomllib
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import Any

from testtools import TestCase

DAYS = Path(__file__).parents[2] / "deploy" / "days"

KINDS = frozenset(
    {
        "add_nodes",
        "after_ack_kill",
        "answer_lost",
        "big_config",
        "burst",
        "clock_step",
        "config_change",
        "config_storm",
        "core_cut",
        "garble",
        "give_up",
        "herd_kill",
        "hot_key",
        "hot_tenant",
        "hup",
        "lossy",
        "node_cut",
        "node_freeze",
        "node_kill",
        "node_slow",
        "platform_compact",
        "platform_down",
        "platform_lost",
        "platform_slow",
        "release",
        "replace_with_reuse",
        "reset_conns",
        "retry_abuse",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
        "shift",
        "srv_crash",
        "srv_cut",
        "srv_flap",
        "srv_grey",
        "srv_lying_health",
        "srv_slow",
    }
)
"""Kinds that the bench defines for the contracts in force, of both milestones."""

DURATION_DEFAULT_S = 5.0
"""Duration of an entry that states none, in seconds."""


def own_days() -> list[dict[str, Any]]:
    """Return all days of all files."""
    return [
        day
        for path in sorted(DAYS.glob("*.toml"))
        for day in tomllib.loads(path.read_text(encoding="utf-8"))["day"]
    ]


def entries(day: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the planned work and the faults of a day."""
    return [*day.get("plan", []), *day.get("faults", [])]


class DayTests(TestCase):
    """Days cover all kinds of faults, and faults overlap."""

    def test_each_kind_occurs_twice(self) -> None:
        """Each known kind occurs twice over all days, and no other kind occurs."""
        counts = Counter(entry["kind"] for day in own_days() for entry in entries(day))
        self.assertEqual(set(), {kind for kind in KINDS if counts[kind] < 2})
        self.assertEqual(set(), counts.keys() - KINDS)

    def test_entries_overlap(self) -> None:
        """On each day at least one entry starts while another is active."""
        for day in own_days():
            spans = sorted(
                (entry["at"], entry["at"] + entry.get("for_s", DURATION_DEFAULT_S))
                for entry in entries(day)
            )
            overlaps = [
                later for earlier, later in pairwise(spans) if later[0] < earlier[1]
            ]
            self.assertTrue(overlaps, day["name"])
