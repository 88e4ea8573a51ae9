"""Client of the key-value service, over the JSON gateway of etcd's v3 API."""

import base64
import json
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from typing import Any, Self

import httpcore

from hemlocktrestle.adapters._pooled import EXCHANGE_FAILURES, PooledClient
from hemlocktrestle.documents import parse_json
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    Compare,
    KeyValue,
    Put,
    Snapshot,
    TxnResult,
    WatchBatch,
)
from hemlocktrestle.timers import Checkpointer

IO_TIMEOUT_S = 2.0
"""Timeout of the connect, and of each read and write of a call, in seconds."""

WATCH_READ_TIMEOUT_S = 15.0
"""Time without received data after which a watch counts as dead, in seconds."""

LINE_BYTES_MAX = 16 * 1024 * 1024
"""Longest line of a watch, in bytes: changes of values of up to a megabyte each."""

_FAILURES = (*EXCHANGE_FAILURES, ValueError)

_OTHER_FORMS = (ValueError, KeyError, TypeError, AttributeError, OverflowError)
"""Errors of reading an answer that has another form than the API states."""


def _encode(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def _range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return _encode(bytes(data))


def _key_value(fields: dict[str, Any]) -> KeyValue:
    return KeyValue(
        base64.b64decode(fields["key"]).decode(),
        base64.b64decode(fields.get("value", "")),
        int(fields.get("mod_revision", 0)),
    )


def _put_request(put: Put) -> dict[str, Any]:
    if put.value is None:
        return {"request_delete_range": {"key": _encode(put.key)}}
    request: dict[str, Any] = {"key": _encode(put.key), "value": _encode(put.value)}
    if put.lease_id:
        request["lease"] = str(put.lease_id)
    return {"request_put": request}


class EtcdStore(PooledClient):
    """A client of the key-value service.

    Use as an asynchronous context manager, which closes its connections.

    Args:
        address: host and port of the service.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        super().__init__(
            httpcore.AsyncConnectionPool(
                max_connections=64, keepalive_expiry=5.0, retries=0
            )
        )
        self._unpooled = httpcore.AsyncConnectionPool(
            max_connections=64, max_keepalive_connections=0, retries=0
        )

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        await self._stack.enter_async_context(self._unpooled)
        return self

    async def read(self, prefix: str, *, is_prefix: bool = False) -> Snapshot:
        """Read one key, or all keys with a prefix; see the port."""
        body: dict[str, Any] = {"key": _encode(prefix)}
        if is_prefix:
            body["range_end"] = _range_end(prefix)
        return await self._range(body)

    async def read_page(
        self, prefix: str, *, after: str = "", limit_count: int
    ) -> Snapshot:
        """Read the first keys with a prefix after a key; see the port."""
        first = after + "\0" if after else prefix
        body = {
            "key": _encode(first),
            "range_end": _range_end(prefix),
            "limit": str(limit_count),
        }
        return await self._range(body)

    async def write(
        self, compares: Sequence[Compare], puts: Sequence[Put]
    ) -> TxnResult:
        """Apply all writes if all conditions hold; see the port."""
        body = {
            "compare": [
                {
                    "key": _encode(compare.key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(compare.mod_revision),
                }
                for compare in compares
            ],
            "success": [_put_request(put) for put in puts],
            "failure": [
                {"request_range": {"key": _encode(compare.key)}} for compare in compares
            ],
        }
        answer = await self._call("/v3/kv/txn", body)
        with _reading_answer():
            is_applied = bool(answer.get("succeeded", False))
            found: list[KeyValue] = []
            if not is_applied:
                for response in answer.get("responses", []):
                    kvs = response.get("response_range", {}).get("kvs", [])
                    found += [_key_value(fields) for fields in kvs]
            revision = int(answer["header"]["revision"])
            return TxnResult(is_applied, revision, tuple(found))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease; see the port."""
        answer = await self._repeatable_call("/v3/lease/grant", {"TTL": str(ttl_s)})
        with _reading_answer():
            return int(answer["ID"])

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; see the port."""
        answer = await self._repeatable_call(
            "/v3/lease/keepalive", {"ID": str(lease_id)}
        )
        with _reading_answer():
            return int(answer.get("result", {}).get("TTL", 0)) > 0

    @asynccontextmanager
    async def watch(
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[AsyncIterator[WatchBatch]]:
        """Follow writes below a prefix; see the port."""
        body = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _range_end(prefix),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        timeouts = {
            "connect": IO_TIMEOUT_S,
            "pool": IO_TIMEOUT_S,
            "write": IO_TIMEOUT_S,
            "read": WATCH_READ_TIMEOUT_S,
        }
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    self._pool.stream(
                        "POST",
                        f"http://{self._address}/v3/watch",
                        headers=[("content-type", "application/json")],
                        content=json.dumps(body).encode(),
                        extensions={"timeout": timeouts},
                    )
                )
            except _FAILURES as error:
                raise _unavailable(error) from error
            yield _batches(response)

    async def _range(self, body: dict[str, Any]) -> Snapshot:
        answer = await self._repeatable_call("/v3/kv/range", body)
        with _reading_answer():
            return Snapshot(
                int(answer["header"]["revision"]),
                tuple(_key_value(fields) for fields in answer.get("kvs", [])),
            )

    async def _repeatable_call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make a call that may be made twice, the second time on a new connection.

        A pooled connection may have fallen silent while new ones work.
        """
        try:
            return await self._call(path, body)
        except RequestError as error:
            if not isinstance(error.__cause__, httpcore.TimeoutException):
                raise
        return await self._call(path, body, pool=self._unpooled)

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        *,
        pool: httpcore.AsyncConnectionPool | None = None,
    ) -> dict[str, Any]:
        timeouts = dict.fromkeys(("connect", "pool", "write", "read"), IO_TIMEOUT_S)
        try:
            response = await (pool or self._pool).request(
                "POST",
                f"http://{self._address}{path}",
                headers=[("content-type", "application/json")],
                content=json.dumps(body).encode(),
                extensions={"timeout": timeouts},
            )
            if response.status != 200:
                raise ValueError("status is not 200")
            answer = _parse(response.content)
            if not isinstance(answer, dict):
                raise ValueError("answer is no object")
        except _FAILURES as error:
            raise _unavailable(error) from error
        return answer


async def _batches(response: httpcore.Response) -> AsyncIterator[WatchBatch]:
    try:
        async for line in _lines(response):
            if line.strip():
                with _reading_answer():
                    batch = _batch(_parse(line))
                yield batch
    except _FAILURES as error:
        raise _unavailable(error) from error
    raise RequestError(ErrorKind.STORE_UNAVAILABLE, "watch ended")


async def _lines(response: httpcore.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a body; other tasks run between those of one piece."""
    checkpointer = Checkpointer()
    unfinished = bytearray()
    async for piece in response.aiter_stream():
        first, *others = piece.split(b"\n")
        unfinished += first
        for line in others:
            await checkpointer.step()
            yield bytes(unfinished)
            unfinished = bytearray(line)
        if len(unfinished) > LINE_BYTES_MAX:
            raise ValueError("line is too large")


def _batch(answer: dict[str, Any]) -> WatchBatch:
    result = answer["result"]
    if result.get("canceled"):
        raise ValueError("watch was cancelled")
    return WatchBatch(
        int(result["header"]["revision"]),
        tuple(_key_value(event["kv"]) for event in result.get("events", [])),
    )


def _parse(data: bytes) -> Any:
    return parse_json(
        data, source="answer of the store", kind=ErrorKind.STORE_UNAVAILABLE
    )


@contextmanager
def _reading_answer() -> Iterator[None]:
    """Turn an answer of another form into an error of the store."""
    try:
        yield
    except _OTHER_FORMS as error:
        raise _unavailable(error) from error


def _unavailable(error: Exception) -> RequestError:
    reason = type(error).__name__
    return RequestError(ErrorKind.STORE_UNAVAILABLE, f"store gave no answer: {reason}")
