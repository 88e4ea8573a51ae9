"""What daemons have in force, and how it stands to the store."""

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
"""Time between looks at the revisions in force, in seconds."""

UNKNOWN_ZONE = "(unknown zone)"
"""Zone of a daemon that gave no answer."""


class Place(NamedTuple):
    """A daemon, its zone, and the revision that it has in force."""

    address: str
    zone: str
    revision: int
    lineage: str


async def place_of(context: Context, address: str, zone: str) -> Place:
    """Return what a daemon has in force; revision -1 if it gave no answer."""
    try:
        status = await context.call_vm(address, "GET", "/ops/status")
    except RequestError:
        return Place(address, zone, -1, "")
    tree = status["tree"]
    return Place(address, status["zone"], int(tree["revision"]), tree["lineage"])


async def places(context: Context) -> list[Place]:
    """Return what every daemon that was named has in force."""
    found: list[Place] = []

    async def ask(address: str) -> None:
        found.append(await place_of(context, address, UNKNOWN_ZONE))

    async with trio.open_nursery() as nursery:
        for address in context.options.operators:
            nursery.start_soon(ask, address)
    return sorted(found)


async def wait_in_force(context: Context, revision: int) -> list[Place]:
    """Return where a revision is not in force when the wait is over."""
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
    """Return a line for each zone in which a revision is not yet in force."""
    lines = []
    for zone in sorted({place.zone for place in lagging}):
        addresses = [place.address for place in lagging if place.zone == zone]
        lines.append(f"not yet in force in zone {zone}: {', '.join(addresses)}")
    return lines


async def refuse_older_store(context: Context, base: TreeState) -> None:
    """Refuse to write on top of a store that is older than what daemons have.

    Raises:
        RequestError: ``SETTINGS_CONFLICT``, naming a daemon that is ahead.
    """
    for place in await places(context):
        if place.revision <= 0:
            continue
        is_other = place.lineage != base.lineage
        if place.revision <= base.revision and not is_other:
            continue
        # A change may have been accepted since the tree was read.
        head = (await read_head(context.store)).head
        if head.revision >= place.revision and head.lineage == place.lineage:
            continue
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"the store holds revision {head.revision}, older than {place.revision} "
            f"in force at {place.address}: run `settings recover`; nothing was changed",
        )


async def newest_tree(context: Context) -> TreeState:
    """Return the tree of the daemon that is furthest ahead.

    Raises:
        RequestError: ``STORE_UNAVAILABLE`` if no daemon gave one.
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
