"""Entry point and argument parser of the operators' command-line tool."""

import argparse
import importlib
import os
import pkgutil
import sys
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

import argcomplete
import trio

from hemlocktrestle import __version__, cli
from hemlocktrestle.adapters import EtcdStore
from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._registry import COMMANDS, Command
from hemlocktrestle.errors import ErrorKind, RequestError

EXIT_CODES: dict[ErrorKind, int] = {
    ErrorKind.SETTINGS_INVALID: 2,
    ErrorKind.STORE_UNAVAILABLE: 3,
    ErrorKind.SETTINGS_CONFLICT: 5,
    ErrorKind.UNKNOWN_TOKEN: 6,
}
"""Exit code by error kind; all other kinds exit with 1."""

COMMANDS_SUFFIX = "_commands"
"""Suffix of the names of modules that register commands when imported."""


def load_commands() -> None:
    """Import every module of this package that registers commands."""
    for module in pkgutil.iter_modules(cli.__path__):
        if module.name.endswith(COMMANDS_SUFFIX):
            importlib.import_module(f"{cli.__name__}.{module.name}")


def build_parser() -> argparse.ArgumentParser:
    """Return the tool's argument parser, with every registered command."""
    load_commands()
    parser = argparse.ArgumentParser(
        prog="hemlocktrestle",
        description="Steer and inspect the request scheduler.",
        epilog="Exit codes: 0 done, 1 failed, 2 invalid, 3 not reached, "
        "4 accepted but not yet in force everywhere, 5 conflict, 6 not allowed.",
    )
    env = os.environ.get
    parser.add_argument("--store", default=env("HEMLOCKTRESTLE_STORE", ""))
    parser.add_argument("--token-file", default=env("HEMLOCKTRESTLE_TOKEN_FILE", ""))
    parser.add_argument(
        "--operators",
        type=lambda text: [part for part in text.split(",") if part],
        default=env("HEMLOCKTRESTLE_OPERATORS", "").split(",")
        if env("HEMLOCKTRESTLE_OPERATORS")
        else [],
        help="comma-separated addresses of the daemons' operators' listeners",
    )
    parser.add_argument(
        "--ca-file",
        default=env("HEMLOCKTRESTLE_CA_FILE", ""),
        help="CA that signed the daemons' certificates; without it, plain HTTP is used",
    )
    parser.add_argument("--author", default=env("HEMLOCKTRESTLE_AUTHOR", ""))
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--version", action="version", version=__version__)
    _add_commands(parser)
    return parser


def _add_commands(parser: argparse.ArgumentParser) -> None:
    groups: dict[tuple[str, ...], Any] = {}
    groups[()] = parser.add_subparsers(required=True, metavar="COMMAND")
    for words, entry in COMMANDS.items():
        for depth in range(1, len(words)):
            prefix = words[:depth]
            if prefix not in groups:
                group = groups[prefix[:-1]].add_parser(
                    prefix[-1], help=f"commands on {prefix[-1]}"
                )
                groups[prefix] = group.add_subparsers(required=True, metavar="COMMAND")
        sub = groups[words[:-1]].add_parser(
            words[-1],
            help=entry.help,
            description=entry.help,
            epilog=f"Example: {entry.example}",
        )
        entry.add_arguments(sub)
        sub.set_defaults(command=entry)


async def _run(
    options: argparse.Namespace, entry: Command, emit: Callable[[str], None]
) -> int:
    async with EtcdStore(options.store) as store:
        return await entry.run(Context(options, store, emit))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the tool.

    Args:
        arguments: the command-line arguments; ``None`` for those of the process.

    Returns:
        The exit code, as documented in the help.
    """
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args(arguments)
    try:
        return trio.run(partial(_run, options, options.command, print))
    except RequestError as error:
        print(f"{error.kind.value}: {error.message}", file=sys.stderr)
        return EXIT_CODES.get(error.kind, 1)


if __name__ == "__main__":
    sys.exit(main())
