"""Base class of the HTTP clients, which own a connection pool, and its errors."""

from contextlib import AsyncExitStack
from types import TracebackType
from typing import Self

import httpcore

EXCHANGE_FAILURES = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)
"""Exceptions of the HTTP library for a failed exchange."""


class PooledClient:
    """Owns a connection pool.

    Use as an asynchronous context manager, which closes the connections.

    Args:
        pool: the pool.
    """

    def __init__(self, pool: httpcore.AsyncConnectionPool) -> None:
        self._pool = pool
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.enter_async_context(self._pool)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stack.aclose()
