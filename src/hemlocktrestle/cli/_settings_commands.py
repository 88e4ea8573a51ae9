"""Commands on the settings tree."""

import argparse
import json
import secrets
import time
from functools import partial
from pathlib import Path
from typing import Any

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._edits import parse_assignments, split_path, with_rules
from hemlocktrestle.cli._propagation import (
    EXIT_NOT_IN_FORCE,
    DaemonRevision,
    check_store_is_current,
    fetch_newest_tree,
    lagging_lines,
    wait_in_force,
)
from hemlocktrestle.cli._registry import command
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import CUSTOMER_PREFIX, ROOT, check_document, documents_of
from hemlocktrestle.treestore import (
    AcceptedChange,
    Proposal,
    StoredTree,
    read_history,
    read_tree,
    recover_tree,
)


def _path_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("path", help="node, as in /customer/service/caller")


def _set_arguments(parser: argparse.ArgumentParser) -> None:
    _path_argument(parser)
    parser.add_argument("assignments", nargs="+", metavar="NAME=VALUE")
    _wait_argument(parser)


def _unset_arguments(parser: argparse.ArgumentParser) -> None:
    _path_argument(parser)
    parser.add_argument("names", nargs="+", metavar="NAME")
    _wait_argument(parser)


def _apply_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path, help="JSON object: document name to content")
    _wait_argument(parser)


def _wait_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait-s", type=float, default=12.0, help="seconds to wait until in force"
    )


def _file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path, help="JSON object: document name to content")


@command(
    "settings",
    "get",
    help="show a document of the tree",
    example="hemlocktrestle settings get /clinics",
    arguments=_path_argument,
)
async def settings_get(context: Context) -> int:
    """Show the document that contains a node."""
    stored = await read_tree(context.store)
    parts = split_path(context.options.path)
    name = CUSTOMER_PREFIX + parts[0] if parts else ROOT
    document = documents_of(stored.state).get(name)
    if document is None:
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"/{parts[0]}: no such customer")
    shown = {"revision": stored.state.revision, "document": document}
    context.show(shown, [json.dumps(shown, indent=2, sort_keys=True)])
    return 0


@command(
    "settings",
    "set",
    help="change rules of a node",
    example="hemlocktrestle settings set /clinics/chat tier=high weight=3",
    arguments=_set_arguments,
)
async def settings_set(context: Context) -> int:
    """Set rules of a node, and wait until the change is in force."""
    options = context.options
    changed = parse_assignments(options.assignments)
    summary = f"set {options.path} {' '.join(options.assignments)}"
    return await _edit(context, options.path, changed, [], summary)


@command(
    "settings",
    "unset",
    help="let rules of a node be inherited again",
    example="hemlocktrestle settings unset /clinics/chat tier",
    arguments=_unset_arguments,
)
async def settings_unset(context: Context) -> int:
    """Remove rules of a node, and wait until the change is in force."""
    options = context.options
    summary = f"unset {options.path} {' '.join(options.names)}"
    return await _edit(context, options.path, {}, options.names, summary)


@command(
    "settings",
    "apply",
    help="replace whole documents",
    example="hemlocktrestle settings apply tree.json",
    arguments=_apply_arguments,
)
async def settings_apply(context: Context) -> int:
    """Replace whole documents from a file."""
    documents = _read_documents(context.options.file)
    summary = f"apply {', '.join(sorted(documents))}"
    base = await read_tree(context.store)
    proposal = Proposal(context.author, summary, documents)
    return await _propose(context, base, proposal)


@command(
    "settings",
    "validate",
    help="check documents without changing anything",
    example="hemlocktrestle settings validate tree.json",
    arguments=_file_argument,
)
async def settings_validate(context: Context) -> int:
    """Validate the documents in a file."""
    documents = _read_documents(context.options.file)
    for name, value in documents.items():
        check_document(name, value)
    shown = {"is_valid": True, "documents": sorted(documents)}
    context.show(shown, [f"{len(documents)} documents are valid"])
    return 0


@command(
    "settings",
    "explain",
    help="show each rule in force and the node it comes from",
    example="hemlocktrestle settings explain /clinics/chat/night-desk",
    arguments=_path_argument,
)
async def settings_explain(context: Context) -> int:
    """Show each rule in force for a node, and the node that sets it."""
    stored = await read_tree(context.store)
    parts = [*split_path(context.options.path), "", "", ""][:3]
    explained = stored.state.explain(*parts)
    shown = {name: entry._asdict() for name, entry in explained.items()}
    lines = [
        f"{name:20} {json.dumps(entry.value):24} {entry.source}"
        for name, entry in sorted(explained.items())
    ]
    context.show(shown, lines)
    return 0


@command(
    "settings",
    "history",
    help="list accepted changes",
    example="hemlocktrestle settings history",
)
async def settings_history(context: Context) -> int:
    """List the accepted changes, oldest first."""
    changes = await read_history(context.store)
    lines = [
        f"{change.revision:6} {change.accepted_ms} {change.author:12} {change.summary}"
        for change in changes
    ]
    context.show([change._asdict() for change in changes], lines)
    return 0


@command(
    "settings",
    "recover",
    help="write the newest tree of the daemons back into a store that is older",
    example="hemlocktrestle --operators 10.0.0.1:8081,10.0.1.1:8081 settings recover",
    arguments=_wait_argument,
)
async def settings_recover(context: Context) -> int:
    """Write the daemons' newest tree to a store that was restored from an older copy.

    Then wait until the new revision is in force.
    """
    newest = await fetch_newest_tree(context)
    change = await recover_tree(
        context.store,
        newest,
        author=context.author,
        new_id=partial(secrets.token_hex, 8),
        wall_ms=time.time_ns() // 1_000_000,
    )
    lagging = await wait_in_force(context, change.revision)
    shown = {
        "recovered_revision": newest.revision,
        "revision": change.revision,
        "not_in_force_at": [daemon.address for daemon in lagging],
        "not_in_force_in_zones": sorted({daemon.zone for daemon in lagging}),
    }
    line = f"revision {newest.revision} recovered as revision {change.revision}"
    context.show(shown, [line, *lagging_lines(lagging)])
    return EXIT_NOT_IN_FORCE if lagging else 0


def _read_documents(path: Path) -> dict[str, Any]:
    try:
        documents = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error
    if not isinstance(documents, dict):
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{path}: must be an object")
    return documents


async def _edit(
    context: Context,
    path: str,
    changed: dict[str, Any],
    removed: list[str],
    summary: str,
) -> int:
    base = await read_tree(context.store)
    documents = with_rules(base.state, path, changed, removed)
    return await _propose(context, base, Proposal(context.author, summary, documents))


async def _propose(context: Context, base: StoredTree, proposal: Proposal) -> int:
    await check_store_is_current(context, base.state)
    accepted = await context.writer().propose(base, proposal)
    lagging = await wait_in_force(context, accepted.change.revision)
    shown = {
        "revision": accepted.change.revision,
        "is_settled_by_reading": accepted.is_settled_by_reading,
        "not_in_force_at": [daemon.address for daemon in lagging],
        "not_in_force_in_zones": sorted({daemon.zone for daemon in lagging}),
    }
    context.show(shown, _accepted_lines(accepted, lagging))
    return EXIT_NOT_IN_FORCE if lagging else 0


def _accepted_lines(
    accepted: AcceptedChange, lagging: list[DaemonRevision]
) -> list[str]:
    lines = [f"accepted as revision {accepted.change.revision}"]
    if accepted.is_settled_by_reading:
        lines.append("the store's answer was lost; reading showed it was accepted")
    return lines + lagging_lines(lagging)
