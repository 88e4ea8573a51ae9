"""Test set-up: hypothesis profile, mutants, and the known failures in KNOWN-RED.txt.

Tests listed in KNOWN-RED.txt run and are printed, but do not fail the run.
"""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from tests.mutants import apply_from_environment
from tests.support._known_red import KnownRed, parse_known_red

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


settings.register_profile(
    "same_verdict",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
"""Examples are the same in each run, and slow examples do not fail a test."""

settings.load_profile("same_verdict")


def _known_failures() -> list[KnownRed]:
    return parse_known_red(KNOWN_RED.read_text(encoding="utf-8"))


def pytest_configure(config: pytest.Config) -> None:
    """Apply the mutant named by the environment variable, if any."""
    apply_from_environment()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures that may also pass."""
    entries = _known_failures()
    for item in items:
        reasons = [entry.reason for entry in entries if entry.test == item.nodeid]
        for reason in reasons:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests listed in KNOWN-RED.txt."""
    for node_id, reason in _known_failures():
        terminalreporter.write_line(f"KNOWN RED {node_id}: {reason}")
