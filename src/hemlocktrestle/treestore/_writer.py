"""Writing changes: each is validated, then accepted by compare-and-swap on the head."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import Compare, Put, Store
from hemlocktrestle.tree import Change, TreeState, apply_change, change_to_json
from hemlocktrestle.treestore._keys import HEAD_KEY, change_key, document_key
from hemlocktrestle.treestore._reader import StoredTree, read_change, read_head

CHANGE_BYTES_MAX = 900_000
"""Maximum size of a change, in bytes; the store holds values of up to 1 MB."""

DOCUMENT_BYTES_MAX = 500_000
"""Maximum size of a document, in bytes; a page to a peer must hold a whole one."""

DOCUMENTS_MAX = 100
"""Maximum number of documents in one change; the store bounds a transaction."""

RESOLVE_ATTEMPTS_MAX = 5
"""Number of attempts to find out by reading whether a write took effect."""

RESOLVE_RETRY_DELAY_S = 0.5
"""Delay after an attempt at which the store did not answer, in seconds."""


class Proposal(NamedTuple):
    """An edit proposed by an operator: new documents, and a summary of the edit."""

    author: str
    summary: str
    documents: dict[str, Any]


class AcceptedChange(NamedTuple):
    """An accepted change.

    ``is_settled_by_reading`` tells that the store's answer to the write was lost,
    and that reading the store showed the change to be accepted.
    """

    change: Change
    is_settled_by_reading: bool


class TreeWriter:
    """Writes changes of the settings tree to the store.

    Args:
        store: the key-value service.
        new_id: returns a fresh unique id.
        wall_ms: returns the time in milliseconds since the epoch.
    """

    def __init__(
        self,
        store: Store,
        *,
        new_id: Callable[[], str],
        wall_ms: Callable[[], int],
    ) -> None:
        self._store = store
        self._new_id = new_id
        self._wall_ms = wall_ms

    async def propose(self, base: StoredTree, proposal: Proposal) -> AcceptedChange:
        """Write a change on top of the tree that the edit was made from.

        Args:
            base: the tree that the operator read.
            proposal: the edit.

        Returns:
            The accepted change.

        Raises:
            RequestError: ``SETTINGS_INVALID`` if the resulting tree would be invalid,
                ``SETTINGS_CONFLICT`` if another change was accepted first (the
                message shows both edits), ``STORE_UNAVAILABLE`` if the write got no
                answer and the change was not accepted, or it is not known whether
                it was (the message says which).
        """
        change = Change(
            base.state.revision + 1,
            base.state.lineage or self._new_id(),
            self._new_id(),
            proposal.author,
            self._wall_ms(),
            proposal.summary,
            proposal.documents,
            base.state.change_id,
        )
        apply_change(base.state, change)
        check_size(change)
        guard = Compare(HEAD_KEY, base.mod_revisions.get(HEAD_KEY, 0))
        try:
            result = await self._store.write([guard], _transaction_puts(change))
            is_applied = result.is_applied
            is_settled = False
        except RequestError:
            is_applied = await self._resolve_outcome(change, guard, base.state)
            is_settled = True
        if not is_applied:
            raise await self._conflict_error(change)
        return AcceptedChange(change, is_settled)

    async def _resolve_outcome(
        self, change: Change, guard: Compare, base: TreeState
    ) -> bool:
        """Find out whether a write took effect after its answer was lost.

        A write that has not taken effect may still reach the store.  To fence it
        off, the unchanged head is written again: this raises the head's modification
        revision, so that the compare of the late write fails.

        Returns:
            Whether the write took effect; if not, another change was accepted first.

        Raises:
            RequestError: ``STORE_UNAVAILABLE`` if the write did not and will not take
                effect, or if this cannot be determined; the message says which.
        """
        for _ in range(RESOLVE_ATTEMPTS_MAX):
            try:
                head = await read_head(self._store)
                if head.mod_revision == guard.mod_revision:
                    await self._store.write([guard], [_head_put(_head_of(base))])
                    continue
                stored = await read_change(self._store, change.revision)
            except RequestError:
                await trio.sleep(RESOLVE_RETRY_DELAY_S)
                continue
            if stored is not None:
                return stored.change_id == change.change_id
            raise RequestError(
                ErrorKind.STORE_UNAVAILABLE,
                "the store's answer was lost; reading showed that the change was "
                "not accepted, and it will not be",
            )
        raise RequestError(
            ErrorKind.STORE_UNAVAILABLE,
            "the store's answer was lost and it cannot be read: not known whether "
            f"the change was accepted; look for {change.change_id} in "
            "`settings history`",
        )

    async def _conflict_error(self, change: Change) -> RequestError:
        stored = await read_change(self._store, change.revision)
        theirs = (
            "unreadable"
            if stored is None
            else f"{stored.summary} (by {stored.author}, revision {stored.revision})"
        )
        return RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"another change came first; theirs: {theirs}; yours, not accepted: "
            f"{change.summary}",
        )


def check_size(change: Change) -> None:
    """Check that a change fits into the store and into the pages sent to peers.

    Raises:
        RequestError: ``SETTINGS_INVALID``.
    """
    if len(change.documents) > DOCUMENTS_MAX:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID,
            f"{len(change.documents)} documents in one change; at most {DOCUMENTS_MAX}",
        )
    for name, value in change.documents.items():
        if len(json.dumps(value)) > DOCUMENT_BYTES_MAX:
            raise RequestError(
                ErrorKind.SETTINGS_INVALID,
                f"{name}: more than {DOCUMENT_BYTES_MAX} bytes",
            )
    if len(change_to_json(change)) > CHANGE_BYTES_MAX:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID,
            f"change exceeds {CHANGE_BYTES_MAX} bytes: split it",
        )


def _head_of(state: TreeState) -> dict[str, Any]:
    return {
        "revision": state.revision,
        "lineage": state.lineage,
        "change_id": state.change_id,
    }


def _head_put(head: dict[str, Any]) -> Put:
    return Put(HEAD_KEY, json.dumps(head).encode())


def change_puts(change: Change) -> list[Put]:
    """Return the writes that store a change and advance the head to it."""
    head = {
        "revision": change.revision,
        "lineage": change.lineage,
        "change_id": change.change_id,
    }
    return [
        _head_put(head),
        Put(change_key(change.revision), change_to_json(change).encode()),
    ]


def document_put(name: str, value: Any) -> Put:
    """Return the write of one document; the value ``None`` deletes it."""
    data = None if value is None else json.dumps(value, sort_keys=True).encode()
    return Put(document_key(name), data)


def _transaction_puts(change: Change) -> list[Put]:
    documents = [document_put(*item) for item in change.documents.items()]
    return change_puts(change) + documents
