"""A checker of revision logs: no daemon's revision may ever fall."""

from collections.abc import Iterable


def revision_decreases(entries: Iterable[tuple[str, int]]) -> list[str]:
    """Return where a revision fell.

    Args:
        entries: daemon (one name for each boot) and revision in force, in order.

    Returns:
        A line for each fall.
    """
    highest: dict[str, int] = {}
    found = []
    for daemon, revision in entries:
        before = highest.get(daemon, 0)
        if revision < before:
            found.append(f"{daemon} fell from {before} to {revision}")
        highest[daemon] = max(before, revision)
    return found
