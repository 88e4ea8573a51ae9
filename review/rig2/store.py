"""A stand-in for the store of the platform, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from review.rig2.http import message, read_body, read_head

LEASE_CHECK_S = 0.05
"""Time between checks for leases that have ended, in seconds."""

PAGE_COUNT = 500
"""Most items of one page."""


class Item(NamedTuple):
    """Value, revision, revision of the creation and lease of one key."""

    value: str
    revision: int
    created: int
    lease: int


class _Lost(Exception):  # noqa: N818
    """The answer to a call is lost."""


class Store:
    """Keys, leases, ranges and watches in memory.

    ``late_s`` is asked for each write of the system: a number of seconds loses its
    answer and carries it out so much later, ``None`` serves it at once.
    """

    def __init__(self, note: Callable[..., None]) -> None:
        self.items: dict[str, Item] = {}
        self.late_s: Callable[[dict[str, Any]], float | None] = lambda body: None
        self.write_count = 0
        self._note = note
        self._revision = 100
        self._events: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, int]] = {}
        self._next_lease = 7_000
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> str:
        """Listen; return the address."""
        server = await asyncio.start_server(self._serve, host, 0, backlog=1024)
        self._spawn(self._end_leases())
        port = server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    def write(self, key: str, document: Any) -> None:
        """Write a key as the operator or a replica does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([{"key": key, "value": value, "lease": 0}], [])

    def read(self, key: str) -> Any:
        """Return the document of a key, ``None`` if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item.value))

    def delete(self, key: str) -> None:
        """Remove a key as the operator or the platform does."""
        self._apply([], [key])

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _end_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            for lease, (until, _) in list(self._leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self._note("store: lease ended", lease=lease, keys=keys)
            self._apply([], keys)

    def _apply(self, puts: list[dict[str, Any]], deletes: list[str]) -> int:
        self._revision += 1
        for put in puts:
            known = self.items.get(put["key"])
            created = known.created if known else self._revision
            item = Item(put["value"], self._revision, created, put.get("lease") or 0)
            self.items[put["key"]] = item
            self._events.append(_shown(put["key"], item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self._revision, "tombstone": True}
                self._events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self._revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head.first.split(" ")
                body = await read_body(reader, head.headers)
                status, found = await self._answer(method, target, body)
                data = json.dumps(found).encode()
                headers = {
                    "content-type": "application/json",
                    "content-length": str(len(data)),
                }
                writer.write(message(f"HTTP/1.1 {status} Any", headers, data))
                await writer.drain()
        except _Lost:
            # Nothing further comes on this connection.
            await reader.read()
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, data: bytes
    ) -> tuple[int, dict[str, Any]]:
        url = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        body = json.loads(data) if data else {}
        name = url.path.split("/")[1]
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return await self._write(body)
        if name == "kv-key":
            item = self.items.get(query["key"])
            shown = _shown(query["key"], item) if item else {}
            return 200 if item else 404, {**shown, "currentRev": self._revision}
        if name == "kv-range":
            return 200, self._range(query)
        return self._use_lease(name, url.path.split("/")[-1], body)

    def _use_lease(
        self, name: str, word: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if name == "kv-lease":
            self.write_count += 1
            self._next_lease += 1
            until = time.monotonic() + body["ttlMs"] / 1000
            self._leases[self._next_lease] = until, body["ttlMs"]
            return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
        lease = int(word)
        if lease not in self._leases:
            return 404, {}
        if name == "kv-keep":
            ttl_ms = self._leases[lease][1]
            self._leases[lease] = time.monotonic() + ttl_ms / 1000, ttl_ms
            return 200, {"ttlMs": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [_shown(key, self.items[key]) for key in keys[:PAGE_COUNT]],
            "hasMore": len(keys) > PAGE_COUNT,
            "currentRev": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "currentRev": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    async def _write(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.write_count += 1
        late_s = self.late_s(body)
        if late_s is not None:
            self._spawn(self._write_late(body, late_s))
            raise _Lost
        return self._write_now(body)

    async def _write_late(self, body: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        status, _ = self._write_now(body)
        keys = [put["key"] for put in body.get("puts", [])]
        self._note("store: late write carried out", status=status, keys=keys)

    def _write_now(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        expected = body.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                known = [row["key"] for row in expected if row["key"] in self.items]
                return 412, {"items": [_shown(key, self.items[key]) for key in known]}
        puts = body.get("puts", [])
        leases = {put.get("lease") or 0 for put in puts} - {0}
        if leases - self._leases.keys():
            return 404, {}
        return 200, {"revision": self._apply(puts, body.get("deletes", []))}


def _shown(key: str, item: Item) -> dict[str, Any]:
    return {"key": key, **item._asdict()}
