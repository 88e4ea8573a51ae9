"""Commands on the daemons."""

import argparse
from typing import Any

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._registry import command
from hemlocktrestle.errors import ErrorKind, RequestError

EXIT_UNREACHED = 3
"""Exit code if a daemon did not answer."""


def _address_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("address", help="operators' address of the daemon")


@command(
    "status",
    help="show each daemon's state",
    example="hemlocktrestle --operators 10.0.0.1:8081 status",
)
async def status(context: Context) -> int:
    """Show the state of every daemon given by ``--operators``."""
    shown = {}
    lines = []
    exit_code = 0
    for address in context.options.operators:
        try:
            answer = await context.call_vm(address, "GET", "/ops/status")
        except RequestError as error:
            answer = {"error": error.message}
            exit_code = EXIT_UNREACHED
            lines.append(f"{address:22} {error.message}")
        else:
            revision = answer["tree"]["revision"]
            lines.append(
                f"{address:22} {answer['vm']:10} {answer['zone']:14} "
                f"ready={answer['is_ready']} draining={answer['is_draining']} "
                f"revision={revision} running={answer['running_count']}"
            )
        shown[address] = answer
    context.show(shown, lines)
    return exit_code


async def _first_status(context: Context) -> dict[str, Any]:
    """Return the status of the first daemon that answers.

    Raises:
        RequestError: ``STORE_UNAVAILABLE`` if none does.
    """
    for address in context.options.operators:
        try:
            return await context.call_vm(address, "GET", "/ops/status")
        except RequestError as error:
            if error.kind is not ErrorKind.STORE_UNAVAILABLE:
                raise
    raise RequestError(ErrorKind.STORE_UNAVAILABLE, "no daemon answered")


@command(
    "upstreams",
    help="list the upstreams and whether they are given work",
    example="hemlocktrestle --operators 10.0.0.1:8081 upstreams",
)
async def upstreams(context: Context) -> int:
    """List the upstreams as the first daemon that answers sees them."""
    found = (await _first_status(context))["upstreams"]
    lines = [
        f"{entry['name']:16} {entry['zone']:14} {entry['kind']:7} "
        f"{','.join(entry['pools']):20} {entry['generation']:6} "
        f"leaving={entry['is_leaving']} takes_work={entry['takes_work']}"
        for entry in found
    ]
    context.show(found, lines)
    return 0


@command(
    "vms",
    help="list the VMs that are live in each zone",
    example="hemlocktrestle --operators 10.0.0.1:8081,10.0.1.1:8081 vms",
)
async def vms(context: Context) -> int:
    """List the live VMs of each zone, merged from all daemons that answer."""
    found: dict[str, set[str]] = {}
    is_whole = True
    for address in context.options.operators:
        try:
            answer = await context.call_vm(address, "GET", "/ops/status")
        except RequestError:
            is_whole = False
            continue
        found.setdefault(answer["zone"], set()).update(answer["live_vms"])
    shown = {zone: sorted(names) for zone, names in sorted(found.items())}
    lines = [f"{zone:14} {' '.join(names)}" for zone, names in shown.items()]
    context.show(shown, lines)
    return 0 if is_whole else EXIT_UNREACHED


@command(
    "drain",
    help="shut a daemon down gracefully",
    example="hemlocktrestle drain 10.0.0.1:8081",
    arguments=_address_argument,
)
async def drain(context: Context) -> int:
    """Start a graceful shutdown of one daemon."""
    answer = await context.call_vm(context.options.address, "POST", "/ops/drain")
    context.show(answer, [f"{context.options.address}: draining"])
    return 0
