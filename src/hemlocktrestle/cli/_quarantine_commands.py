"""Commands on the quarantine of requests that crash upstreams."""

import argparse
from urllib.parse import quote

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._registry import command

EXIT_NOT_FOUND = 1
"""Exit code when no daemon knows the fingerprint."""


def _fingerprint_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("fingerprint", help="as `quarantine list` shows it")


@command(
    "quarantine",
    "list",
    help="show requests that crashed upstreams",
    example="hemlocktrestle --operators 10.0.0.1:8081 quarantine list",
)
async def quarantine_list(context: Context) -> int:
    """Show the requests that each daemon suspects or has quarantined."""
    shown = {}
    lines = []
    for address in context.options.operators:
        answer = await context.call_vm(address, "GET", "/ops/quarantine")
        shown[address] = answer["entries"]
        for entry in answer["entries"]:
            state = "quarantined" if entry["is_quarantined"] else "suspected"
            upstreams = ",".join(entry["upstreams"])
            lines.append(
                f"{address:22} {entry['fingerprint']} {state:11} "
                f"{entry['pool']} crashed={upstreams} request={entry['request_id']}"
            )
    context.show(shown, lines or ["nothing is suspected"])
    return 0


@command(
    "quarantine",
    "lift",
    help="let requests with a fingerprint run again",
    example="hemlocktrestle quarantine lift 0a1b2c",
    arguments=_fingerprint_argument,
)
async def quarantine_lift(context: Context) -> int:
    """Lift a quarantine at every daemon given by ``--operators``.

    Each daemon passes it on to the VMs of its zone.
    """
    fingerprint = context.options.fingerprint
    path = f"/ops/quarantine/lift?fingerprint={quote(fingerprint)}"
    lifted = {}
    for address in context.options.operators:
        answer = await context.call_vm(address, "POST", path)
        lifted[address] = answer["is_lifted"]
    is_lifted = any(lifted.values())
    text = "lifted" if is_lifted else "not known"
    context.show(lifted, [f"{fingerprint}: {text}"])
    return 0 if is_lifted else EXIT_NOT_FOUND
