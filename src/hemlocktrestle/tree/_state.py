"""The tree of settings at one revision: changes, inheritance, explanations."""

import hashlib
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from pydantic import TypeAdapter, ValidationError

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree._schema import (
    CUSTOMER_ADAPTER,
    DEFAULT_RULES,
    ROOT_ADAPTER,
    CustomerNode,
    RootNode,
    Rules,
    ServiceSpec,
    check_node,
    own_rules,
)
from hemlocktrestle.tree._sharded import ShardedMap

ROOT = "root"
"""Name of the root's document."""

CUSTOMER_PREFIX = "customers/"
"""Prefix of the names of customers' documents."""


class Change(NamedTuple):
    """One accepted change: the new content of some documents.

    Args:
        revision: number of the change; each is one more than the last.
        lineage: identity of the store's history.
        change_id: identity that the writer gave to it.
        author: who made it.
        accepted_ms: time of acceptance, in milliseconds since the epoch.
        summary: the edits in words.
        documents: new content by document name; ``None`` removes one.
        previous_id: ``change_id`` of the change before, empty if unknown.
    """

    revision: int
    lineage: str
    change_id: str
    author: str
    accepted_ms: int
    summary: str
    documents: dict[str, Any]
    previous_id: str = ""


class Identity(NamedTuple):
    """Who a bearer token stands for."""

    customer: str
    caller: str


class Explained(NamedTuple):
    """One rule's value and the node that it comes from."""

    value: Any
    source: str


class TreeState(NamedTuple):
    """The documents of the tree at one revision, checked.

    Use :data:`EMPTY_TREE` and :func:`apply_change` to build one.
    """

    revision: int
    lineage: str
    root: RootNode
    customers: ShardedMap[CustomerNode]
    tokens: ShardedMap[Identity]
    change_id: str = ""

    def identify(self, token: str) -> Identity | None:
        """Return who a bearer token stands for, or ``None``."""
        return self.tokens.get(token_digest(token))

    def explain(self, customer: str, service: str, caller: str) -> dict[str, Explained]:
        """Return each rule in force for a caller, with the node it comes from.

        Args:
            customer: name of the customer.
            service: name of the service, or empty.
            caller: name of the caller, or empty.

        Returns:
            The rules by name.
        """
        explained = {
            name: Explained(value, "(default)") for name, value in DEFAULT_RULES.items()
        }
        for source, rules in self._levels(customer, service, caller):
            for name, value in rules.items():
                explained[name] = Explained(value, source)
        return explained

    def rules_for(self, customer: str, service: str, caller: str) -> Rules:
        """Return the rules in force for a caller of a service."""
        merged: dict[str, Any] = dict(DEFAULT_RULES)
        for _, rules in self._levels(customer, service, caller):
            merged.update(rules)
        return merged  # type: ignore[return-value]

    def service_spec(self, service: str) -> ServiceSpec | None:
        """Return what the root says of a plain service, or ``None``."""
        return self.root.get("services", {}).get(service)

    def _levels(
        self, customer: str, service: str, caller: str
    ) -> list[tuple[str, Rules]]:
        customer_node = self.customers.get(customer, CustomerNode())
        service_node = customer_node.get("services", {}).get(service, {})
        caller_node = service_node.get("callers", {}).get(caller, {})
        return [
            ("/", own_rules(self.root)),
            (f"/{customer}", own_rules(customer_node)),
            (f"/{customer}/{service}", own_rules(service_node)),
            (f"/{customer}/{service}/{caller}", own_rules(caller_node)),
        ]


EMPTY_TREE = TreeState(0, "", RootNode(), ShardedMap(), ShardedMap())
"""A tree that no change has reached; nothing is served under it."""


def token_digest(token: str) -> str:
    """Return the form in which a bearer token stands in the tree."""
    return hashlib.sha256(token.encode()).hexdigest()


def check_document(name: str, value: Any) -> Any:
    """Check the content of one document.

    Args:
        name: :data:`ROOT` or a customer's document name.
        value: the content.

    Returns:
        The content, checked.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``.
    """
    if name == ROOT:
        return check_node(ROOT_ADAPTER, value, where="/")
    if name.startswith(CUSTOMER_PREFIX) and name != CUSTOMER_PREFIX:
        customer = name.removeprefix(CUSTOMER_PREFIX)
        return check_node(CUSTOMER_ADAPTER, value, where=f"/{customer}")
    raise RequestError(ErrorKind.SETTINGS_INVALID, f"{name}: no such document")


def apply_change(state: TreeState, change: Change) -> TreeState:
    """Return the tree after a change.

    Args:
        state: the tree before.
        change: the change, which must be the next one.

    Returns:
        The tree after.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if the content is wrong, or of
            kind ``SETTINGS_CONFLICT`` if the change is not the next one.
    """
    if change.revision != state.revision + 1:
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"revision {change.revision} does not follow {state.revision}",
        )
    if change.previous_id and state.change_id not in ("", change.previous_id):
        raise RequestError(
            ErrorKind.SETTINGS_CONFLICT,
            f"revision {change.revision} follows another history",
        )
    return with_documents(
        state,
        change.documents,
        revision=change.revision,
        lineage=change.lineage,
        change_id=change.change_id,
    )


def with_documents(
    state: TreeState,
    documents: Mapping[str, Any],
    *,
    revision: int,
    lineage: str,
    change_id: str = "",
) -> TreeState:
    """Return the tree with some documents replaced, checked, at a revision.

    The cost is in proportion to the documents, not to the tree.
    """
    root = state.root
    customers: dict[str, CustomerNode | None] = {}
    for name, value in documents.items():
        if name == ROOT:
            root = check_document(name, value or {})
        elif value is None:
            customers[name.removeprefix(CUSTOMER_PREFIX)] = None
        else:
            checked = check_document(name, value)
            customers[name.removeprefix(CUSTOMER_PREFIX)] = checked
    return TreeState(
        revision,
        lineage,
        root,
        state.customers.changed(customers),
        _changed_tokens(state, customers),
        change_id,
    )


def documents_of(state: TreeState) -> dict[str, Any]:
    """Return every document of a tree by name."""
    documents: dict[str, Any] = {ROOT: state.root}
    for customer, node in state.customers.items():
        documents[CUSTOMER_PREFIX + customer] = node
    return documents


def change_to_json(change: Change) -> str:
    """Return the JSON text of a change."""
    return json.dumps(change._asdict(), sort_keys=True, separators=(",", ":"))


def change_from_json(text: str | bytes) -> Change:
    """Return the change that a JSON text holds.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if the text holds none.
    """
    try:
        return _CHANGE_ADAPTER.validate_json(text)
    except ValidationError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, "stored change is not readable"
        ) from error


_CHANGE_ADAPTER: TypeAdapter[Change] = TypeAdapter(Change)


def _changed_tokens(
    state: TreeState, customers: Mapping[str, CustomerNode | None]
) -> ShardedMap[Identity]:
    """Return the table of tokens after some customers were replaced.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if a token stands twice.
    """
    changes: dict[str, Identity | None] = {}
    for customer in customers:
        before = state.customers.get(customer, CustomerNode())
        changes.update(dict.fromkeys(before.get("tokens", {})))
    for customer, node in customers.items():
        for digest, token in (node or CustomerNode()).get("tokens", {}).items():
            if changes.get(digest) or (
                digest not in changes and digest in state.tokens
            ):
                raise RequestError(
                    ErrorKind.SETTINGS_INVALID,
                    f"/{customer}: tokens.{digest[:8]}…: token stands twice",
                )
            changes[digest] = Identity(customer, token["caller"])
    return state.tokens.changed(changes)
