"""The registry of the tool's commands."""

import argparse
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from hemlocktrestle.cli._context import Context

Run = Callable[[Context], Awaitable[int]]
AddArguments = Callable[[argparse.ArgumentParser], None]


class Command(NamedTuple):
    """One command: the words that invoke it, its help, arguments and function."""

    words: tuple[str, ...]
    help: str
    example: str
    add_arguments: AddArguments
    run: Run


COMMANDS: dict[tuple[str, ...], Command] = {}
"""Commands by the words that invoke them."""


def command(
    *words: str,
    help: str,
    example: str,
    arguments: AddArguments = lambda parser: None,
) -> Callable[[Run], Run]:
    """Register the decorated function as a command.

    Args:
        words: the words that invoke it.
        help: one line of help.
        example: an example command line, shown in the help.
        arguments: adds the command's arguments to its parser.
    """

    def register(run: Run) -> Run:
        COMMANDS[words] = Command(words, help, example, arguments, run)
        return run

    return register
