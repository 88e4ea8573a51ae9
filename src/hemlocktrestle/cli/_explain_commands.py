"""The command that explains from logs why one request ended."""

import argparse
from pathlib import Path

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._explain import explain, read_lines
from hemlocktrestle.cli._registry import command

_HIDDEN = frozenset({"timestamp", "level", "event", "vm", "request"})


def _arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", help="id of the request")
    parser.add_argument("files", nargs="+", type=Path, help="logs of the VMs")


@command(
    "explain",
    help="show a request's way through the logs of several VMs, and its cause",
    example="hemlocktrestle explain 9c41d07be2a35f68 vm-*.log",
    arguments=_arguments,
)
async def explain_request(context: Context) -> int:
    """Print the log lines of one request in order, and why it ended."""
    found = explain(context.options.request, read_lines(context.options.files))
    rows = []
    for line in found.lines:
        fields = " ".join(
            f"{name}={value}" for name, value in line.items() if name not in _HIDDEN
        )
        rows.append(
            f"{line.get('timestamp', '')} {line.get('vm', '')} {line['event']} {fields}"
        )
    document = {"cause": found.cause, "lines": list(found.lines)}
    context.show(document, [*rows, found.cause])
    return 0
