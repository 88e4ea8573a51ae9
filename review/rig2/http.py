"""A small HTTP/1.1 reader for the stand-ins."""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

READ_BYTES = 65_536
"""Size of one read, in bytes."""


class Head(NamedTuple):
    """The first line and the header lines of a message, names in lower case."""

    first: str
    lines: list[tuple[str, str]]

    @property
    def headers(self) -> dict[str, str]:
        """The header lines by name; the last of each name counts."""
        return dict(self.lines)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read the head of a message; ``None`` if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = data.decode("latin-1").split("\r\n")
    lines = []
    for line in rest:
        if line:
            name, _, value = line.partition(":")
            lines.append((name.strip().lower(), value.strip()))
    return Head(first, lines)


async def body_pieces(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    """Yield the body of a message as it comes.

    Raises:
        EOFError: the body ends before its framing says so.
    """
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while count := int((await reader.readline()).strip() or b"x", 16):
                yield await reader.readexactly(count)
                await reader.readexactly(2)
            while (await reader.readline()).strip():
                pass
            return
        left = int(headers.get("content-length", 0))
        while left:
            piece = await reader.read(min(left, READ_BYTES))
            if not piece:
                raise EOFError
            left -= len(piece)
            yield piece
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise EOFError from error


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a whole body.

    Raises:
        EOFError: it ends before its framing says so.
    """
    return b"".join([piece async for piece in body_pieces(reader, headers)])


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
