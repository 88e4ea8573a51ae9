"""Cap'n Proto encoding of messages, framed with a length prefix."""

import re
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, cast, get_args, get_origin, get_type_hints

import capnp

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.wire._messages import Message
from hemlocktrestle.wire._registry import MESSAGE_TYPES

REASON_CHARS_MAX = 200
"""Most characters of the library's reason in an error message.

Its texts go on with a trace of the stack.
"""

FRAME_BYTES_MAX = 1 << 20
"""Maximum size of a frame without its length prefix, in bytes."""

PREFIX_BYTES = 4
"""Size of the length prefix, in bytes."""

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_CAMEL_BOUNDARY = re.compile(r"_(\w)")


def _camel(name: str) -> str:
    return _CAMEL_BOUNDARY.sub(lambda match: match[1].upper(), name)


class _Field:
    """Mapping of one record field to one schema field.

    ``element`` is the record type of a list of records, else ``None``.
    """

    __slots__ = ("element", "is_list", "name", "schema_name")

    def __init__(self, name: str, hint: Any) -> None:
        self.name = name
        self.schema_name = _camel(name)
        self.is_list = get_origin(hint) is tuple
        element = get_args(hint)[0] if self.is_list else hint
        self.element = element if hasattr(element, "_fields") else None


_FIELDS: dict[type, tuple[_Field, ...]] = {}


def _fields_of(record: type) -> tuple[_Field, ...]:
    fields = _FIELDS.get(record)
    if fields is None:
        hints = get_type_hints(record)
        fields = tuple(_Field(name, hints[name]) for name in hints)
        _FIELDS[record] = fields
    return fields


_MEMBER_NAMES: dict[type, str] = {
    record: name for name, record in MESSAGE_TYPES.items()
}


def _write_record(builder: Any, record: Any) -> None:
    for field in _fields_of(type(record)):
        value = getattr(record, field.name)
        if field.element is not None:
            items = builder.init(field.schema_name, len(value))
            for item_builder, item in zip(items, value, strict=True):
                _write_record(item_builder, item)
        elif field.is_list:
            setattr(builder, field.schema_name, list(value))
        else:
            setattr(builder, field.schema_name, value)


def _read_record(reader: Any, record: Any) -> Any:
    values = []
    for field in _fields_of(record):
        value = getattr(reader, field.schema_name)
        if field.element is not None:
            value = tuple(_read_record(item, field.element) for item in value)
        elif field.is_list:
            value = tuple(value)
        values.append(value)
    return record(*values)


def encode(item: Message) -> bytes:
    """Encode a message without its length prefix.

    Args:
        item: the message.

    Returns:
        The bytes of one ``Frame``.

    Raises:
        RequestError: of kind ``PEER_FRAME`` if a value does not fit its field.
    """
    frame = _SCHEMA.Frame.new_message()
    try:
        _write_record(frame.init(_MEMBER_NAMES[type(item)]), item)
    except (
        capnp.KjException,
        OverflowError,
        ValueError,
        TypeError,
        AttributeError,
    ) as error:
        reason = str(error).partition("\n")[0][:REASON_CHARS_MAX]
        name = type(item).__name__
        raise RequestError(
            ErrorKind.PEER_FRAME, f"{name} cannot be encoded: {reason}"
        ) from error
    return cast(bytes, frame.to_bytes())


def decode(data: bytes) -> Message:
    """Decode the bytes of one ``Frame``.

    Args:
        data: the bytes, without the length prefix.

    Returns:
        The message.

    Raises:
        RequestError: of kind ``PEER_FRAME`` if the bytes are not a known message.
    """
    try:
        with _SCHEMA.Frame.from_bytes(data) as frame:
            member = str(frame.which())
            return cast(
                Message, _read_record(getattr(frame, member), MESSAGE_TYPES[member])
            )
    except (capnp.KjException, KeyError, ValueError, AttributeError) as error:
        reason = type(error).__name__
        raise RequestError(
            ErrorKind.PEER_FRAME, f"frame is no known message: {reason}"
        ) from error


def frame_bytes(item: Message) -> bytes:
    """Encode a message with its length prefix.

    Args:
        item: the message.

    Returns:
        Length prefix and frame.

    Raises:
        RequestError: of kind ``PEER_FRAME`` if a value does not fit its field, or
            the frame is too large.
    """
    body = encode(item)
    if len(body) > FRAME_BYTES_MAX:
        name = type(item).__name__
        raise RequestError(
            ErrorKind.PEER_FRAME, f"{name}: frame exceeds the largest size"
        )
    return struct.pack(">I", len(body)) + body


class FrameReader:
    """Decodes messages from a byte stream that arrives in chunks of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add bytes and yield each message that they complete.

        Args:
            data: the next bytes of the stream.

        Yields:
            Messages in the order of the stream.

        Raises:
            RequestError: of kind ``PEER_FRAME`` if a frame is too large or invalid.
        """
        self._buffer += data
        while len(self._buffer) >= PREFIX_BYTES:
            (length,) = struct.unpack_from(">I", self._buffer)
            if length > FRAME_BYTES_MAX:
                raise RequestError(
                    ErrorKind.PEER_FRAME, "frame exceeds the largest size"
                )
            end = PREFIX_BYTES + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[PREFIX_BYTES:end])
            del self._buffer[:end]
            yield decode(body)

    @property
    def is_at_frame_boundary(self) -> bool:
        """Whether no partial frame is buffered."""
        return not self._buffer
