"""The only client of the platform's store."""

import base64
import json
import socket
from contextlib import AsyncExitStack
from enum import Enum
from types import TracebackType
from typing import Any, NamedTuple, Self
from urllib.parse import quote, urlencode

import httpcore

CONFIGURATION_KEY = "op/config"
"""Key of the operator's configuration."""

REGISTRATIONS_PREFIX = "servers/"
"""Start of the keys under which replicas register themselves."""

CALL_TIMEOUT_S = 2.0
"""Longest wait for the answer to a call, in seconds.

The store answers in milliseconds; one that is slow still answers within half a second.
"""

CONNECT_TIMEOUT_S = 1.0
"""Longest time to open a connection to the store, in seconds."""

WATCH_GRACE_S = 2.0
"""Time beyond its own wait after which a watch counts as lost, in seconds."""

IDLE_S = 10.0
"""How long an unused connection is kept, in seconds."""

CONNECTIONS_MAX = 8
"""Connections to the store that one process holds."""


PROBE_S = 1
"""Silence after which the kernel asks whether the store is there, in seconds.

A watch waits on a connection that may have gone silent; with two probes the loss
shows within three seconds.
"""

_PROBED = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3 * PROBE_S * 1000),
]


class StoreErrorKind(Enum):
    """Why a call to the store brought no result."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    THROTTLED = "throttled"
    HISTORY_LOST = "history-lost"
    CONDITION_FAILED = "condition-failed"
    LEASE_ENDED = "lease-ended"
    NONSENSE = "nonsense"


class StoreError(Exception):
    """A call to the store that brought no result.

    Args:
        kind: why.
        message: text for the log.
    """

    def __init__(self, kind: StoreErrorKind, message: str) -> None:
        super().__init__(message)
        self.kind = kind


_STATUS_KINDS = {
    404: StoreErrorKind.LEASE_ENDED,
    410: StoreErrorKind.HISTORY_LOST,
    412: StoreErrorKind.CONDITION_FAILED,
    429: StoreErrorKind.THROTTLED,
    503: StoreErrorKind.REFUSED,
}


class Item(NamedTuple):
    """One key with its value and the store revision of its last change."""

    key: str
    value: bytes
    revision: int


class RemovedItem(NamedTuple):
    """A key that was removed, at a store revision."""

    key: str
    revision: int


class Page(NamedTuple):
    """All items under a prefix, and the oldest revision at which they were read."""

    items: tuple[Item, ...]
    revision: int


class WatchResult(NamedTuple):
    """What changed under a prefix, and the revision to go on from."""

    events: tuple[Item | RemovedItem, ...]
    revision: int


class PlatformStore:
    """Calls the platform's store.

    Use as an asynchronous context manager, which closes its connections.  Every
    call raises :class:`StoreError` if it brings no result; a write may then still
    have taken effect, or take effect later.

    Args:
        address: address and port of the store.
        backend: opens connections; by default over TCP.
    """

    def __init__(
        self, address: str, *, backend: httpcore.AsyncNetworkBackend | None = None
    ) -> None:
        self._url = f"http://{address}"
        self._stack = AsyncExitStack()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX,
            keepalive_expiry=IDLE_S,
            retries=0,
            socket_options=_PROBED,
            network_backend=backend,
        )
        self.call_count = 0

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

    async def get(self, key: str) -> tuple[Item | None, int]:
        """Read one key.

        Returns:
            The item, or ``None`` if there is none, and the store's revision.
        """
        status, body = await self._call("GET", "/kv-key", {"key": key}, ok=(200, 404))
        revision = int(body.get("currentRev", 0))
        return (_item(body) if status == 200 else None), revision

    async def list(self, prefix: str, *, is_stale_fine: bool = False) -> Page:
        """Read all keys under a prefix; the pages are no snapshot.

        Args:
            prefix: start of the keys.
            is_stale_fine: whether an answer that is seconds old is good enough,
                which costs a tenth.
        """
        query: dict[str, Any] = {"prefix": prefix}
        if is_stale_fine:
            query["staleOk"] = 1
        items: list[Item] = []
        revision: int | None = None
        while True:
            _, body = await self._call("GET", "/kv-range", query)
            items += [_item(raw) for raw in body["items"]]
            # Changes after the first page may be missing, so a watch starts there.
            revision = body["currentRev"] if revision is None else revision
            if not body.get("hasMore") or not body["items"]:
                return Page(tuple(items), int(revision))
            query["after"] = items[-1].key

    async def watch(self, prefix: str, *, after: int, wait_ms: int) -> WatchResult:
        """Wait for changes under a prefix.

        Args:
            prefix: start of the keys.
            after: the revision after which changes count.
            wait_ms: how long the store may wait for the first change.
        """
        query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
        limit_s = wait_ms / 1000 + WATCH_GRACE_S
        _, body = await self._call("GET", "/kv-watch", query, limit_s=limit_s)
        events = tuple(
            RemovedItem(raw["key"], raw["revision"])
            if raw.get("tombstone")
            else _item(raw)
            for raw in body["events"]
        )
        return WatchResult(events, int(body["currentRev"]))

    async def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write one key without a condition; returns the revision."""
        encoded = base64.b64encode(value).decode()
        put = {"key": key, "value": encoded, "lease": lease}
        _, body = await self._call(
            "POST", "/kv-txn", body={"expect": [], "puts": [put], "deletes": []}
        )
        return int(body["revision"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Create a lease and return its id."""
        _, body = await self._call("POST", "/kv-lease", body={"ttlMs": ttl_ms})
        return int(body["lease"])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; it runs from the arrival of the call."""
        await self._call("POST", f"/kv-keep/{lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", ok=(200, 204, 404))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: dict[str, Any] | None = None,
        ok: tuple[int, ...] = (200, 204),
        limit_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        self.call_count += 1
        url = self._url + path
        if query:
            url += "?" + urlencode(query, safe="/", quote_via=quote)
        content = b"" if body is None else json.dumps(body).encode()
        headers = [(b"content-type", b"application/json")] if content else []
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": limit_s,
            "write": CALL_TIMEOUT_S,
        }
        try:
            response = await self._pool.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            reason = type(error).__name__
            raise StoreError(
                StoreErrorKind.UNREACHABLE, f"{method} {path}: {reason}"
            ) from error
        if response.status not in ok:
            kind = _STATUS_KINDS.get(response.status, StoreErrorKind.NONSENSE)
            raise StoreError(kind, f"{method} {path}: status {response.status}")
        try:
            document = json.loads(response.content) if response.content else {}
        except ValueError as error:
            raise StoreError(
                StoreErrorKind.NONSENSE, f"{method} {path}: not JSON"
            ) from error
        return response.status, document


def _item(raw: dict[str, Any]) -> Item:
    return Item(raw["key"], base64.b64decode(raw["value"]), int(raw["revision"]))
