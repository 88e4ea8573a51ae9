"""Tests that the platform's names stay in the folder that translates them."""

import re
from pathlib import Path

from testtools import TestCase

import hemlocktrestle

ROOT = Path(hemlocktrestle.__file__).parent

NAMES = re.compile(
    r"(?i:x-attempt-id|x-token-usage|x-response-seal|x-expect-instance|"
    r"x-prompt-prefix|x-not-executed|x-tenant|api-key|kv-(txn|watch|range|lease))|"
    r"platformSettings|contractBounds|weightedSplit|streamResume|nodeName|"
    r"internalPorts|targetLatencyMs|coldRemainingMs|healthPath"
)


TIME_OF_DAY = re.compile(r"\btime\.time|\btime_ns\b|\bdatetime\b")

STEADY = (
    "edge",
    "gateway",
    "membership",
    "peers",
    "platform",
    "quarantine",
    "relay",
    "scheduler",
)
"""Packages that run on the users' platform, where clocks jump."""


class BoundaryTests(TestCase):
    """One folder knows how the platform speaks."""

    def test_no_other_module_knows_its_names(self) -> None:
        """Neither in code nor in comments."""
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted(ROOT.rglob("*.py"))
            if path.relative_to(ROOT).parts[0] != "platform"
            for match in NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_nothing_depends_on_the_time_of_day(self) -> None:
        """Durations and ages come from the steady clock alone."""
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for name in STEADY
            for path in sorted((ROOT / name).rglob("*.py"))
            for match in TIME_OF_DAY.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)
