"""HTTP client of the platform's key-value store."""

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
"""Prefix of the keys under which replicas register."""

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, in seconds.

The store usually answers within milliseconds, and a slow one within half a second.
"""

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection to the store, in seconds."""

WATCH_GRACE_S = 2.0
"""Time after the end of its own wait at which a watch call times out, in seconds."""

IDLE_TIMEOUT_S = 10.0
"""How long an idle connection is kept open, in seconds."""

CONNECTIONS_MAX = 8
"""Largest number of connections from one process to the store."""


KEEPALIVE_S = 1
"""TCP keepalive idle time and interval, in seconds.

A watch waits on a connection whose peer may have vanished without closing it; with
two keepalive probes the loss is detected within three seconds.
"""

_KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3 * KEEPALIVE_S * 1000),
]


class StoreErrorKind(Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    THROTTLED = "throttled"
    HISTORY_LOST = "history-lost"
    CONDITION_FAILED = "condition-failed"
    LEASE_ENDED = "lease-ended"
    MALFORMED = "nonsense"


class StoreError(Exception):
    """A failed call to the store.

    Args:
        kind: why it failed.
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
    """A key that was removed, with the store revision of the removal."""

    key: str
    revision: int


class Page(NamedTuple):
    """All items under a prefix, and the store revision of the first page read."""

    items: tuple[Item, ...]
    revision: int


class WatchResult(NamedTuple):
    """Changes under a prefix, and the revision after which to watch next."""

    events: tuple[Item | RemovedItem, ...]
    revision: int


class PlatformStore:
    """Client of the platform's store.

    Use as an asynchronous context manager, which closes its connections.  Every
    call raises :class:`StoreError` if it fails; a failed write may still have taken
    effect, or take effect later.

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
            keepalive_expiry=IDLE_TIMEOUT_S,
            retries=0,
            socket_options=_KEEPALIVE_OPTIONS,
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

    async def get(
        self, key: str, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> tuple[Item | None, int]:
        """Read one key.

        Args:
            key: the key.
            timeout_s: longest time without a byte of the answer, in seconds.

        Returns:
            The item, or ``None`` if the key is absent, and the store's revision.
        """
        status, body = await self._call(
            "GET",
            "/kv-key",
            {"key": key},
            ok=(200, 404),
            read_timeout_s=timeout_s,
        )
        revision = int(body.get("currentRev", 0))
        return (_item(body) if status == 200 else None), revision

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Page:
        """Read all keys under a prefix; the pages are not one consistent snapshot.

        Args:
            prefix: prefix of the keys.
            allow_stale: whether a result that is some seconds old is acceptable,
                which is charged at a tenth of the price.
        """
        query: dict[str, Any] = {"prefix": prefix}
        if allow_stale:
            query["staleOk"] = 1
        items: list[Item] = []
        revision: int | None = None
        while True:
            _, body = await self._call("GET", "/kv-range", query)
            items += [_item(raw) for raw in body["items"]]
            # Later pages may miss changes made after the first page was read, so a
            # watch has to start at the revision of the first page.
            revision = body["currentRev"] if revision is None else revision
            if not body.get("hasMore") or not body["items"]:
                return Page(tuple(items), int(revision))
            query["after"] = items[-1].key

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_ms: int,
        timeout_s: float = WATCH_GRACE_S,
    ) -> WatchResult:
        """Wait for changes under a prefix.

        Args:
            prefix: prefix of the keys.
            after: the revision after which changes are returned.
            wait_ms: how long the store may wait for the first change.
            timeout_s: how much later its answer may come, in seconds.
        """
        query = {"prefix": prefix, "after": after, "waitMs": wait_ms}
        limit_s = wait_ms / 1000 + timeout_s
        _, body = await self._call("GET", "/kv-watch", query, read_timeout_s=limit_s)
        events = tuple(
            RemovedItem(raw["key"], raw["revision"])
            if raw.get("tombstone")
            else _item(raw)
            for raw in body["events"]
        )
        return WatchResult(events, int(body["currentRev"]))

    async def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write one key unconditionally and return its revision."""
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
        """Renew a lease; its time starts anew when the store gets the call."""
        await self._call("POST", f"/kv-keep/{lease}")

    async def end_lease(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease}", ok=(200, 204, 404))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: dict[str, Any] | None = None,
        ok: tuple[int, ...] = (200, 204),
        read_timeout_s: float = CALL_TIMEOUT_S,
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
            "read": read_timeout_s,
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
            kind = _STATUS_KINDS.get(response.status, StoreErrorKind.MALFORMED)
            raise StoreError(kind, f"{method} {path}: status {response.status}")
        try:
            document = json.loads(response.content) if response.content else {}
        except ValueError as error:
            raise StoreError(
                StoreErrorKind.MALFORMED, f"{method} {path}: not JSON"
            ) from error
        return response.status, document


def _item(raw: dict[str, Any]) -> Item:
    return Item(raw["key"], base64.b64decode(raw["value"]), int(raw["revision"]))
