"""Recovery: writing the daemons' newest tree to a store restored from an older copy."""

import json
from collections.abc import Callable
from typing import Any

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import Compare, Put, Store
from hemlocktrestle.tree import Change, TreeState, change_to_json, documents_of
from hemlocktrestle.treestore._keys import HEAD_KEY, RECOVERY_KEY, change_key
from hemlocktrestle.treestore._reader import Head, read_change, read_head, read_tree
from hemlocktrestle.treestore._writer import change_puts, document_put

BATCH_DOCUMENTS_MAX = 50
"""Maximum number of documents written in one transaction."""

BATCH_BYTES_MAX = 700_000
"""Maximum size of the documents in one transaction, in bytes.

A single larger document is written in a transaction of its own.
"""

FORK_CHANGES_MAX = 90
"""Maximum number of changes after a fork that a recovery removes.

They are removed in one transaction, whose size the store bounds.
"""


async def recover_tree(
    store: Store,
    newest: TreeState,
    *,
    author: str,
    new_id: Callable[[], str],
    wall_ms: int,
) -> Change:
    """Make the tree that daemons have in force the store's next revision.

    The documents are written in several transactions, under a marker key.
    While the marker exists, readers refuse the stored tree as incomplete.
    An interrupted recovery can be run again.

    Args:
        store: the key-value service.
        newest: the tree in force at the daemon with the highest revision.
        author: operator who runs the recovery.
        new_id: returns a fresh unique id.
        wall_ms: the time in milliseconds since the epoch.

    Returns:
        The change that completes the recovery.

    Raises:
        RequestError: ``SETTINGS_CONFLICT`` if the store is not older, another writer
            changed it meanwhile, or a fork has too many changes;
            ``STORE_UNAVAILABLE``.
    """
    stored_head = await read_head(store)
    is_older = stored_head.head.revision < newest.revision
    fork_puts = await _fork_puts(store, stored_head.head, newest)
    if not is_older and not fork_puts and stored_head.head.lineage == newest.lineage:
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"the store holds revision {stored_head.head.revision}, daemons "
            f"{newest.revision}: there is nothing to recover",
        )
    stored = await read_tree(store, is_recovery=True)
    differing = _differences(documents_of(stored.state), documents_of(newest))
    guard = Compare(HEAD_KEY, stored_head.mod_revision)
    marker = await _write(store, [guard], [Put(RECOVERY_KEY, author.encode())])
    guards = [guard, Compare(RECOVERY_KEY, marker)]
    for batch in _batches(differing):
        await _write(store, guards, batch)
    change = Change(
        max(newest.revision, stored_head.head.revision) + 1,
        newest.lineage,
        new_id(),
        author,
        wall_ms,
        f"recover revision {newest.revision} from daemons",
        {},
        newest.change_id,
    )
    final_puts = [*change_puts(change), *fork_puts, Put(RECOVERY_KEY, None)]
    await _write(store, guards, final_puts)
    return change


async def _fork_puts(store: Store, head: Head, newest: TreeState) -> list[Put]:
    """Return the writes that remove a fork's changes from the stored history.

    A fork arises when a change is accepted by a store restored from an older copy:
    its revision then names another change than at the daemons.  The record of the
    daemons' change is written back, without its documents, so that daemons find
    their change in the store's history.
    """
    stored = await read_change(store, newest.revision)
    if stored is None or stored.change_id == newest.change_id:
        return []
    restored = Change(
        newest.revision,
        newest.lineage,
        newest.change_id,
        "",
        0,
        "in force at daemons; its record was lost",
        {},
    )
    fork_revisions = range(newest.revision + 1, head.revision + 1)
    if len(fork_revisions) > FORK_CHANGES_MAX:
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"{len(fork_revisions)} changes were made after the fork; at most "
            f"{FORK_CHANGES_MAX} can be taken back at once",
        )
    restored_put = Put(change_key(newest.revision), change_to_json(restored).encode())
    return [
        restored_put,
        *(Put(change_key(revision), None) for revision in fork_revisions),
    ]


def _differences(stored: dict[str, Any], newest: dict[str, Any]) -> dict[str, Any]:
    differing = {
        name: value for name, value in newest.items() if stored.get(name) != value
    }
    return differing | dict.fromkeys(set(stored) - set(newest))


def _batches(documents: dict[str, Any]) -> list[list[Put]]:
    batches: list[list[Put]] = []
    size = 0
    for name, value in documents.items():
        length = len(json.dumps(value))
        is_full = size + length > BATCH_BYTES_MAX
        if not batches or is_full or len(batches[-1]) >= BATCH_DOCUMENTS_MAX:
            batches.append([])
            size = 0
        batches[-1].append(document_put(name, value))
        size += length
    return batches


async def _write(store: Store, compares: list[Compare], puts: list[Put]) -> int:
    result = await store.write(compares, puts)
    if not result.is_applied:
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT, "another writer came between: run it again"
        )
    return result.store_revision
