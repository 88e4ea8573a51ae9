"""Reading the settings tree from the store, in pages."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import KeyValue, Store
from hemlocktrestle.tree import (
    EMPTY_TREE,
    Change,
    TreeState,
    change_from_json,
    with_documents,
)
from hemlocktrestle.treestore._keys import (
    CHANGES_PREFIX,
    DOCUMENTS_PREFIX,
    HEAD_KEY,
    RECOVERY_KEY,
    TREE_PREFIX,
    change_key,
)

KEYS_PER_PAGE = 64
"""Number of keys read from the store per page."""


class Head(NamedTuple):
    """The newest change: its revision, its lineage and its id."""

    revision: int
    lineage: str
    change_id: str


class StoredHead(NamedTuple):
    """The stored head.

    Args:
        head: the newest change; :data:`NO_HEAD` if the store holds none.
        mod_revision: store revision of the head's last write, 0 if absent;
            a write compares it to detect a concurrent change.
        store_revision: store revision of the read; a watch starts after it.
        is_recovering: whether a recovery has begun and not finished.
    """

    head: Head
    mod_revision: int
    store_revision: int
    is_recovering: bool


class StoredTree(NamedTuple):
    """The stored tree, with the store revisions that the next change compares.

    Args:
        state: the tree.
        store_revision: store revision of the read.
        mod_revisions: store revision of each key's last write, 0 if absent.
    """

    state: TreeState
    store_revision: int
    mod_revisions: dict[str, int]


NO_HEAD = Head(0, "", "")
_HEAD_ADAPTER: TypeAdapter[Head] = TypeAdapter(Head)


async def read_head(store: Store) -> StoredHead:
    """Read which change is the newest.

    Raises:
        RequestError: ``STORE_UNAVAILABLE``, or ``SETTINGS_INVALID`` if the stored
            head cannot be parsed.
    """
    snapshot = await store.read(HEAD_KEY)
    marker = await store.read(RECOVERY_KEY)
    is_recovering = bool(marker.items)
    if not snapshot.items:
        return StoredHead(NO_HEAD, 0, snapshot.store_revision, is_recovering)
    item = snapshot.items[0]
    try:
        head = _HEAD_ADAPTER.validate_json(item.value)
    except ValidationError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, "stored head is not readable"
        ) from error
    return StoredHead(head, item.mod_revision, snapshot.store_revision, is_recovering)


async def read_tree(store: Store, *, is_recovery: bool = False) -> StoredTree:
    """Read the tree.

    Documents are read in pages, and changes may be accepted between two pages.
    These changes are read after the last page and applied on top of the documents,
    so that the result is the tree at exactly one revision.

    Args:
        store: the key-value service.
        is_recovery: whether to read the tree even while a recovery is unfinished.

    Raises:
        RequestError: ``STORE_UNAVAILABLE`` also while a recovery is unfinished, or
            ``SETTINGS_INVALID`` if the stored data is invalid.
    """
    head_before = await read_head(store)
    if head_before.is_recovering and not is_recovery:
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            "a recovery of the settings is not finished: run `settings recover`",
        )
    documents: dict[str, Any] = {}
    for item in await _read_all(store, DOCUMENTS_PREFIX):
        documents[item.key.removeprefix(DOCUMENTS_PREFIX)] = _parse_document(item)
    head_after = await read_head(store)
    for revision in range(head_before.head.revision + 1, head_after.head.revision + 1):
        change = await read_change(store, revision)
        if change is None:
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE, "the tree changed while it was read"
            )
        documents.update(change.documents)
    present = {name: value for name, value in documents.items() if value is not None}
    state = with_documents(
        EMPTY_TREE,
        present,
        revision=head_after.head.revision,
        lineage=head_after.head.lineage,
        change_id=head_after.head.change_id,
    )
    return StoredTree(
        state, head_after.store_revision, {HEAD_KEY: head_after.mod_revision}
    )


async def read_change(store: Store, revision: int) -> Change | None:
    """Read the change with a revision; ``None`` if it does not exist."""
    snapshot = await store.read(change_key(revision))
    return change_from_json(snapshot.items[0].value) if snapshot.items else None


async def read_history(store: Store) -> list[Change]:
    """Read all accepted changes, oldest first."""
    items = await _read_all(store, CHANGES_PREFIX)
    return [change_from_json(item.value) for item in items]


def tree_from_items(items: Iterable[KeyValue]) -> TreeState:
    """Build the tree from key-value pairs read at one store revision."""
    documents = {}
    head = NO_HEAD
    for item in items:
        if item.key == HEAD_KEY:
            head = _HEAD_ADAPTER.validate_json(item.value)
        elif item.key.startswith(DOCUMENTS_PREFIX):
            documents[item.key.removeprefix(DOCUMENTS_PREFIX)] = _parse_document(item)
    return with_documents(
        EMPTY_TREE,
        documents,
        revision=head.revision,
        lineage=head.lineage,
        change_id=head.change_id,
    )


async def _read_all(store: Store, prefix: str) -> list[KeyValue]:
    items: list[KeyValue] = []
    after = ""
    while True:
        page = await store.read_page(prefix, after=after, limit_count=KEYS_PER_PAGE)
        items += page.items
        if len(page.items) < KEYS_PER_PAGE:
            return items
        after = page.items[-1].key


def _parse_document(item: KeyValue) -> Any:
    try:
        return from_json(item.value)
    except ValueError as error:
        name = item.key.removeprefix(TREE_PREFIX)
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{name}: stored document is not readable"
        ) from error
