"""Keys of the settings tree in the store."""

TREE_PREFIX = "/hemlocktrestle/tree/"
HEAD_KEY = TREE_PREFIX + "head"
RECOVERY_KEY = TREE_PREFIX + "recovery"
CHANGES_PREFIX = TREE_PREFIX + "changes/"
DOCUMENTS_PREFIX = TREE_PREFIX + "documents/"


def change_key(revision: int) -> str:
    """Return the key of the change with a revision."""
    return f"{CHANGES_PREFIX}{revision:012d}"


def document_key(name: str) -> str:
    """Return the key of a document."""
    return DOCUMENTS_PREFIX + name
