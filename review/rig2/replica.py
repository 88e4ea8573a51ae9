"""A stand-in for a replica; it runs what names it, and records each run."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from review.rig2.http import Head, message, read_body, read_head
from review.rig2.store import Store


class Replica:
    """One sound replica.

    Subclasses change how a request is answered.

    Args:
        name: its id.
        service: its service.
        note: writes to the record.
        slots: requests that it states to serve at once.
        work_s: time that a request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        note: Callable[..., None],
        *,
        slots: int = 15,
        work_s: float = 0.05,
    ) -> None:
        self.name = name
        self.service = service
        self.note = note
        self.slots = slots
        self.work_s = work_s
        self.address = ""
        self.version = "v1"
        self.born = 1_700_000_000_000
        self.runs: list[tuple[float, dict[str, str]]] = []
        """When each run began, and the header lines of its request."""

    async def start(self, host: str) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, host, 0, backlog=1024)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def register(self, store: Store, *, state: str = "ready") -> None:
        """Write the entry of this replica."""
        store.write(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": "nw-a",
                "version": self.version,
                "slots": self.slots,
                "state": state,
                "coldRemainingMs": 0,
                "callSeq": 0,
                "born": self.born,
            },
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                if head.headers.get("x-expect-instance", self.name) != self.name:
                    headers = {"x-instance-id": self.name, "x-not-executed": "1"}
                    headers["content-length"] = "0"
                    writer.write(message("HTTP/1.1 421 Misdirected", headers))
                    return
                if not await self.handle(head, reader, writer):
                    return
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()

    def begin(self, head: Head) -> dict[str, str]:
        """Record a run; return the header lines of its answer."""
        self.runs.append((time.monotonic(), head.headers))
        attempt = head.headers["x-attempt-id"]
        self.note("replica: runs", replica=self.name, attempt=attempt)
        return {"x-attempt-id": attempt, "x-response-seal": f"seal.{attempt}"}

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection stays open."""
        await read_body(reader, head.headers)
        headers = self.begin(head)
        await asyncio.sleep(self.work_s)
        body = b"done"
        headers["content-length"] = str(len(body))
        headers["keep-alive"] = "timeout=5"
        writer.write(message("HTTP/1.1 200 OK", headers, body))
        await writer.drain()
        return True


class EngineReplica(Replica):
    """One sound language model replica, which answers with a stream."""

    events = 4

    def event(self, number: int, attempt: str) -> bytes:
        """Return one event of a stream."""
        return f"id: {number}\ndata: {attempt} piece {number}\n\n".encode()

    async def handle(
        self,
        head: Head,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request with a stream in chunks."""
        await read_body(reader, head.headers)
        headers = self.begin(head)
        headers["content-type"] = "text/event-stream"
        headers["transfer-encoding"] = "chunked"
        writer.write(message("HTTP/1.1 200 OK", headers))
        first = int(head.headers.get("last-event-id") or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.work_s)
            writer.write(chunk(self.event(number, head.headers["x-attempt-id"])))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def configuration(**changes: Any) -> dict[str, Any]:
    """Return a configuration as the page on messages shows one, with changes."""
    document: dict[str, Any] = {
        "version": 7,
        "routes": [
            {
                "name": "chat",
                "host": "app.example",
                "prefix": "/chat/",
                "kind": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": "llm",
                "attempts": 2,
                "public": False,
                "sessionAffinity": True,
                "streamResume": True,
                "targetGapMs": 250,
            },
            {
                "name": "draft",
                "host": "app.example",
                "prefix": "/draft/",
                "kind": "streaming",
                "timeoutMs": 15000,
                "targetLatencyMs": 500,
                "priority": 0,
                "service": "llm",
                "attempts": 1,
                "public": False,
                "sessionAffinity": True,
                "streamResume": False,
                "targetGapMs": 250,
            },
            {
                "name": "book",
                "host": "app.example",
                "prefix": "/book/",
                "kind": "non_idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 500,
                "priority": 2,
                "service": "app",
                "attempts": 1,
                "public": False,
            },
            {
                "name": "read",
                "host": "app.example",
                "prefix": "/read/",
                "kind": "idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 500,
                "priority": 2,
                "service": "app",
                "attempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "llm",
                "healthPath": "/health",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 15,
                    "kvCapacityTokens": 690875,
                    "stride": 6,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "app",
                "healthPath": "/health",
                "maxConns": 96,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "depot",
                "apiKeys": ["key-depot"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 221102,
                "burst": 221102,
            }
        ],
    }
    return document | changes
