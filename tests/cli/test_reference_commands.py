"""Tests of the settings reference."""

from pathlib import Path

from testtools import TestCase

from hemlocktrestle.cli._reference_commands import reference_lines

PAGE = Path(__file__).parent.parent.parent / "docs" / "SETTINGS.md"


class SettingsReferenceTests(TestCase):
    """The page matches the types."""

    def test_the_page_is_made_from_the_types(self) -> None:
        """The committed page equals the command's output."""
        self.assertEqual("\n".join(reference_lines()) + "\n", PAGE.read_text())
