"""The settings tree: document types, rule inheritance, changes and revisions.

The tree has the levels root, customer, service and caller.
A rule set at one level overrides the same rule of the levels above it.
The root and each customer are stored as one JSON document;
every accepted change of documents gives the tree a new revision.
"""

from hemlocktrestle.tree._pages import TreeLog, TreePull, document_of
from hemlocktrestle.tree._schema import (
    CUSTOMER_ADAPTER,
    DEFAULT_RULES,
    ROOT_ADAPTER,
    CustomerNode,
    RootNode,
    Rules,
    ServiceSpec,
    check_node,
    tier_rank,
)
from hemlocktrestle.tree._sharded import ShardedMap
from hemlocktrestle.tree._state import (
    CUSTOMER_PREFIX,
    EMPTY_TREE,
    ROOT,
    Change,
    Identity,
    ResolvedRule,
    TreeState,
    apply_change,
    change_from_json,
    change_to_json,
    check_document,
    documents_of,
    token_digest,
    with_documents,
)

__all__ = [
    "CUSTOMER_ADAPTER",
    "CUSTOMER_PREFIX",
    "DEFAULT_RULES",
    "EMPTY_TREE",
    "ROOT",
    "ROOT_ADAPTER",
    "Change",
    "CustomerNode",
    "Identity",
    "ResolvedRule",
    "RootNode",
    "Rules",
    "ServiceSpec",
    "ShardedMap",
    "TreeLog",
    "TreePull",
    "TreeState",
    "apply_change",
    "change_from_json",
    "change_to_json",
    "check_document",
    "check_node",
    "document_of",
    "documents_of",
    "tier_rank",
    "token_digest",
    "with_documents",
]
