"""HTTP client of the platform's key-value store."""

import base64
import json
import socket
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any, Self
from urllib.parse import quote, urlencode

import httpcore
import trio

from hemlocktrestle.documents import parse_json
from hemlocktrestle.errors import RequestError
from hemlocktrestle.gateway import StoreRevision
from hemlocktrestle.platform._store_answers import (
    CHANGE,
    CHANGES,
    HEAD,
    LEASE,
    PAGE,
    WRITTEN,
    StoreAnswer,
    changes,
    checked,
    era_of,
    item_of,
)
from hemlocktrestle.platform._store_records import (
    Item,
    Lease,
    Page,
    StoreError,
    StoreErrorKind,
    WatchResult,
)
from hemlocktrestle.timers import Checkpointer

CONFIGURATION_KEY = "op/config"
"""Key of the operator's configuration."""

REGISTRATIONS_PREFIX = "servers/"
"""Prefix of the keys under which replicas register."""

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, in seconds.

The store usually answers within milliseconds, and a slow one within half a second.
"""

ANSWER_BYTES_MAX = 16 * 1024 * 1024
"""Largest answer that is read, in bytes: a page of values of up to a megabyte each."""

BODY_TIMEOUT_S = 10.0
"""Time in which the body of an answer must have come, in seconds."""

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


_STATUS_KINDS = {
    404: StoreErrorKind.LEASE_ENDED,
    410: StoreErrorKind.HISTORY_LOST,
    412: StoreErrorKind.CONDITION_FAILED,
    429: StoreErrorKind.THROTTLED,
    503: StoreErrorKind.REFUSED,
}


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
    ) -> tuple[Item | None, StoreRevision]:
        """Read one key.

        Args:
            key: the key.
            timeout_s: longest time without a byte of the answer, in seconds.

        Returns:
            The item, or ``None`` if the key is absent, and the store's revision.
        """
        call = "GET /kv-key"
        answer = await self._call(
            "GET",
            "/kv-key",
            {"key": key},
            ok=(200, 404),
            read_timeout_s=timeout_s,
        )
        number = checked(HEAD, answer.raw, call).get("currentRev", 0)
        revision = StoreRevision(answer.era, number)
        if answer.status != 200:
            return None, revision
        item = item_of(checked(CHANGE, answer.raw, call), answer.era)
        return (item if isinstance(item, Item) else None), revision

    async def list(self, prefix: str, *, allow_stale: bool = False) -> Page:
        """Read all keys under a prefix; the pages are not one consistent snapshot.

        Args:
            prefix: prefix of the keys.
            allow_stale: whether a result that is some seconds old is acceptable,
                which does not count toward the store's rate limit.

        Raises:
            StoreError: of kind ``RESTORED`` if the pages are of several eras.
        """
        query: dict[str, Any] = {"prefix": prefix}
        if allow_stale:
            query["staleOk"] = 1
        items: list[Item] = []
        revision: StoreRevision | None = None
        while True:
            answer = await self._call("GET", "/kv-range", query)
            body = checked(PAGE, answer.raw, "GET /kv-range")
            found = changes(body["items"], answer.era)
            items += [item for item in found if isinstance(item, Item)]
            # Later pages may miss changes made after the first page was read, so a
            # watch has to start at the revision of the first page.
            if revision is None:
                revision = StoreRevision(answer.era, body["currentRev"])
            if answer.era != revision.era:
                raise StoreError(
                    StoreErrorKind.RESTORED,
                    "GET /kv-range: pages of several eras",
                    era=answer.era,
                )
            if not body.get("hasMore") or not body["items"]:
                return Page(tuple(items), revision)
            if not found or query.get("after") == found[-1].key:
                raise StoreError(
                    StoreErrorKind.MALFORMED, "GET /kv-range: no next page"
                )
            query["after"] = found[-1].key

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
        answer = await self._call("GET", "/kv-watch", query, read_timeout_s=limit_s)
        body = checked(CHANGES, answer.raw, "GET /kv-watch")
        return WatchResult(
            tuple(changes(body["events"], answer.era)),
            StoreRevision(answer.era, body["currentRev"]),
        )

    async def put(self, key: str, value: bytes, *, lease: int = 0) -> StoreRevision:
        """Write one key unconditionally and return its revision."""
        return await self.write({key: value}, lease=lease)

    async def write(
        self,
        values: Mapping[str, bytes],
        *,
        expected: Mapping[str, int] | None = None,
        lease: int = 0,
    ) -> StoreRevision:
        """Write several keys together, and return their revision.

        Args:
            values: the values by key.
            expected: revisions that keys must have, 0 for one that must be absent;
                if one differs, nothing is written and the error is of kind
                ``CONDITION_FAILED``.
            lease: the lease of the keys, 0 for none.
        """
        puts = [
            {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
            for key, value in values.items()
        ]
        expect = [
            {"key": key, "revision": revision}
            for key, revision in (expected or {}).items()
        ]
        return await self._transact(expect=expect, puts=puts)

    async def delete(self, key: str, *, revision: StoreRevision) -> None:
        """Remove one key.

        Args:
            key: the key.
            revision: the revision of its value.

        Raises:
            StoreError: of kind ``CONDITION_FAILED`` if it has another value by now.
        """
        expected = {"key": key, "revision": revision.number}
        await self._transact(expect=[expected], deletes=[key])

    async def grant_lease(self, ttl_ms: int) -> Lease:
        """Create a lease."""
        answer = await self._call("POST", "/kv-lease", body={"ttlMs": ttl_ms})
        lease = checked(LEASE, answer.raw, "POST /kv-lease")["lease"]
        return Lease(lease, answer.era)

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease; its time starts anew when the store gets the call.

        Returns:
            The store's era.  If it is not the lease's, the lease that was renewed may
            be another one, to which its id was given since.
        """
        return (await self._call("POST", f"/kv-keep/{lease}")).era

    async def _transact(
        self,
        *,
        expect: Sequence[dict[str, Any]] = (),
        puts: Sequence[dict[str, Any]] = (),
        deletes: Sequence[str] = (),
    ) -> StoreRevision:
        body = {"expect": list(expect), "puts": list(puts), "deletes": list(deletes)}
        answer = await self._call("POST", "/kv-txn", body=body)
        number = checked(WRITTEN, answer.raw, "POST /kv-txn")["revision"]
        return StoreRevision(answer.era, number)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        *,
        body: dict[str, Any] | None = None,
        ok: tuple[int, ...] = (200, 204),
        read_timeout_s: float = CALL_TIMEOUT_S,
    ) -> StoreAnswer:
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
            async with self._pool.stream(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            ) as response:
                answered = await _read_body(response, f"{method} {path}")
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            reason = type(error).__name__
            raise StoreError(
                StoreErrorKind.UNREACHABLE, f"{method} {path}: {reason}"
            ) from error
        call = f"{method} {path}"
        era = era_of(response.headers, call)
        if response.status not in ok:
            kind = _STATUS_KINDS.get(response.status, StoreErrorKind.MALFORMED)
            raise StoreError(kind, f"{call}: status {response.status}", era=era)
        if not answered:
            return StoreAnswer(response.status, era, {})
        try:
            return StoreAnswer(response.status, era, parse_json(answered, source=call))
        except RequestError as error:
            raise StoreError(StoreErrorKind.MALFORMED, error.message) from error


async def _read_body(response: httpcore.Response, call: str) -> bytes:
    """Return the body of an answer.

    Raises:
        StoreError: if it does not end within bounds; the connection is closed.
    """
    body = bytearray()
    checkpointer = Checkpointer()
    with trio.move_on_after(BODY_TIMEOUT_S) as scope:
        async for piece in response.aiter_stream():
            await checkpointer.step()
            body += piece
            if len(body) > ANSWER_BYTES_MAX:
                raise StoreError(StoreErrorKind.MALFORMED, f"{call}: answer too large")
    if scope.cancelled_caught:
        raise StoreError(StoreErrorKind.UNREACHABLE, f"{call}: answer does not end")
    return bytes(body)
