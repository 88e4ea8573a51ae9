"""Transfer of the settings tree between VMs: recent changes, or a paged snapshot."""

import itertools
import json
from bisect import bisect_left
from collections import OrderedDict, deque
from typing import Any

from pydantic import TypeAdapter, ValidationError
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree._state import (
    CUSTOMER_PREFIX,
    EMPTY_TREE,
    ROOT,
    Change,
    TreeState,
    apply_change,
    change_from_json,
    change_to_json,
    documents_of,
    with_documents,
)
from hemlocktrestle.wire import TreeFetch, TreePage

PAGE_BYTES = 64_000
"""Target size of a page, in bytes; only a single larger document exceeds it.

A page is built without yielding to the event loop,
so its size bounds how long other tasks are delayed.
"""

CHANGES_RETAINED_MAX = 512
"""Maximum number of recent changes that a VM retains for its peers."""

CHANGES_RETAINED_BYTES_MAX = 4_000_000
"""Maximum total size of the changes that a VM retains for its peers, in bytes."""

SNAPSHOTS_RETAINED_MAX = 2
"""Maximum number of snapshots retained while peers read them page by page."""


class _Body(TypedDict):
    changes: list[str]
    documents: dict[str, Any]
    change_id: str
    next_name: str


_BODY_ADAPTER: TypeAdapter[_Body] = TypeAdapter(_Body)


class TreeLog:
    """The tree in force, and the recent changes and snapshots served to peers.

    Revisions share the parts of the tree that did not change,
    so retaining a snapshot for a reading peer copies nothing.
    """

    def __init__(self) -> None:
        self.state = EMPTY_TREE
        self._changes: deque[tuple[int, str]] = deque()
        self._changes_bytes = 0
        self._snapshots: OrderedDict[int, tuple[TreeState, list[str]]] = OrderedDict()

    def advance(self, change: Change) -> None:
        """Apply the next change.

        Raises:
            RequestError: as :func:`~hemlocktrestle.tree.apply_change`.
        """
        self.state = apply_change(self.state, change)
        text = change_to_json(change)
        self._changes.append((change.revision, text))
        self._changes_bytes += len(text)
        while (
            len(self._changes) > CHANGES_RETAINED_MAX
            or self._changes_bytes > CHANGES_RETAINED_BYTES_MAX
        ):
            self._changes_bytes -= len(self._changes.popleft()[1])

    def replace(self, state: TreeState) -> None:
        """Replace the tree in force, and discard the retained changes."""
        self.state = state
        self._changes.clear()
        self._changes_bytes = 0

    def page(self, fetch: TreeFetch) -> TreePage:
        """Return the page that answers a peer's fetch."""
        missing = self._changes_after(fetch)
        if missing is None:
            return self._snapshot_page(fetch)
        texts: list[str] = []
        size = 0
        for text in missing:
            if texts and size + len(text) > PAGE_BYTES:
                break
            texts.append(text)
            size += len(text)
        body: _Body = {
            "changes": texts,
            "documents": {},
            "change_id": self.state.change_id,
            "next_name": "",
        }
        is_last = len(texts) == len(missing)
        return self._encode_page(self.state, body, is_last=is_last)

    def _changes_after(self, fetch: TreeFetch) -> list[str] | None:
        """Return the JSON texts of all changes after the peer's revision.

        Returns:
            The texts, or ``None`` if the peer needs a snapshot: it asks for one,
            has another lineage, or the retained changes do not reach back so far.
        """
        is_same = fetch.lineage == self.state.lineage
        if fetch.is_snapshot or not is_same or not self._changes:
            return None
        if self._changes[0][0] > fetch.after_revision + 1:
            return None
        return [
            text for revision, text in self._changes if revision > fetch.after_revision
        ]

    def _snapshot_page(self, fetch: TreeFetch) -> TreePage:
        snapshot = self._snapshots.get(fetch.snapshot_revision)
        first_name = fetch.first_name if snapshot is not None else ""
        if snapshot is None:
            snapshot = (self.state, sorted(documents_of(self.state)))
            self._snapshots[self.state.revision] = snapshot
            while len(self._snapshots) > SNAPSHOTS_RETAINED_MAX:
                self._snapshots.popitem(last=False)
        state, names = snapshot
        documents: dict[str, Any] = {}
        size = 0
        next_name = ""
        for name in itertools.islice(names, bisect_left(names, first_name), None):
            value = document_of(state, name)
            length = len(json.dumps(value))
            if documents and size + length > PAGE_BYTES:
                next_name = name
                break
            documents[name] = value
            size += length
        body: _Body = {
            "changes": [],
            "documents": documents,
            "change_id": state.change_id,
            "next_name": next_name,
        }
        return self._encode_page(state, body, is_last=not next_name)

    def _encode_page(self, state: TreeState, body: _Body, *, is_last: bool) -> TreePage:
        data = json.dumps(body, separators=(",", ":")).encode()
        return TreePage(state.revision, state.lineage, data, is_last)


class TreePull:
    """Assembles a peer's tree from the pages that it sends.

    Args:
        state: the tree in force on this VM.
    """

    def __init__(self, state: TreeState) -> None:
        self._state = state
        self._documents: dict[str, Any] = {}
        self.fetch = TreeFetch(state.revision, state.lineage)

    def add_page(self, page: TreePage) -> list[Change] | TreeState | None:
        """Add a received page, and set ``fetch`` to the next request.

        Returns:
            Changes to apply, or a complete tree, or ``None`` if more pages are needed.

        Raises:
            RequestError: ``PEER_FRAME`` if the page cannot be parsed or is empty, or
                ``SETTINGS_INVALID`` if its content is invalid.
        """
        try:
            body = _BODY_ADAPTER.validate_json(page.body)
        except ValidationError as error:
            raise RequestError(
                ErrorKind.PEER_FRAME, "page of the tree is not readable"
            ) from error
        if body["changes"]:
            changes = [change_from_json(text) for text in body["changes"]]
            self.fetch = self.fetch._replace(after_revision=changes[-1].revision)
            return changes
        if not body["documents"]:
            raise RequestError(ErrorKind.PEER_FRAME, "page of the tree is empty")
        if self.fetch.snapshot_revision != page.revision:
            self._documents = {}
        self._documents.update(body["documents"])
        if page.is_last:
            return with_documents(
                EMPTY_TREE,
                self._documents,
                revision=page.revision,
                lineage=page.lineage,
                change_id=body["change_id"],
            )
        self.fetch = TreeFetch(
            self._state.revision,
            page.lineage,
            is_snapshot=True,
            snapshot_revision=page.revision,
            first_name=body["next_name"],
        )
        return None

    def request_snapshot(self) -> None:
        """Discard the pages received so far, and fetch a snapshot from the start."""
        self._documents = {}
        self.fetch = TreeFetch(0, self._state.lineage, is_snapshot=True)


def document_of(state: TreeState, name: str) -> Any:
    """Return the content of one document by name."""
    if name == ROOT:
        return state.root
    return state.customers[name.removeprefix(CUSTOMER_PREFIX)]
