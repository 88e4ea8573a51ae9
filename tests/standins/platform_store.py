"""A stand-in for the store of the users' platform: keys, leases, ranges, watches."""

import base64
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import trio

from tests.standins.http import Connection, GoneError, Request

PAGE_COUNT = 3
"""Items per page; small, so that tests cover reads of more than one page."""


class Entry(NamedTuple):
    """Value, revision and lease of one key."""

    value: bytes
    revision: int
    lease: int


class StoreCopy(NamedTuple):
    """What a copy of the store holds: from it, the store comes back older."""

    revision: int
    entries: dict[str, Entry]
    events: tuple[tuple[str, int, bytes | None], ...]
    leases: frozenset[int]
    last_lease: int


class PlatformStoreStandIn:
    """Keys, leases and watches in memory, with faults that can be injected.

    Faults: ``status`` answers every call with that status; ``silent`` never answers;
    ``lose_answers`` applies that many writes and closes their connections before the
    answer; ``history_from`` is the oldest revision that watches can start from;
    ``garbage`` sends a body that is not JSON; ``on_answer`` may change the documents
    that are sent.
    ``delay_s`` delays every answer.
    ``era_text`` is the era that answers state; they state none before a restore.
    ``watched_count`` counts the changes that watches were sent.
    ``on_put`` may change the values that VMs write, such as the address in an entry,
    so that VMs reach each other through a relay.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.entries: dict[str, Entry] = {}
        self.events: list[tuple[str, int, bytes | None]] = []
        self.leases: set[int] = set()
        self.calls: list[str] = []
        self.watched_count = 0
        self.status = 0
        self.silent = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.history_from = 0
        self.garbage = False
        self.era = 0
        self.era_text = ""
        self.on_put: Callable[[str, bytes], bytes] = lambda key, value: value
        self.on_answer: Callable[[Any], Any] = lambda document: document
        self._last_lease = 70_000
        self._changed = trio.Event()

    def put(self, key: str, value: bytes, *, lease: int = 0) -> int:
        """Write a key as the operator or a replica does; returns the revision."""
        self.revision += 1
        self.entries[key] = Entry(value, self.revision, lease)
        self._note(key, value)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.entries.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        self.leases.discard(lease)
        for key, entry in list(self.entries.items()):
            if entry.lease == lease:
                self.remove(key)

    def forget(self) -> None:
        """Drop the history, and end the pending watches."""
        self.history_from = self.revision
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds."""
        return StoreCopy(
            self.revision,
            dict(self.entries),
            tuple(self.events),
            frozenset(self.leases),
            self._last_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: revisions and lease ids are given out again."""
        self.revision = copy.revision
        self.entries = dict(copy.entries)
        self.events = list(copy.events)
        self.leases = set(copy.leases)
        self._last_lease = copy.last_lease
        self.era += 1
        self.era_text = str(self.era)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection."""
        connection = Connection(stream)
        async with stream:
            try:
                while (request := await connection.next_request()) is not None:
                    if not await self._handle(connection, request):
                        return
                    connection.machine.start_next_cycle()
            except (GoneError, h11.ProtocolError, trio.BrokenResourceError):
                return

    async def _handle(self, connection: Connection, request: Request) -> bool:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.calls.append(f"{request.method} {url.path}")
        if self.silent:
            await connection.wait_closed()
            return False
        await trio.sleep(self.delay_s)
        if self.status:
            await connection.send_json({}, self.status, self._headers())
            return True
        if self.garbage:
            await connection.send_head(200, {"content-length": "3"})
            await connection.send_chunk(b"no!")
            await connection.finish()
            return True
        parts = url.path.strip("/").split("/")
        handler = getattr(self, "_" + parts[0].replace("-", "_"))
        answer = await handler(query, request, parts[1:])
        if answer is None:
            return False
        headers = self._headers()
        await connection.send_json(self.on_answer(answer[1]), answer[0], headers)
        return True

    def _headers(self) -> dict[str, str]:
        return {"store-era": self.era_text} if self.era_text else {}

    async def _kv_key(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        entry = self.entries.get(query["key"])
        if entry is None:
            return 404, {"currentRev": self.revision}
        return 200, {**_item(query["key"], entry), "currentRev": self.revision}

    async def _kv_range(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        items = [_item(key, self.entries[key]) for key in keys[:PAGE_COUNT]]
        has_more = len(keys) > PAGE_COUNT
        answer = {"items": items, "hasMore": has_more, "currentRev": self.revision}
        return 200, answer

    async def _kv_watch(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        after = int(query["after"])
        if not self.history_from <= after <= self.revision:
            return 410, {}
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while not self._since(query["prefix"], after):
                await self._changed.wait()
                if not self.history_from <= after <= self.revision:
                    return 410, {}
        events = self._since(query["prefix"], after)
        self.watched_count += len(events)
        return 200, {"events": events, "currentRev": self.revision}

    async def _kv_txn(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any] | None:
        body = request.json()
        found = {row["key"]: self.entries.get(row["key"]) for row in body["expect"]}
        for row in body["expect"]:
            entry = found[row["key"]]
            if row["revision"] != (entry.revision if entry else 0):
                items = [_item(key, entry) for key, entry in found.items() if entry]
                return 412, {"items": items}
        for key in body["deletes"]:
            self.remove(key)
        for row in body["puts"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
            value = self.on_put(row["key"], base64.b64decode(row["value"]))
            self.put(row["key"], value, lease=row["lease"])
        if self.lose_answers:
            self.lose_answers -= 1
            return None
        return 200, {"revision": self.revision}

    async def _kv_lease(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        self._last_lease += 1
        lease = self._last_lease
        self.leases.add(lease)
        return 200, {"lease": lease, "ttlMs": request.json()["ttlMs"]}

    async def _kv_keep(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        return (200, {"ttlMs": 1}) if int(rest[0]) in self.leases else (404, {})

    async def _kv_lease_end(
        self, query: dict[str, str], request: Request, rest: list[str]
    ) -> tuple[int, Any]:
        lease = int(rest[0])
        if lease not in self.leases:
            return 404, {}
        self.end_lease(lease)
        return 200, {}

    def _note(self, key: str, value: bytes | None) -> None:
        self.events.append((key, self.revision, value))
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            {"key": key, "revision": revision, "tombstone": True}
            if value is None
            else _item(key, Entry(value, revision, 0))
            for key, revision, value in self.events
            if revision > after and key.startswith(prefix)
        ]


def _item(key: str, entry: Entry) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.revision,
        "lease": entry.lease,
    }
