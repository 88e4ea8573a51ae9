"""Command line of the daemon."""

import argparse
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import trio

from hemlocktrestle import __version__
from hemlocktrestle.adapters import configure_logs
from hemlocktrestle.daemon._run import run_daemon
from hemlocktrestle.daemon._vm_settings import read_secret, read_vm_settings
from hemlocktrestle.errors import RequestError
from hemlocktrestle.platform import is_edge_settings, read_settings

EXIT_SETTINGS = 2
"""Exit code when the settings are wrong; nothing was started."""


def build_parser() -> argparse.ArgumentParser:
    """Return the daemon's argument parser."""
    parser = argparse.ArgumentParser(
        prog="hemlocktrestled", description="Run the request scheduler on this VM."
    )
    parser.add_argument("--settings", type=Path, required=True, help="TOML file")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    Args:
        arguments: the command line, or ``None`` for the process's own.

    Returns:
        The exit code: 0 after a graceful shutdown or a clean check, 2 for wrong
        settings.
    """
    options = build_parser().parse_args(arguments)
    try:
        if is_edge_settings(options.settings):
            return _check_for_edge(options.settings, is_check=options.check)
        settings = read_vm_settings(options.settings)
        read_secret(
            settings["security"]["operator_token_file"],
            field="security.operator_token_file",
        )
    except RequestError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: settings are valid")
        return 0
    configure_logs(settings.get("telemetry", {}).get("log_level", "INFO"))
    trio.run(partial(run_daemon, settings))
    return 0


def _check_for_edge(path: Path, *, is_check: bool) -> int:
    """Check a settings file of the edge daemon, which runs on the users' platform."""
    read_settings(path)
    if not is_check:
        print(
            f"{path}: settings of the users' platform; run hemlocktrestle-edge",
            file=sys.stderr,
        )
        return EXIT_SETTINGS
    print(f"{path}: settings are valid (hemlocktrestle-edge)")
    return 0


if __name__ == "__main__":
    sys.exit(main())
