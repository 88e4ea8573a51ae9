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

POLL_S = 0.1
"""Interval between polls of the revisions in force, in seconds."""

UNKNOWN_ZONE = "(unknown zone)"
"""Zone shown for a daemon that has not answered yet."""


class Place(NamedTuple):
    """A daemon, its zone, and the revision and lineage that it has in force."""

    address: str
    zone: str
    revision: int
    lineage: str


async def place_of(context: Context, address: str, zone: str) -> Place:
    """Return the revision in force at a daemon; -1 if it did not answer."""
    try:
        status = await context.call_vm(address, "GET", "/ops/status")
    except RequestError:
        return Place(address, zone, -1, "")
    tree = status["tree"]
    return Place(address, status["zone"], int(tree["revision"]), tree["lineage"])


async def places(context: Context) -> list[Place]:
    """Return the revision in force at every daemon given by ``--operators``."""
    found: list[Place] = []

    async def ask(address: str) -> None:
        found.append(await place_of(context, address, UNKNOWN_ZONE))

    async with trio.open_nursery() as nursery:
        for address in context.options.operators:
            nursery.start_soon(ask, address)
    return sorted(found)


async def wait_in_force(context: Context, revision: int) -> list[Place]:
    """Wait until a revision is in force everywhere, for at most ``--wait-s``.

    Returns:
        The daemons at which it is not in force at the end of the wait.
    """
    lagging = [
        Place(address, UNKNOWN_ZONE, -1, "") for address in context.options.operators
    ]
    with trio.move_on_after(context.options.wait_s):
        while lagging:
            for place in list(lagging):
                now = await place_of(context, place.address, place.zone)
                lagging.remove(place)
                if now.revision < revision:
                    lagging.append(now)
            if lagging:
                await trio.sleep(POLL_S)
    return sorted(lagging)


def lagging_lines(lagging: list[Place]) -> list[str]:
    """Return a line per zone in which a revision is not yet in force."""
    lines = []
    for zone in sorted({place.zone for place in lagging}):
        addresses = [place.address for place in lagging if place.zone == zone]
        lines.append(f"not yet in force in zone {zone}: {', '.join(addresses)}")
    return lines


async def refuse_older_store(context: Context, base: TreeState) -> None:
    """Refuse to write to a store whose tree is older than that of a daemon.

    A daemon with another lineage counts as newer.  This guards against writing to a
    store that was restored from an older copy, which would fork the history.

    Raises:
        RequestError: ``SETTINGS_CONFLICT``, naming the daemon that has a newer tree.
    """
    for place in await places(context):
        if place.revision <= 0:
            continue
        is_other = place.lineage != base.lineage
        if place.revision <= base.revision and not is_other:
            continue
        # Read the head again: a change may have been accepted since the tree was read.
        head = (await read_head(context.store)).head
        if head.revision >= place.revision and head.lineage == place.lineage:
            continue
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"the store holds revision {head.revision}, older than {place.revision} "
            f"in force at {place.address}: run `settings recover`; nothing was changed",
        )


async def newest_tree(context: Context) -> TreeState:
    """Return the tree of the daemon with the highest revision in force.

    Raises:
        RequestError: ``STORE_UNAVAILABLE`` if no daemon has a tree in force.
    """
    found = max(await places(context), key=lambda place: place.revision, default=None)
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
        taken = pull.add_page(page)
        if isinstance(taken, TreeState):
            return taken
