"""A check of revision logs: the revision of a daemon must never decrease."""

from collections.abc import Iterable


def revision_decreases(entries: Iterable[tuple[str, int]]) -> list[str]:
    """Return the decreases of a revision.

    Args:
        entries: daemon (one name for each start) and revision in force, in order.

    Returns:
        A line for each decrease.
    """
    highest: dict[str, int] = {}
    found = []
    for daemon, revision in entries:
        before = highest.get(daemon, 0)
        if revision < before:
            found.append(f"{daemon} fell from {before} to {revision}")
        highest[daemon] = max(before, revision)
    return found
