"""Stand-ins and helpers of the scripts of the third review.

They use the standard library only, and loopback addresses only.  The programs of the
project are started as the deploy file says, each as a process of its own.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
"""Root of the repository."""

HEAD_END = b"\r\n\r\n"

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "downgradeSlackMs": 250,
    "maxStretchMs": 6000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 140000,
    "recoveryS": 12,
    "passMs": 300,
    "reuseWindowS": 10,
}
"""The bounds of the deployment ``taa-safi``, as its sheet states them."""

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Record:
    """What was sent, answered and run, in the order of time.

    Args:
        path: the file that is written at the end.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began_s

    def note(self, what: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now_s():8.3f} {what}")

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


class Message(NamedTuple):
    """A request or an answer; ``is_whole`` tells whether all of it came."""

    first: str
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status code of an answer, 0 if there is none."""
        parts = self.first.split()
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one request or answer; ``None`` if the connection ends before its head."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return Message(first, headers, body, is_whole=False)
    return Message(first, headers, body)


def head_bytes(status: int, lines: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    return f"HTTP/1.1 {status} X\r\n{text}\r\n".encode()


Connected = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(handle: Connected, host: str = "127.0.0.1", port: int = 0) -> str:
    """Serve connections on loopback; return the address."""

    async def guarded(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handle(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, host, port, backlog=1024)
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


class Item(NamedTuple):
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's store, as ``PROTOCOL.md`` describes it.

    Args:
        record: gets a line for each write of the system.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.items: dict[str, Item] = {}
        self._events: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, tuple[int, asyncio.TimerHandle]] = {}
        self._numbers = itertools.count(77001)
        self._revision = 100
        self._changed = asyncio.Event()
        self.address = ""
        self.last_writer = ""
        """The machine that wrote last, of those with an address of their own."""
        self.watched_s: dict[tuple[str, str], float] = {}
        """When each machine began its last watch of each prefix."""
        self.late_put: Callable[[str], float | None] = lambda key: None
        """Returns after how many seconds a write is done whose answer is lost."""
        self.route: Callable[[str, bytes], bytes] = lambda reader, value: value
        """Plays the network of one reader: leads it to a proxy before an address."""

    async def start(self) -> None:
        """Start to serve."""
        self.address = await self.address_for("")

    async def address_for(self, reader: str) -> str:
        """Return an address of the store for one machine, or for all."""
        return await listen(partial(self._serve, reader))

    def put(self, key: str, document: Any) -> None:
        """Write a document, as the operator or a replica does."""
        self._put(key, json.dumps(document).encode(), 0)

    def remove(self, key: str) -> None:
        """Remove a key, as its writer does or the end of its lease."""
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._note(key, None)

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        return sorted(key for key in self.items if key.startswith(prefix))

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self._revision += 1
        known = self.items.get(key)
        created = known.created if known else self._revision
        self.items[key] = Item(value, self._revision, created, lease)
        self._note(key, self.items[key])

    def _note(self, key: str, item: Item | None) -> None:
        self._events.append((self._revision, key, item))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_message(reader)) is not None:
            _, target, _ = request.first.split()
            url = urlsplit(target)
            query = {field: found[0] for field, found in parse_qs(url.query).items()}
            call, _, rest = url.path.strip("/").partition("/")
            handler = getattr(self, "_" + call.replace("-", "_"))
            body = json.loads(request.body or b"{}")
            if call == "kv-txn":
                self.last_writer = name
            if call == "kv-watch":
                self.watched_s[name, query["prefix"]] = time.monotonic()
            answer = await handler(query, body, rest)
            if answer is None:
                # A connection on which a response is lost returns nothing further.
                await asyncio.sleep(3600)
            for item in (answer[1], *answer[1].get("items", ())):
                if "value" in item:
                    value = base64.b64decode(item["value"])
                    item["value"] = _text(self.route(name, value))
            data = json.dumps(answer[1]).encode()
            lines = {
                "content-type": "application/json",
                "content-length": str(len(data)),
            }
            writer.write(head_bytes(answer[0], lines) + data)
            await writer.drain()

    async def _kv_key(self, query: Any, body: Any, rest: str) -> Any:
        item = self.items.get(query["key"])
        if item is None:
            return 404, {"currentRev": self._revision}
        return 200, {**_shown(query["key"], item), "currentRev": self._revision}

    async def _kv_range(self, query: Any, body: Any, rest: str) -> Any:
        keys = [k for k in self.keys(query["prefix"]) if k > query.get("after", "")]
        items = [_shown(key, self.items[key]) for key in keys]
        return 200, {"items": items, "hasMore": False, "currentRev": self._revision}

    async def _kv_watch(self, query: Any, body: Any, rest: str) -> Any:
        after, until_s = int(query["after"]), int(query["waitMs"]) / 1000
        until_s += time.monotonic()
        while True:
            found = [
                event
                for event in self._events
                if event[0] > after and event[1].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        events = [
            _shown(key, item)
            if item is not None
            else {"key": key, "revision": revision, "tombstone": True}
            for revision, key, item in found
        ]
        return 200, {"events": events, "currentRev": self._revision}

    async def _kv_txn(self, query: Any, body: Any, rest: str) -> Any:
        rows = [*body.get("puts", []), *[{"key": key} for key in body["deletes"]]]
        delays_s = [self.late_put(row["key"]) for row in rows]
        delay_s = next((found for found in delays_s if found is not None), None)
        if delay_s is not None:
            keys = [row["key"] for row in rows]
            self._record.note(f"store: answer lost, done {delay_s} s later: {keys}")
            asyncio.get_running_loop().call_later(delay_s, self._apply, body)
            return None
        return self._apply(body)

    def _apply(self, body: Any) -> Any:
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item.revision if item else 0):
                return 412, {"items": [_shown(row["key"], item)] if item else []}
        puts = body.get("puts", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in puts):
            return 404, {}
        for key in body.get("deletes", []):
            self._record.note(f"store: {key} is deleted")
            self.remove(key)
        for row in puts:
            value = base64.b64decode(row["value"])
            self._record.note(f"store: {row['key']} is put, lease {row.get('lease')}")
            self._put(row["key"], value, row.get("lease", 0))
        return 200, {"revision": self._revision}

    async def _kv_lease(self, query: Any, body: Any, rest: str) -> Any:
        lease = next(self._numbers)
        self._keep(lease, body["ttlMs"])
        return 200, {"lease": lease, "ttlMs": body["ttlMs"]}

    async def _kv_keep(self, query: Any, body: Any, rest: str) -> Any:
        lease = int(rest)
        if lease not in self._leases:
            return 404, {}
        ttl_ms = self._leases[lease][0]
        self._keep(lease, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    async def _kv_lease_end(self, query: Any, body: Any, rest: str) -> Any:
        if int(rest) not in self._leases:
            return 404, {}
        self._end(int(rest))
        return 200, {}

    def _keep(self, lease: int, ttl_ms: int) -> None:
        if lease in self._leases:
            self._leases[lease][1].cancel()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(ttl_ms / 1000, self._end, lease)
        self._leases[lease] = ttl_ms, timer

    def _end(self, lease: int) -> None:
        self._leases.pop(lease)[1].cancel()
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self._record.note(f"store: lease {lease} ends, {key} is removed")
            self.remove(key)


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _shown(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": key,
        "value": _text(item.value),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


class Run(NamedTuple):
    """A request that a replica began to work on."""

    at_s: float
    attempt: str
    replica: str
    tokens: int


class Replica:
    """A replica, as ``PROTOCOL.md`` describes it.

    Args:
        record: gets a line for each run.
        name: its id.
        service: its service.
        zone: its zone.
        slots: requests that it serves at once.
        work_s: how long it works on a request.
        event_count: events of its streams, 0 for plain answers.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        *,
        zone: str,
        slots: int,
        work_s: float,
        event_count: int = 0,
    ) -> None:
        self.name = name
        self.is_leaving = False
        self.hang_share = 0.0
        """Share of its requests that it runs and never answers."""
        self.runs: list[Run] = []
        self._luck = random.Random(name)
        self._record = record
        self.zone = zone
        self._service, self._slots = service, slots
        self._work_s = work_s
        self._event_count = event_count
        self._room = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._born_ms = int(time.time() * 1000)
        self.address = ""

    async def start(self) -> None:
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return its entry for the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "callSeq": 0,
            "born": self._born_ms,
        }

    def exit(self) -> None:
        """End, with the connections that are open."""
        self._record.note(f"replica {self.name} exits")
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole:
                    return
                await self._answer(request, reader, writer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _hang(self, reader: asyncio.StreamReader) -> None:
        """Do nothing until the connection is closed."""
        while await reader.read(4096):
            continue
        raise ConnectionResetError

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = {"X-Instance-Id": self.name}
        if self.is_leaving:
            lines["Server-Leaving"] = "1"
        if request.first.startswith("GET /health "):
            status = 503 if self.is_leaving else 200
            writer.write(head_bytes(status, {**lines, "Content-Length": "0"}))
            return
        if request.headers.get("x-expect-instance") != self.name:
            refusal = {**lines, "X-Not-Executed": "1", "Content-Length": "0"}
            writer.write(head_bytes(421, refusal))
            return
        attempt = request.headers["x-attempt-id"]
        lines |= {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{self.name}"}
        async with self._room:
            used = request.headers.get("x-token-usage", "0").split(",")
            run = Run(self._record.now_s(), attempt, self.name, sum(map(int, used)))
            self.runs.append(run)
            self._record.note(f"replica {self.name} runs {attempt}")
            if self._luck.random() < self.hang_share:
                await self._hang(reader)
                return
            if self._event_count:
                await self._stream(attempt, lines, writer)
                return
            await asyncio.sleep(self._work_s)
            writer.write(head_bytes(200, {**lines, "Content-Length": "4"}) + b"done")

    async def _stream(
        self, attempt: str, lines: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        lines |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(self._work_s / 2)
        writer.write(head_bytes(200, lines))
        for number in range(1, self._event_count + 1):
            data = f"id: {number}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self._work_s / 2 / self._event_count)
        writer.write(b"0\r\n\r\n")


class Proxy:
    """A path to an address, which can be cut or whose connections can go silent.

    Args:
        target: returns the address behind it.
    """

    def __init__(self, target: Callable[[], str]) -> None:
        self._target = target
        self._is_cut = False
        self._silent: set[object] = set()
        self._open: set[object] = set()
        self.address = ""
        self.to_target_s = self.from_target_s = 0.0
        """When bytes passed last, in each direction, by the monotonic clock."""

    async def start(self) -> None:
        """Start to take connections."""
        self.address = await listen(self._serve)

    def cut(self) -> None:
        """Let nothing pass, on open connections and on new ones."""
        self._is_cut = True
        self.silence()

    def heal(self) -> None:
        """Let new connections pass again; the old ones have been given up."""
        self._is_cut = False

    def silence(self) -> None:
        """Let nothing pass any more on the connections that are open now."""
        self._silent |= self._open

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        token = object()
        if self._is_cut:
            # Nothing answers behind a partition.
            await asyncio.sleep(3600)
        host, _, port = self._target().rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self._open.add(token)
        copies = [
            asyncio.create_task(self._copy(token, reader, far_writer, "to_target_s")),
            asyncio.create_task(self._copy(token, far_reader, writer, "from_target_s")),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            self._open.discard(token)
            far_writer.close()

    async def _copy(
        self,
        token: object,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        noted: str,
    ) -> None:
        try:
            while data := await source.read(65536):
                if token in self._silent:
                    await asyncio.sleep(3600)
                setattr(self, noted, time.monotonic())
                sink.write(data)
                await sink.drain()
            if token in self._silent:
                await asyncio.sleep(3600)
        except OSError:
            return


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Edge:
    """One process of the project, as the deploy file starts it.

    Args:
        folder: where its settings file lies.
        name: name of its machine.
        zone: its zone.
        host: the machine's address.
        zones: the regions by zone.
        store: the address at which it reaches the store.
        memory_mb: the memory of its process.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        zone: str,
        host: str,
        *,
        zones: dict[str, str],
        store: str,
        memory_mb: int = 300,
    ) -> None:
        self.name, self.zone = name, zone
        self.front = f"{host}:{free_port(host)}"
        self.ready = f"{host}:{free_port(host)}"
        self.peer_port = free_port(host)
        self.peers = f"{host}:{self.peer_port}"
        self._metrics_port = free_port(host)
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.last_lines = ""
        tables: dict[str, dict[str, Any]] = {
            "zones": zones,
            "listen": {"front": self.front, "readyAddr": self.ready},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "contractBounds": BOUNDS,
            "platformSettings": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        plain = {
            "nodeName": name,
            "role": "edge",
            "machineClass": "front",
            "serves": ["front"],
            "ipAddr": host,
            "zone": zone,
            "region": zones[zone],
            "internalPorts": [self.peer_port, self.peer_port],
            "seeds": [],
            "bootstrap": True,
            "faultCounted": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": CONTRACTS,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in plain.items()]
        for table, fields in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
        self._path.write_text("\n".join(lines) + "\n", encoding="utf-8")

    async def start(self) -> None:
        """Start its process."""
        kept = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "hemlocktrestle.edge"),
                *("--metrics-port", str(self._metrics_port)),
                cwd=ROOT,
                env={
                    **kept,
                    "HEMLOCKTRESTLE_SETTINGS": str(self._path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Ask for readiness, as the platform does."""
        answer = await ask(self.ready, "GET", "/ready", {"Host": "x"}, limit_s=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until it is ready.

        Raises:
            CannotRunError: it is not ready in time.
        """
        until_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise CannotRunError(f"{self.name} is not ready within {limit_s} s")
            await asyncio.sleep(0.1)

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
            text = self._log.read_text(encoding="utf-8", errors="replace")
            self.last_lines = text[-1000:]


PASSED_ON = ("PATH", "HOME", "JAVA_HOME", "LANG")
"""Variables of the caller that a process gets."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "quota",
    "platform",
]


class CannotRunError(Exception):
    """The case could not run."""


async def ask(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    *,
    body: bytes = b"",
    limit_s: float = 15.0,
) -> Message | None:
    """Send one request on a new connection; ``None`` if there is no answer."""
    host, _, port = address.rpartition(":")
    lines = {**headers}
    if body:
        lines["Content-Length"] = str(len(body))
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Case:
    """One run of a case.

    Args:
        folder: the folder of the case, which gets the record.
    """

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(self.record)
        self.edges: list[Edge] = []
        self.temporary = Path()


def run_case(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    """Run a case; return the exit code: 0 if the rule held, 1 if not, 2 otherwise.

    Args:
        folder: the folder of the case.
        play: plays it, and tells whether the rule held.
    """

    async def main() -> int:
        case = Case(folder)
        task = asyncio.current_task()
        if task is not None:
            # A case that is stopped ends the processes that it started, too.
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            with tempfile.TemporaryDirectory() as temporary:
                case.temporary = Path(temporary)
                try:
                    async with asyncio.timeout(115):
                        await case.store.start()
                        is_kept = await play(case)
                finally:
                    for edge in case.edges:
                        await edge.end()
                case.record.note(f"the rule {'held' if is_kept else 'was broken'}")
                return 0 if is_kept else 1
        except (Exception, asyncio.CancelledError):
            for edge in case.edges:
                case.record.note(f"{edge.name} wrote: {edge.last_lines}")
            case.record.note("the case could not run: " + traceback.format_exc())
            traceback.print_exc()
            return 2
        finally:
            case.record.write()

    return asyncio.run(main())


class Paths:
    """The network: a proxy for each machine before what it learns of from the store.

    A machine learns the address of another one, or of a replica, from the store; the
    network leads it to the proxy before it.

    Args:
        store: the store whose readers are led.
    """

    def __init__(self, store: Store) -> None:
        self.proxies: dict[tuple[str, str], Proxy] = {}
        store.route = self._route

    async def connect(self, reader: Edge, address: str) -> Proxy:
        """Let a machine reach an address by a proxy."""
        proxy = Proxy(lambda: address)
        await proxy.start()
        self.proxies[reader.name, address] = proxy
        return proxy

    def cut(self) -> None:
        """Cut all of them."""
        for proxy in self.proxies.values():
            proxy.cut()

    def silence(self) -> None:
        """Let the connections that are open go silent, on all of them."""
        for proxy in self.proxies.values():
            proxy.silence()

    def _route(self, reader: str, value: bytes) -> bytes:
        for (name, address), proxy in self.proxies.items():
            if name == reader:
                value = value.replace(_quoted(address), _quoted(proxy.address))
        return value


def _quoted(address: str) -> bytes:
    return json.dumps(address).encode()


def main(folder: Path, play: Callable[[Case], Awaitable[bool]]) -> None:
    """Run a case and exit with its code; any other error is no broken rule."""
    code = 2
    try:
        code = run_case(folder, play)
    except BaseException:
        traceback.print_exc()
    sys.exit(code)
