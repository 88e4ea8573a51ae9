"""Parsing and checking of documents, with one error for all that can be wrong."""

from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json

from hemlocktrestle.errors import ErrorKind, RequestError

_Value = TypeVar("_Value")


def parse_json(
    data: bytes, *, source: str, kind: ErrorKind = ErrorKind.SETTINGS_INVALID
) -> Any:
    """Parse a JSON document.

    The parser limits the depth of nesting and the digits of a number.  That of the
    standard library reads as deep as the stack of its caller allows.

    Args:
        data: the document, in UTF-8.
        source: name of the document in error messages.
        kind: kind of the error.

    Raises:
        RequestError: of that kind, if the document cannot be parsed.
    """
    try:
        return from_json(data)
    except ValueError as error:
        raise RequestError(kind, f"{source}: not JSON: {error}") from error


def check(
    adapter: TypeAdapter[_Value],
    value: Any,
    *,
    source: str,
    kind: ErrorKind = ErrorKind.SETTINGS_INVALID,
) -> _Value:
    """Check the content of a document, and convert it to its type.

    Args:
        adapter: the adapter of the document's type.
        value: the parsed document.
        source: name of the document in error messages.
        kind: kind of the error.

    Raises:
        RequestError: of that kind; the message names the first invalid field.
    """
    try:
        return adapter.validate_python(value)
    except ValidationError as error:
        first = error.errors(
            include_url=False, include_context=False, include_input=False
        )[0]
        field = ".".join(str(part) for part in first["loc"]) or "whole"
        reason = first["msg"]
        raise RequestError(kind, f"{source}: {field}: {reason}") from error


def decode_json(
    adapter: TypeAdapter[_Value],
    data: bytes,
    *,
    source: str,
    kind: ErrorKind = ErrorKind.SETTINGS_INVALID,
) -> _Value:
    """Parse a JSON document and check it; see :func:`check`.

    Raises:
        RequestError: of the given kind; the message names what is wrong.
    """
    value = parse_json(data, source=source, kind=kind)
    return check(adapter, value, source=source, kind=kind)
