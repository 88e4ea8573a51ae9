"""Command line of the edge daemon."""

import argparse
import gc
import logging
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path

import trio

from hemlocktrestle import __version__
from hemlocktrestle.edge._daemon import run_edge
from hemlocktrestle.edge._logs import configure_edge_logs
from hemlocktrestle.errors import RequestError
from hemlocktrestle.platform import read_settings, settings_path

METRICS_PORT = 9464
"""Default port for metrics, the one that OpenTelemetry's Prometheus exporter uses."""

log = logging.getLogger(__name__)

EXIT_SETTINGS = 2
"""Exit code when the settings are wrong; nothing was started."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="hemlocktrestle-edge",
        description="Serve callers on this VM of the users' platform.",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=settings_path(),
        help="settings file of the platform, in TOML",
    )
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=METRICS_PORT,
        help=f"port on which metrics are served (default: {METRICS_PORT})",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the edge daemon.

    Args:
        arguments: the command line, or ``None`` for the process's own.

    Returns:
        The exit code: 0 after a graceful shutdown or a clean check, 2 for wrong
        settings.
    """
    options = build_parser().parse_args(arguments)
    try:
        settings = read_settings(options.settings)
    except RequestError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: settings are valid")
        return 0
    handler = configure_edge_logs(settings.vm)
    # Imported modules live as long as the process; the collector need not scan them.
    gc.freeze()
    run = partial(
        run_edge,
        settings,
        options.settings,
        metrics_port=options.metrics_port,
        dropped_count=lambda: handler.dropped_count,
    )
    try:
        trio.run(run)
    except RequestError as error:
        log.error("not_started", extra={"reason": error.message})
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    return 0


if __name__ == "__main__":
    sys.exit(main())
