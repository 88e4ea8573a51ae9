"""A stand-in for a replica on the users' platform; its answers carry a seal header."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

import trio

from tests.standins.http import Connection, GoneError, Request

WHOLE = b"done"

PAUSE_CHECK_S = 0.02
"""Time between checks whether a pause has ended, in seconds."""

FLOOD_PIECE_BYTES = 65_536
"""Size of one piece of a flood, in bytes."""


class Run(NamedTuple):
    """One request that a replica began to execute; the time is in seconds."""

    attempt: str
    replica: str
    headers: dict[str, str]
    target: str
    at_s: float
    is_unframed: bool = False


class ReplicaStandIn:
    """Answers with a seal, and records the requests that it executed.

    Faults, by ``mode``: ``break`` closes the connection in the middle of the answer;
    ``mute`` executes and does not answer; ``fail`` executes and answers 500;
    ``garbage`` sends bytes that are not HTTP; ``late`` sends a second answer after
    the first; ``full`` refuses requests without executing them; ``unframed`` answers
    with neither a length nor chunks, and ends with the connection; ``torn`` stops
    inside an event and ends its chunks; ``flood`` sends line feeds without end.

    While ``is_paused`` it goes on running requests and sends nothing.  Its answers are
    ``whole``, and the data of an event has the attempt's id and ``padding``.

    Args:
        replica_id: the id under which it registers.
        event_count: number of events of a stream.
        event_ms: time between events.
        work_ms: time that an answer without a stream takes.
        zone: the zone that it registers.
        idle_s: after which time it states to close idle connections, 0 for none.
    """

    def __init__(
        self,
        replica_id: str,
        *,
        event_count: int = 5,
        event_ms: float = 20.0,
        work_ms: float = 0.0,
        zone: str = "z1",
        idle_s: int = 0,
    ) -> None:
        self.idle_s = idle_s
        self.zone = zone
        self.replica_id = replica_id
        self.event_count = event_count
        self.event_ms = event_ms
        self.work_ms = work_ms
        self.mode = ""
        self.whole = WHOLE
        self.padding = ""
        self.is_paused = False
        self.attempt_ids: list[str] = []
        self.runs: list[Run] = []

    def entry(self, address: str, *, service: str, state: str = "ready") -> bytes:
        """Return the registration entry of the replica."""
        fields = {
            "service": service,
            "address": address,
            "zone": self.zone,
            "slots": 4,
            "state": state,
        }
        return json.dumps(fields).encode()

    async def handle(self, connection: Connection, request: Request) -> None:
        """Serve one request."""
        if request.headers.get("x-expect-instance") != self.replica_id:
            await connection.send_head(
                421, {"x-not-executed": "1", "content-length": "0"}
            )
            await connection.finish()
            return
        if self.mode == "full":
            await connection.send_head(
                503, {"x-not-executed": "1", "content-length": "0"}
            )
            await connection.finish()
            return
        attempt = request.headers["x-attempt-id"]
        self.attempt_ids.append(attempt)
        at_s = trio.current_time()
        self.runs.append(
            Run(
                attempt,
                self.replica_id,
                request.headers,
                request.target,
                at_s,
                is_unframed=self.mode == "unframed",
            )
        )
        await _MODES.get(self.mode, ReplicaStandIn._answer)(self, connection, request)

    async def _answer(self, connection: Connection, request: Request) -> None:
        if request.target.startswith("/advice/"):
            await self._stream(connection, request, self.event_count)
            await connection.finish()
            return
        await trio.sleep(self.work_ms / 1000)
        await self._wait_while_paused()
        await connection.send_head(
            200,
            {
                **self._answer_headers(request),
                "content-length": str(len(self.whole)),
            },
        )
        await connection.send_chunk(self.whole)
        await connection.finish()

    async def _stream(
        self, connection: Connection, request: Request, last: int
    ) -> None:
        lines = {**self._answer_headers(request), "content-type": "text/event-stream"}
        await self._wait_while_paused()
        await connection.send_head(200, lines)
        async for event in self._events(request, last):
            await connection.send_chunk(event)

    async def _events(self, request: Request, last: int) -> AsyncIterator[bytes]:
        attempt = request.headers["x-attempt-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, last + 1):
            await self._wait_while_paused()
            yield f"id: {number}\ndata: {attempt}{self.padding}\n\n".encode()
            await trio.sleep(self.event_ms / 1000)

    async def _wait_while_paused(self) -> None:
        while self.is_paused:
            await trio.sleep(PAUSE_CHECK_S)

    async def _break(self, connection: Connection, request: Request) -> None:
        if request.target.startswith("/advice/"):
            await self._stream(connection, request, self.event_count // 2)
        await trio.aclose_forcefully(connection.stream)
        raise GoneError

    async def _torn(self, connection: Connection, request: Request) -> None:
        last = self.event_count // 2
        await self._stream(connection, request, last)
        await connection.send_chunk(f"id: {last + 1}\nda".encode())
        await connection.finish()

    async def _flood(self, connection: Connection, request: Request) -> None:
        await self._stream(connection, request, 0)
        while True:
            await connection.send_chunk(b"\n" * FLOOD_PIECE_BYTES)

    async def _mute(self, connection: Connection, request: Request) -> None:
        await connection.wait_closed()
        raise GoneError

    async def _fail(self, connection: Connection, request: Request) -> None:
        await connection.send_head(
            500, {**self._answer_headers(request), "content-length": "0"}
        )
        await connection.finish()

    async def _garbage(self, connection: Connection, request: Request) -> None:
        await connection.stream.send_all(b"\x00\x01 what is this\r\n\r\n")
        await trio.aclose_forcefully(connection.stream)
        raise GoneError

    async def _late(self, connection: Connection, request: Request) -> None:
        await self._answer(connection, request)
        await connection.stream.send_all(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: other\r\nx-response-seal: x\r\n"
            b"content-length: 5\r\n\r\nwrong"
        )

    async def _unframed(self, connection: Connection, request: Request) -> None:
        is_stream = request.target.startswith("/advice/")
        lines = self._answer_headers(request)
        if is_stream:
            lines["content-type"] = "text/event-stream"
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        send = connection.stream.send_all
        await self._wait_while_paused()
        try:
            await send(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
            if is_stream:
                async for event in self._events(request, self.event_count):
                    await send(event)
            else:
                await send(WHOLE)
            await connection.stream.aclose()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise GoneError from error
        raise GoneError

    def _answer_headers(self, request: Request) -> dict[str, str]:
        lines = {
            "x-attempt-id": request.headers["x-attempt-id"],
            "x-response-seal": f"seal-{self.replica_id}",
        }
        return lines | ({"keep-alive": f"timeout={self.idle_s}"} if self.idle_s else {})


_Answerer = Callable[[ReplicaStandIn, Connection, Request], Awaitable[None]]

_MODES: dict[str, _Answerer] = {
    "break": ReplicaStandIn._break,
    "mute": ReplicaStandIn._mute,
    "fail": ReplicaStandIn._fail,
    "garbage": ReplicaStandIn._garbage,
    "late": ReplicaStandIn._late,
    "torn": ReplicaStandIn._torn,
    "flood": ReplicaStandIn._flood,
    "unframed": ReplicaStandIn._unframed,
}
