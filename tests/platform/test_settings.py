"""Tests of decoding the platform's settings file."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from hypothesis import given
from testtools import TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.platform import decode_settings, read_settings, settings_path
from tests.odd_values import JSON_VALUES, NESTING, ODD_ADDRESSES, paths
from tests.platform.documents import SETTINGS, changed


def error_message(document: dict[str, Any]) -> str:
    """Return the error message for a document, empty if it is valid."""
    try:
        decode_settings(document, source="settings.toml")
    except RequestError as error:
        return error.message
    return ""


class SettingsTests(TestCase):
    """Settings are validated and converted to the project's fields."""

    def test_an_ordinary_file_is_converted(self) -> None:
        """Times in seconds are converted to milliseconds."""
        settings = decode_settings(SETTINGS, source="settings.toml")
        self.assertEqual(("vm-1", "z1", "north"), settings[:3])
        self.assertEqual(8_000, settings.bounds.grace_ms)
        self.assertEqual(10_000, settings.bounds.retry_window_ms)
        self.assertEqual(7600, settings.peer_port)

    def test_the_times_to_know_changes_are_read(self) -> None:
        """Guards against a VM that keeps to other times than its deployment's."""
        bounds = {**SETTINGS["contractBounds"], "drainMs": 900, "configApplyMs": 7_000}
        found = decode_settings(
            {**SETTINGS, "contractBounds": bounds}, source="s"
        ).bounds
        self.assertEqual(
            (900, 7_000), (found.leaving_known_ms, found.configuration_known_ms)
        )
        for name in ("drainMs", "configApplyMs"):
            del bounds[name]
        found = decode_settings(
            {**SETTINGS, "contractBounds": bounds}, source="s"
        ).bounds
        self.assertEqual(found.leaving_known_ms, found.configuration_known_ms)

    def test_memory_counts_where_the_contract_says_so(self) -> None:
        """Guards against a limit in deployments whose engines make room themselves."""
        for contracts, expected in ((["base"], False), (["base", "pressure"], True)):
            found = decode_settings({**SETTINGS, "contracts": contracts}, source="s")
            self.assertEqual(expected, found.engines_run_out)
        self.assertFalse(decode_settings(SETTINGS, source="s").engines_run_out)

    def test_unknown_fields_are_ignored(self) -> None:
        """Unknown fields are ignored, since the platform adds fields over time."""
        self.assertEqual("", error_message({**SETTINGS, "new": 1}))

    def test_a_wrong_field_is_named(self) -> None:
        """The error message contains the file and the path of the field."""
        wrong = {
            "nodeName": ...,
            "listen.front": "nowhere",
            "limits.maxFds": 20,
            "contractBounds.graceS": -1,
            "contractBounds.budgetRatio": "much",
            "platformSettings.address": ...,
            "internalPorts": [1],
        }
        for path, value in wrong.items():
            said = error_message(changed(SETTINGS, path, value))
            self.assertIn("settings.toml", said)
            self.assertIn(path, said)

    def test_an_unreadable_file_is_refused(self) -> None:
        """A missing, malformed or incomplete file gives an error with its path."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            deep = "a = " + "[" * NESTING
            large = "a = " + "9" * 5_000
            for text in (None, "= 1", "nodeName = 3", deep, large):
                if text is not None:
                    path.write_text(text, encoding="utf-8")
                try:
                    read_settings(path)
                except RequestError as error:
                    self.assertIn(str(path), error.message)
                else:
                    self.fail(f"accepted: {text}")

    def test_odd_addresses_and_numbers_are_refused(self) -> None:
        """Guards against a file that is accepted and fails where it is used."""
        for address in ODD_ADDRESSES:
            for path in ("listen.front", "platformSettings.address"):
                if (path, address) != ("listen.front", "10.0.0.1:0"):
                    said = error_message(changed(SETTINGS, path, address))
                    self.assertIn(path, said, repr(address))
        for path in ("limits.memoryMb", "limits.maxFds", "contractBounds.graceS"):
            for number in (float("inf"), float("nan"), 10**400, 1e308, -1):
                said = error_message(changed(SETTINGS, path, number))
                self.assertIn(path, said, repr(number)[:20])

    @given(value=JSON_VALUES)
    def test_any_value_of_any_field_is_converted_or_refused(self, value: Any) -> None:
        """Any value gives settings, or the one error."""
        for path in paths(SETTINGS):
            try:
                decode_settings(changed(SETTINGS, path, value), source="test")
            except RequestError as error:
                self.assertIs(ErrorKind.SETTINGS_INVALID, error.kind)

    def test_the_environment_sets_the_path(self) -> None:
        """The variable sets the path; without it there is a default."""
        named = settings_path({"HEMLOCKTRESTLE_SETTINGS": "/x/y.toml"})
        self.assertEqual("/x/y.toml", str(named))
        self.assertIn("hemlocktrestle", str(settings_path({})))
