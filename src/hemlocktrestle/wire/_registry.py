"""The registry of the message types, by their member of the schema's union."""

from collections.abc import Callable
from typing import TypeVar

_Record = TypeVar("_Record", bound=type)

MESSAGE_TYPES: dict[str, type] = {}
"""Record type by its member name in the union ``Frame`` of the schema."""


def message(member: str) -> Callable[[_Record], _Record]:
    """Register a record type for a member of the schema's union.

    Args:
        member: name of the union member, in the schema's camel case.

    Returns:
        A decorator that returns the record type unchanged.
    """

    def register(record: _Record) -> _Record:
        MESSAGE_TYPES[member] = record
        return record

    return register
