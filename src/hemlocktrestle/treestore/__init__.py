"""The settings tree in the key-value store: key layout, reads, writes, recovery.

Each accepted change is stored under its revision, beside the current documents.
The head key names the newest change: its revision, lineage and change id.
A write compares the head's modification revision, so of two concurrent changes
only one is accepted.
"""

from hemlocktrestle.treestore._keys import (
    CHANGES_PREFIX,
    DOCUMENTS_PREFIX,
    HEAD_KEY,
    RECOVERY_KEY,
    TREE_PREFIX,
    change_key,
    document_key,
)
from hemlocktrestle.treestore._reader import (
    NO_HEAD,
    Head,
    StoredHead,
    StoredTree,
    read_change,
    read_head,
    read_history,
    read_tree,
    tree_from_items,
)
from hemlocktrestle.treestore._recovery import recover_tree
from hemlocktrestle.treestore._writer import AcceptedChange, Proposal, TreeWriter

__all__ = [
    "CHANGES_PREFIX",
    "DOCUMENTS_PREFIX",
    "HEAD_KEY",
    "NO_HEAD",
    "RECOVERY_KEY",
    "TREE_PREFIX",
    "AcceptedChange",
    "Head",
    "Proposal",
    "StoredHead",
    "StoredTree",
    "TreeWriter",
    "change_key",
    "document_key",
    "read_change",
    "read_head",
    "read_history",
    "read_tree",
    "recover_tree",
    "tree_from_items",
]
