"""The body of a buffered answer, within the memory budget of all answers."""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Self

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.relay import BodyMemoryBudget, BudgetShare

BLOCK_BYTES = 65_536
"""Size of a block, in bytes; blocks of one size do not fragment the memory."""

SMALL_BODY_BYTES = 262_144
"""Size up to which a body may take the last of the budget, in bytes."""

RESERVED_SHARE = 0.5
"""Share of the budget that larger bodies leave to the small ones.

Answers without end would otherwise take the memory of all the others.
"""

ROOM_TIMEOUT_S = 2.0
"""Longest wait for memory that other answers hold, in seconds."""

ROOM_CHECK_S = 0.05
"""Time between attempts to get memory, in seconds."""


async def await_memory(
    reserve: Callable[[], bool], *, make_room: Callable[[], bool]
) -> None:
    """Reserve memory; wait a while for it if callers that do not read hold it.

    Args:
        reserve: tries to reserve it.
        make_room: cuts such a caller, if there is one.

    Raises:
        RequestError: of kind ``UPSTREAM_BROKEN`` if there is none in time.
    """
    until_s = trio.current_time() + ROOM_TIMEOUT_S
    while not reserve():
        if trio.current_time() >= until_s:
            raise _no_memory()
        make_room()
        await trio.sleep(ROOM_CHECK_S)


class AnswerBody:
    """A body that is read block by block.

    On exit its memory is free at once, even if a failed attempt still refers to it.

    Args:
        budget: the memory of all answers.
        bytes_max: largest size, in bytes.
    """

    def __init__(self, budget: BodyMemoryBudget, *, bytes_max: int) -> None:
        self._share = BudgetShare(budget)
        self._budget_bytes = budget.bytes_max
        self._spared_bytes = int(budget.bytes_max * RESERVED_SHARE)
        self._bytes_max = bytes_max
        self._blocks: list[bytearray] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._blocks.clear()
        self._share.resize(0)

    @property
    def blocks(self) -> Sequence[bytearray]:
        """The body in the order of its bytes."""
        return self._blocks

    async def add(self, piece: bytes, *, make_room: Callable[[], bool]) -> None:
        """Add bytes, when there is memory for them.

        Args:
            piece: the bytes.
            make_room: cuts such a caller, if there is one.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if the answer is too large or no
                memory is left.
        """
        await await_memory(partial(self._reserve, len(piece)), make_room=make_room)
        self._store(piece)

    def append(self, piece: bytes) -> None:
        """Add bytes.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if the answer is too large.
        """
        if not self._reserve(len(piece)):
            raise _no_memory()
        self._store(piece)

    def _reserve(self, count: int) -> bool:
        size_bytes = self._share.size_bytes + count
        if size_bytes > self._bytes_max:
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "answer is too large")
        spared_bytes = self._spared_bytes if size_bytes > SMALL_BODY_BYTES else 0
        if size_bytes + spared_bytes > self._budget_bytes:
            # No other answer's end makes room for it.
            raise _no_memory()
        return self._share.resize(size_bytes, spared_bytes=spared_bytes)

    def _store(self, piece: bytes) -> None:
        for start in range(0, len(piece), BLOCK_BYTES):
            part = piece[start : start + BLOCK_BYTES]
            if not self._blocks or len(self._blocks[-1]) + len(part) > BLOCK_BYTES:
                self._blocks.append(bytearray())
            self._blocks[-1] += part


def _no_memory() -> RequestError:
    return RequestError(ErrorKind.UPSTREAM_BROKEN, "no memory is left for answers")
