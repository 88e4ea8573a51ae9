"""A stand-in for the clients of the platform."""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from review.rig2.http import body_pieces, message, read_head

_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a client got; ``status`` is 0 without a head of an answer."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def new_attempt() -> str:
    """Return the id of a new attempt."""
    return f"a{next(_numbers):06d}"


async def call(
    front: tuple[str, int],
    path: str,
    *,
    note: Callable[..., None],
    method: str = "POST",
    body: bytes = b"",
    deadline_ms: int = 6000,
    more: dict[str, str] | None = None,
) -> Answer:
    """Send one request on a new connection and read the answer to its end."""
    attempt = new_attempt()
    note("client: sends", attempt=attempt, path=path, front=front[0])
    head: dict[str, str] = {
        "Host": "app.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": "key-depot",
        **(more or {}),
    }
    if method != "GET":
        head["Content-Length"] = str(len(body))
    status = 0
    headers: dict[str, str] = {}
    got = bytearray()
    is_whole = False
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1):
            reader, writer = await asyncio.open_connection(*front)
            try:
                writer.write(message(f"{method} {path} HTTP/1.1", head, body))
                await writer.drain()
                answer = await read_head(reader)
                if answer is not None:
                    status = int(answer.first.split(" ")[1])
                    headers = answer.headers
                    async for piece in body_pieces(reader, headers):
                        got += piece
                    is_whole = True
            finally:
                writer.close()
    except (OSError, EOFError, TimeoutError):
        pass
    note(
        "client: answered",
        attempt=attempt,
        status=status,
        is_whole=is_whole,
        body_bytes=len(got),
    )
    return Answer(attempt, status, headers, bytes(got), is_whole)
