"""An edge server in one process: callers and replicas over streams in memory."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import h11
import trio
import trio.testing
from testtools import TestCase

from hemlocktrestle.edge import _attempt
from hemlocktrestle.edge._job import Job
from hemlocktrestle.edge._local_placer import LocalPlacer
from hemlocktrestle.edge._placement import Placement
from hemlocktrestle.edge._quota_gate import EdgeQuotas
from hemlocktrestle.edge._server import EdgeServer, Served
from hemlocktrestle.edge._state import EdgeState, now_ms
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
from tests.gateway.records import configuration, replica
from tests.platform.documents import SETTINGS
from tests.standins.http import Connection, GoneError, Request


class _Steady:
    """A source of chance that always gives the same."""

    def random(self) -> float:
        return 0.0


Script = Callable[[Connection, Request], Awaitable[None]]
"""How a replica answers one request."""


class Reply:
    """An answer as a caller saw it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_whole = False
        self.first_ms = 0.0

    @property
    def retry_after_ms(self) -> float:
        """When the caller was told to come again."""
        return float(self.headers.get(b"retry-after", b"0")) * 1000


def sealed(body: bytes, request: Request, **headers: str) -> dict[str, str]:
    """Return the header lines of a replica's answer."""
    return {
        "x-attempt-id": request.headers.get("x-attempt-id", ""),
        "x-response-seal": "seal",
        "content-length": str(len(body)),
        **headers,
    }


async def answer_well(connection: Connection, request: Request) -> None:
    """Answer at once, with the replica's seal."""
    await connection.send_head(200, sealed(b"done", request))
    await connection.send_chunk(b"done")
    await connection.finish()


def answer_status(status: int, *, is_unrun: bool = False) -> Script:
    """Return a script that answers with a status."""

    async def script(connection: Connection, request: Request) -> None:
        lines = sealed(b"no", request)
        if is_unrun:
            lines = {"x-not-executed": "1", "content-length": "2"}
        await connection.send_head(status, lines)
        await connection.send_chunk(b"no")
        await connection.finish()

    return script


async def break_off(connection: Connection, request: Request) -> None:
    """Close the connection without an answer."""
    await connection.stream.aclose()


async def never_answer(connection: Connection, request: Request) -> None:
    """Keep the connection open and say nothing."""
    await connection.wait_closed()


def answer_after(delay_ms: float, then: Script = answer_well) -> Script:
    """Return a script that waits before it answers."""

    async def script(connection: Connection, request: Request) -> None:
        await trio.sleep(delay_ms / 1000)
        await then(connection, request)

    return script


class Bed:
    """One edge server with replicas that follow scripts.

    Args:
        case: the test, which the patch of the dialler belongs to.
        replicas: scripts by replica id; the id is the address too.
        found: the configuration.
        records: what the replicas registered, if not as ordinary ones.
    """

    def __init__(
        self,
        case: TestCase,
        replicas: Mapping[str, Script],
        *,
        found: Configuration | None = None,
        records: tuple[ReplicaRecord, ...] = (),
    ) -> None:
        self.state = EdgeState(
            decode_settings(SETTINGS, source="test"),
            fleet=lambda customer=None: FleetSnapshot(1, 1, {}),
        )
        self.state.configuration = found or configuration()
        self.state.has_replicas = self.state.has_vms = True
        listed = records or tuple(replica(name) for name in replicas)
        self.state.replicas.apply_listing(
            [_fact(record) for record in listed], revision=1, now_ms=0
        )
        self.scripts = dict(replicas)
        self.served: list[Served] = []
        self.crashed: list[str] = []
        self.requests: list[tuple[str, Request]] = []
        self.quarantine = QuarantineRegistry()
        self._nursery: trio.Nursery | None = None
        placer = LocalPlacer(self.state, jitter=_Steady())  # type: ignore[arg-type]
        self.server = EdgeServer(
            self.state,
            placer,
            quotas=EdgeQuotas(self.state),
            quarantine=self.quarantine,
            on_served=self.served.append,
            on_crash=self._crashed,
        )
        case.patch(_attempt, "open_connection", self._open)

    def ran(self) -> list[str]:
        """Return the replicas that got the request, in order."""
        return [replica_id for replica_id, _ in self.requests]

    async def ask(
        self,
        path: str = "/jobs/1",
        *,
        method: str = "GET",
        body: bytes = b"",
        leave_after_ms: float | None = None,
        **headers: str,
    ) -> Reply:
        """Send one request and return what the caller saw."""
        lines = {"Host": "callers.example", "X-Attempt-Id": "a1"}
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        if body:
            lines["Content-Length"] = str(len(body))
        reply = Reply()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
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
            # Replicas see that their connection has closed before all is over.
            await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return reply

    async def _open(self, address: str) -> Any:
        script = self.scripts.get(address)
        if script is None:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        ours, theirs = trio.testing.memory_stream_pair()
        assert self._nursery is not None
        self._nursery.start_soon(self._serve_replica, address, script, theirs)
        return ours

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

    def _crashed(self, job: Job, place: Placement) -> None:
        self.crashed.append(place.replica_id)
        self.quarantine.record_crash(
            job.service.name,
            job.fingerprint,
            upstream=place.replica_id,
            request_id=job.facts.request_id,
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
            # The answer was cut, which its missing end shows.
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


def _fact(record: ReplicaRecord) -> ReplicaUpdate:
    return ReplicaUpdate(record.replica_id, 1, record)
