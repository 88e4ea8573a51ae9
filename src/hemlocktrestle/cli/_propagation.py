"""Propagation of the settings tree: revisions in force at daemons and in the store."""

from typing import Any, NamedTuple
from urllib.parse import quote

import trio

from hemlocktrestle.cli._context import Context
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import EMPTY_TREE, TreePull, TreeState
from hemlocktrestle.treestore import read_head
from hemlocktrestle.wire import TreePage

EXIT_NOT_IN_FORCE = 4
"""Exit code when a change was accepted but is not yet in force everywhere."""

POLL_INTERVAL_S = 0.1
"""Interval between polls of the revisions in force, in seconds."""

UNKNOWN_ZONE = "(unknown zone)"
"""Zone shown for a daemon that has not answered yet."""


class DaemonRevision(NamedTuple):
    """A daemon, its zone, and the revision and lineage that it has in force."""

    address: str
    zone: str
    revision: int
    lineage: str


async def read_daemon_revision(
    context: Context, address: str, zone: str
) -> DaemonRevision:
    """Return the revision in force at a daemon; -1 if it did not answer."""
    try:
        status = await context.call_vm(address, "GET", "/ops/status")
    except RequestError:
        return DaemonRevision(address, zone, -1, "")
    tree = status["tree"]
    return DaemonRevision(
        address, status["zone"], int(tree["revision"]), tree["lineage"]
    )


async def read_daemon_revisions(context: Context) -> list[DaemonRevision]:
    """Return the revision in force at every daemon given by ``--operators``."""
    found: list[DaemonRevision] = []

    async def read(address: str) -> None:
        found.append(await read_daemon_revision(context, address, UNKNOWN_ZONE))

    async with trio.open_nursery() as nursery:
        for address in context.options.operators:
            nursery.start_soon(read, address)
    return sorted(found)


async def wait_in_force(context: Context, revision: int) -> list[DaemonRevision]:
    """Wait until a revision is in force everywhere, for at most ``--wait-s``.

    Returns:
        The daemons at which it is not in force at the end of the wait.
    """
    lagging = [
        DaemonRevision(address, UNKNOWN_ZONE, -1, "")
        for address in context.options.operators
    ]
    with trio.move_on_after(context.options.wait_s):
        while lagging:
            for daemon in list(lagging):
                current = await read_daemon_revision(
                    context, daemon.address, daemon.zone
                )
                lagging.remove(daemon)
                if current.revision < revision:
                    lagging.append(current)
            if lagging:
                await trio.sleep(POLL_INTERVAL_S)
    return sorted(lagging)


def lagging_lines(lagging: list[DaemonRevision]) -> list[str]:
    """Return a line per zone in which a revision is not yet in force."""
    lines = []
    for zone in sorted({daemon.zone for daemon in lagging}):
        addresses = [daemon.address for daemon in lagging if daemon.zone == zone]
        lines.append(f"not yet in force in zone {zone}: {', '.join(addresses)}")
    return lines


async def check_store_is_current(context: Context, base: TreeState) -> None:
    """Refuse to write to a store whose tree is older than that of a daemon.

    A daemon with another lineage counts as newer.  This guards against writing to a
    store that was restored from an older copy, which would fork the history.

    Raises:
        RequestError: ``SETTINGS_CONFLICT``, naming the daemon that has a newer tree.
    """
    for daemon in await read_daemon_revisions(context):
        if daemon.revision <= 0:
            continue
        has_other_lineage = daemon.lineage != base.lineage
        if daemon.revision <= base.revision and not has_other_lineage:
            continue
        # Read the head again: a change may have been accepted since the tree was read.
        head = (await read_head(context.store)).head
        if head.revision >= daemon.revision and head.lineage == daemon.lineage:
            continue
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"the store holds revision {head.revision}, older than {daemon.revision} "
            f"in force at {daemon.address}: run `settings recover`; "
            "nothing was changed",
        )


async def fetch_newest_tree(context: Context) -> TreeState:
    """Return the tree of the daemon with the highest revision in force.

    Raises:
        RequestError: ``STORE_UNAVAILABLE`` if no daemon has a tree in force.
    """
    found = max(
        await read_daemon_revisions(context),
        key=lambda daemon: daemon.revision,
        default=None,
    )
    if found is None or found.revision <= 0:
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE, "no daemon was named that has a tree in force"
        )
    pull = TreePull(EMPTY_TREE)
    while True:
        fetch = pull.fetch
        first = quote(fetch.first_name, safe="")
        target = f"/ops/tree?revision={fetch.snapshot_revision}&first={first}"
        answer: dict[str, Any] = await context.call_vm(found.address, "GET", target)
        page = TreePage(
            answer["revision"],
            answer["lineage"],
            answer["body"].encode(),
            answer["is_last"],
        )
        result = pull.add_page(page)
        if isinstance(result, TreeState):
            return result
