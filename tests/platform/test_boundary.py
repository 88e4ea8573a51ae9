"""Tests that the platform's names occur only in its adapter package."""

import re
from pathlib import Path

from testtools import TestCase

import hemlocktrestle

ROOT = Path(hemlocktrestle.__file__).parent

NAMES = re.compile(
    r"(?i:x-attempt-id|x-token-usage|x-response-seal|x-expect-instance|"
    r"x-prompt-prefix|x-not-executed|store-era|x-tenant|api-key|kv-(txn|watch|range|lease))|"
    r"platformSettings|contractBounds|weightedSplit|streamResume|nodeName|"
    r"internalPorts|targetLatencyMs|coldRemainingMs|healthPath|exposeShare|"
    r"exposeSlack|rollbackMs|op/rollout|status/rollout"
)


TIME_OF_DAY = re.compile(r"\btime\.time|\btime_ns\b|\bdatetime\b")

MONOTONIC_PACKAGES = (
    "edge",
    "gateway",
    "membership",
    "peers",
    "platform",
    "quarantine",
    "relay",
    "rollout",
    "scheduler",
)
"""Packages that run on the users' platform, where the wall clock may jump."""


class BoundaryTests(TestCase):
    """Only the adapter package depends on the platform's names and formats."""

    def test_no_other_module_uses_its_names(self) -> None:
        """No other module uses the platform's names, in code or in comments."""
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted(ROOT.rglob("*.py"))
            if path.relative_to(ROOT).parts[0] != "platform"
            for match in NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)

    def test_nothing_depends_on_the_time_of_day(self) -> None:
        """Durations and ages are taken from the monotonic clock only."""
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for name in MONOTONIC_PACKAGES
            for path in sorted((ROOT / name).rglob("*.py"))
            for match in TIME_OF_DAY.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], found)
