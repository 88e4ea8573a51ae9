"""A stand-in for a replica that follows the users' protocol."""

import json
import time
from collections.abc import Callable
from contextlib import suppress

import trio

from tests.standins.http import (
    Connection,
    GoneError,
    Handler,
    Request,
    serve_connection,
)


class Replica:
    """Serves one request at a time on each connection, and records what arrives.

    Args:
        replica_id: its id.
        service: its service.
        zone: its zone.
        ip: the loopback address on which it listens.
        write: records what happened.
        work_ms: time that a request takes.
        crashes_on: tells whether a request crashes the replica that begins to run it.
        down_s: time after a crash in which it is down.
        keeps_id: whether it starts again under the id that it had.
        slots: requests that it serves at once.
        answers_with: answers in its own way, ``None`` for a sound answer.
    """

    def __init__(
        self,
        replica_id: str,
        service: str,
        zone: str,
        ip: str,
        write: Callable[..., None],
        *,
        work_ms: float = 30.0,
        crashes_on: Callable[[Request], bool] = lambda request: False,
        down_s: float = 3.0,
        keeps_id: bool = True,
        slots: int = 6,
        answers_with: Handler | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.arrivals: list[tuple[float, str]] = []
        self.token_runs: list[tuple[float, int]] = []
        self.crashes_s: list[float] = []
        self._ip = ip
        self._write = write
        self._work_ms = work_ms
        self._crashes_on = crashes_on
        self._down_s = down_s
        self._keeps_id = keeps_id
        self._slots = slots
        self._answers_with = answers_with
        self._first_id = replica_id
        self._start_count = 0
        self._port = 0
        self._scope = trio.CancelScope()
        self._born = int(time.time() * 1000)

    @property
    def key(self) -> str:
        """Key of its entry in the store."""
        return f"servers/{self.replica_id}"

    def entry(self) -> bytes:
        """Return its entry in the store."""
        fields = {
            "service": self.service,
            "address": f"{self._ip}:{self._port}",
            "zone": self.zone,
            "version": "1",
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "callSeq": 0,
            "born": self._born,
        }
        return json.dumps(fields).encode()

    async def run(
        self,
        publish: Callable[[str, bytes], object],
        remove: Callable[[str], object],
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and start again some seconds after each crash, until cancelled."""
        is_first = True
        while True:
            listeners = await trio.open_tcp_listeners(self._port, host=self._ip)
            self._port = listeners[0].socket.getsockname()[1]
            self._born = int(time.time() * 1000)
            publish(self.key, self.entry())
            if is_first:
                task_status.started()
                is_first = False
            with trio.CancelScope() as self._scope:
                await trio.serve_listeners(self._serve, listeners)
            for listener in listeners:
                await listener.aclose()
            await trio.sleep(self._down_s)
            if not self._keeps_id:
                remove(self.key)
                self._start_count += 1
                self.replica_id = f"{self._first_id}-{self._start_count}"
            self._write("replica_back", replica=self.replica_id)

    async def _serve(self, stream: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await serve_connection(stream, self._handle)

    async def _handle(self, connection: Connection, request: Request) -> None:
        if request.headers.get("x-expect-instance") != self.replica_id:
            lines = {"x-not-executed": "1", "content-length": "0"}
            await connection.send_head(421, lines)
            await connection.finish()
            return
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append((trio.current_time(), attempt))
        self._write("arrived", replica=self.replica_id, attempt=attempt)
        if self._crashes_on(request):
            self.crashes_s.append(trio.current_time())
            self._write("replica_crashed", replica=self.replica_id, attempt=attempt)
            self._scope.cancel()
            await trio.sleep(0)
            raise GoneError
        if self._answers_with is not None:
            await self._answers_with(connection, request)
        usage = request.headers.get("x-token-usage", "0,0").split(",")
        self.token_runs.append((trio.current_time(), sum(map(int, usage))))
        await trio.sleep(self._work_ms / 1000)
        lines = {
            "x-attempt-id": attempt,
            "x-response-seal": f"{self.replica_id}.{attempt}",
        }
        is_stream = request.target.startswith("/advice/")
        if is_stream:
            lines["content-type"] = "text/event-stream"
        else:
            lines["content-length"] = "4"
        if self.state == "draining":
            lines |= {"server-leaving": "1", "connection": "close"}
        await connection.send_head(200, lines)
        await connection.send_chunk(b"id: 1\ndata: x\n\n" if is_stream else b"done")
        await connection.finish()
