"""Tests of the daemon's command line."""

from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

from testtools import TestCase
from testtools.matchers import Contains

from hemlocktrestle.daemon.__main__ import main
from tests.edge.test_processes import as_toml
from tests.platform.documents import SETTINGS, changed


class CheckTests(TestCase):
    """``--check`` also accepts settings files of the edge daemon."""

    def _run(self, text: str, *options: str) -> tuple[int, str]:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "settings.toml"
        path.write_text(text, encoding="utf-8")
        output = StringIO()
        with redirect_stdout(output), redirect_stderr(output):
            code = main(["--settings", str(path), *options])
        return code, output.getvalue()

    def test_a_file_of_the_platform_is_checked(self) -> None:
        """The output names the edge daemon, for which the file is valid."""
        code, output = self._run(as_toml(SETTINGS), "--check")
        self.assertEqual(0, code)
        self.assertThat(output, Contains("hemlocktrestle-edge"))

    def test_a_wrong_field_of_it_is_named(self) -> None:
        """The error names the path of the wrong field, and nothing is started."""
        wrong = changed(SETTINGS, "platformSettings.address", "nowhere")
        code, output = self._run(as_toml(wrong), "--check")
        self.assertEqual(2, code)
        self.assertThat(output, Contains("platformSettings.address"))

    def test_a_file_of_the_platform_is_not_run(self) -> None:
        """The error names the edge daemon, which runs with such a file."""
        code, output = self._run(as_toml(SETTINGS))
        self.assertEqual(2, code)
        self.assertThat(output, Contains("run hemlocktrestle-edge"))

    def test_a_file_that_cannot_be_read(self) -> None:
        """The error names a file that is not TOML."""
        code, output = self._run("= no TOML", "--check")
        self.assertEqual(2, code)
        self.assertThat(output, Contains("settings.toml"))
