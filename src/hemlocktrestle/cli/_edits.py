"""Edits of the settings tree by path, as in ``/customer/service/caller``."""

import copy
import json
from typing import Any

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import CUSTOMER_PREFIX, ROOT, TreeState, documents_of

PATH_PARTS_MAX = 3
"""Number of names in the longest path: customer, service and caller."""


def split_path(path: str) -> list[str]:
    """Split a path of the tree into names; the root ``/`` has none.

    Raises:
        RequestError: ``SETTINGS_INVALID`` if the path is invalid.
    """
    if not path.startswith("/"):
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{path}: must start with /")
    parts = [part for part in path.split("/") if part]
    if len(parts) > PATH_PARTS_MAX:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{path}: at most /customer/service/caller"
        )
    return parts


def parse_assignments(texts: list[str]) -> dict[str, Any]:
    """Parse ``NAME=VALUE`` texts; a value that is not valid JSON is plain text."""
    values = {}
    for text in texts:
        name, equals, raw = text.partition("=")
        if not equals:
            raise RequestError(
                ErrorKind.SETTINGS_INVALID, f"{text}: must be NAME=VALUE"
            )
        try:
            values[name] = json.loads(raw)
        except ValueError:
            values[name] = raw
    return values


def with_rules(
    state: TreeState, path: str, changed: dict[str, Any], removed: list[str]
) -> dict[str, Any]:
    """Return the document that results from changing a node's rules.

    Args:
        state: the tree.
        path: path of the node.
        changed: new values by rule name.
        removed: names of rules to remove, so that the node inherits them again.

    Returns:
        The name of the document and its new content.
    """
    parts = split_path(path)
    name = CUSTOMER_PREFIX + parts[0] if parts else ROOT
    document: dict[str, Any] = copy.deepcopy(documents_of(state).get(name, {}))
    node = document
    if len(parts) > 1:
        node = node.setdefault("services", {}).setdefault(parts[1], {})
    if len(parts) > 2:
        node = node.setdefault("callers", {}).setdefault(parts[2], {})
    rules = node.setdefault("rules", {})
    rules.update(changed)
    for rule in removed:
        rules.pop(rule, None)
    return {name: document}
