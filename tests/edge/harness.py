"""Test harness: an edge server with callers and replicas over in-memory streams."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from weakref import WeakKeyDictionary

import h11
import trio
import trio.testing
from testtools import TestCase

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.attempts import _attempt
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.callers._quota_gate import EdgeQuotas
from hemlocktrestle.edge.callers._server import EdgeServer, ServedRequest
from hemlocktrestle.edge.placing._local_placer import LocalPlacer
from hemlocktrestle.edge.placing._placement import AttemptEnd, AttemptReport, Placement
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import (
    Configuration,
    FleetSnapshot,
    ReplicaRecord,
    ReplicaUpdate,
)
from hemlocktrestle.platform import decode_settings
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import BodyMemoryBudget, CallerConnection
from tests.gateway.records import at, configuration, replica
from tests.platform.documents import SETTINGS
from tests.standins.http import Connection, GoneError, Request


class _ConstantRandom:
    """A random source that always returns the same value."""

    def random(self) -> float:
        return 0.0

    def uniform(self, low: float, high: float) -> float:
        return low


Script = Callable[[Connection, Request], Awaitable[None]]
"""How a replica answers one request."""


class Reply:
    """An answer as the caller received it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_whole = False
        self.first_ms = 0.0

    @property
    def retry_after_ms(self) -> float:
        """Pause in milliseconds that the caller was asked for."""
        return float(self.headers.get(b"retry-after", b"0")) * 1000


def sealed(body: bytes, request: Request, **headers: str) -> dict[str, str]:
    """Return the header lines of a replica's answer."""
    return {
        "x-attempt-id": request.headers.get("x-attempt-id", ""),
        "x-response-seal": "seal",
        "content-length": str(len(body)),
        **headers,
    }


class _CallingEnd(trio.abc.Stream):
    """The edge's end of a connection to a replica, which a script can reset."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self.is_reset = False

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes.

        Raises:
            BrokenResourceError: the replica reset the connection.
        """
        data = bytes(await self._stream.receive_some(max_bytes))
        if not data and self.is_reset:
            raise trio.BrokenResourceError
        return data

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until bytes can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


_CALLING_ENDS: WeakKeyDictionary[trio.abc.Stream, _CallingEnd] = WeakKeyDictionary()
"""The edge's end of each replica's connection."""


def reset_on_close(connection: Connection) -> None:
    """Let the edge see a reset, after all bytes sent, when the replica closes."""
    _CALLING_ENDS[connection.stream].is_reset = True


async def answer_ok(connection: Connection, request: Request) -> None:
    """Answer 200 at once, with the replica's seal."""
    await connection.send_head(200, sealed(b"done", request))
    await connection.send_chunk(b"done")
    await connection.finish()


def answer_status(status: int, *, is_unrun: bool = False) -> Script:
    """Return a script that answers with a status."""

    async def script(connection: Connection, request: Request) -> None:
        lines = sealed(b"no", request)
        if is_unrun:
            lines["x-not-executed"] = "1"
            del lines["x-response-seal"]
        await connection.send_head(status, lines)
        await connection.send_chunk(b"no")
        await connection.finish()

    return script


async def close_without_answer(connection: Connection, request: Request) -> None:
    """Close the connection without an answer."""
    await connection.stream.aclose()


async def never_answer(connection: Connection, request: Request) -> None:
    """Keep the connection open and send nothing."""
    await connection.wait_closed()


def answer_after(delay_ms: float, then: Script = answer_ok) -> Script:
    """Return a script that waits before it answers."""

    async def script(connection: Connection, request: Request) -> None:
        await trio.sleep(delay_ms / 1000)
        await then(connection, request)

    return script


class _RecordingPlacer(LocalPlacer):
    """A local placer that records how the attempts ended, by replica.

    Unless it is excluded, the preferred replica is chosen whatever this VM knows.
    """

    def __init__(
        self,
        state: EdgeState,
        released: list[tuple[str, AttemptEnd]],
        *,
        preferred: str = "",
    ) -> None:
        super().__init__(state, jitter=_ConstantRandom())  # type: ignore[arg-type]
        self._released = released
        self._preferred = preferred

    async def obtain(self, job: Job, *, excluded: frozenset[str]) -> Placement:
        """Return the preferred replica, or the least loaded one."""
        if self._preferred and self._preferred not in excluded:
            return Placement("p1", self._preferred, self._preferred, "vm-2", 0.0)
        return await super().obtain(job, excluded=excluded)

    def release(self, job: Job, placement: Placement, report: AttemptReport) -> None:
        """Record the end of the attempt and release the placement."""
        self._released.append((placement.replica_id, report.end))
        super().release(job, placement, report)


class EdgeHarness:
    """One edge server with scripted replicas.

    Args:
        case: the test, whose cleanup undoes the patch of ``open_connection``.
        replicas: scripts by replica id; the id is also the address.
        found: the configuration, by default an ordinary one.
        records: the replicas' registrations, by default ordinary ones.
        preferred: replica that is chosen first, as by a scheduler that lags.
    """

    def __init__(
        self,
        case: TestCase,
        replicas: Mapping[str, Script],
        *,
        found: Configuration | None = None,
        records: tuple[ReplicaRecord, ...] = (),
        preferred: str = "",
    ) -> None:
        self.state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        self.state.configuration = found or configuration()
        self.state.has_loaded_replicas = self.state.has_loaded_vms = True
        listed = records or tuple(replica(name) for name in replicas)
        self.state.replicas.apply_listing(
            [_replica_update(record) for record in listed], revision=at(1), now_ms=0
        )
        self.scripts = dict(replicas)
        self.served: list[ServedRequest] = []
        self.disconnected: list[str] = []
        self.released: list[tuple[str, AttemptEnd]] = []
        self.requests: list[tuple[str, Request]] = []
        self.quarantine = QuarantineRegistry()
        self._nursery: trio.Nursery | None = None
        self._shared_nursery: trio.Nursery | None = None
        self.part_gate = PartGate(self.state)
        self.placer = _RecordingPlacer(self.state, self.released, preferred=preferred)
        self.server = EdgeServer(
            self.state,
            self.placer,
            quotas=EdgeQuotas(self.state),
            quarantine=self.quarantine,
            jitter=_ConstantRandom(),  # type: ignore[arg-type]
            part_gate=self.part_gate,
            on_served=self.served.append,
            on_replica_disconnected=self._on_replica_disconnected,
        )
        case.patch(_attempt, "open_connection", self._open)

    def reached_replicas(self) -> list[str]:
        """Return the ids of the replicas that received the request, in order."""
        return [replica_id for replica_id, _ in self.requests]

    async def send(
        self,
        path: str = "/jobs/1",
        *,
        method: str = "GET",
        body: bytes = b"",
        leave_after_ms: float | None = None,
        **headers: str,
    ) -> Reply:
        """Send one request and return the answer that the caller received."""
        lines = {"Host": "callers.example", "X-Attempt-Id": "a1"}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body:
            lines["Content-Length"] = str(len(body))
        reply = Reply()
        async with trio.open_nursery() as nursery:
            self._nursery = self._shared_nursery or nursery
            ours, theirs = trio.testing.memory_stream_pair()
            connection = CallerConnection(
                theirs,
                limits=lambda: self.state.limits,
                is_closing=lambda: self.state.is_draining,
                body_budget=BodyMemoryBudget(1_000_000),
            )
            nursery.start_soon(connection.serve, self.server.serve)
            machine = h11.Connection(h11.CLIENT)
            head = h11.Request(method=method, target=path, headers=list(lines.items()))
            data = machine.send(head) or b""
            data += (machine.send(h11.Data(data=body)) or b"") if body else b""
            await ours.send_all(data + (machine.send(h11.EndOfMessage()) or b""))
            with trio.move_on_after((leave_after_ms or 1e9) / 1000):
                await _read(ours, machine, reply)
            await ours.aclose()
            # Let replicas notice that their connection has closed.
            await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return reply

    def forget(self) -> None:
        """Forget what was served, and the requests with their bodies."""
        self.served.clear()
        self.requests.clear()

    async def send_together(self, count: int) -> list[int]:
        """Send ordinary requests at once; return the statuses of their answers."""
        statuses: list[int] = []

        async def send_one() -> None:
            statuses.append((await self.send()).status)

        async with trio.open_nursery() as replicas:
            self._shared_nursery = replicas
            async with trio.open_nursery() as callers:
                for _ in range(count):
                    callers.start_soon(send_one)
            self._shared_nursery = None
            replicas.cancel_scope.cancel()
        return statuses

    async def _open(self, address: str) -> Any:
        script = self.scripts.get(address)
        if script is None:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        ours, theirs = trio.testing.memory_stream_pair()
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_replica, address, script, theirs)
        _CALLING_ENDS[theirs] = end = _CallingEnd(ours)
        return end

    async def _serve_replica(
        self, address: str, script: Script, stream: trio.abc.Stream
    ) -> None:
        connection = Connection(stream)
        try:
            request = await connection.next_request()
            if request is not None:
                self.requests.append((address, request))
                await script(connection, request)
        except (GoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _on_replica_disconnected(
        self, job: Job, placement: Placement, report: AttemptReport
    ) -> None:
        self.disconnected.append(placement.replica_id)
        suspicion = self.part_gate.create_suspicion(job, placement, report)
        crash = f"{placement.replica_id} #1"
        self.part_gate.record_crash(suspicion, crash=crash, source="")
        self.part_gate.on_probed(suspicion)
        self.quarantine.record_crash(
            job.service.name,
            job.fingerprint,
            upstream=crash,
            request_id=job.metadata.request_id,
            now_ms=now_ms(),
        )


async def _read(stream: trio.abc.Stream, machine: h11.Connection, reply: Reply) -> None:
    started_s = trio.current_time()
    while True:
        try:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                machine.receive_data(bytes(await stream.receive_some(65_536)))
                continue
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            # The answer was cut; is_whole stays false.
            return
        if isinstance(event, h11.Response):
            reply.status = event.status_code
            reply.headers = dict(event.headers)
            reply.first_ms = (trio.current_time() - started_s) * 1000
        elif isinstance(event, h11.Data):
            reply.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            reply.is_whole = True
            return
        else:
            return


def _replica_update(record: ReplicaRecord) -> ReplicaUpdate:
    return ReplicaUpdate(record.replica_id, at(1), record)
