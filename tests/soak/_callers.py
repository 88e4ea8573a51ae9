"""Callers with persistent connections, and records of the answers they received."""

import random
import select
from typing import NamedTuple

import h11
import trio

from tests.soak._deployment import KEY, Deployment, Vm

DEADLINE_MS = 2_000
CALLER_TIMEOUT_S = 3.5
"""Time after which a caller gives up waiting for an answer, in seconds."""

DISCONNECT_SHARE = 0.1
"""Share of the requests whose callers disconnect early."""

DISCONNECT_AFTER_S = 0.12
"""Time after which such callers disconnect, in seconds."""

PAUSE_S = 0.05

KINDS = ("log", "read", "advice", "own")
"""Kinds of requests, named after their routes."""


class CallerRecord(NamedTuple):
    """One request and the answer that its caller received; times are in seconds.

    ``status`` is 0 if no answer came; ``is_whole`` tells whether the answer was
    complete; ``left_s`` is when the caller disconnected early, if it did.
    """

    attempt: str
    kind: str
    path: str
    vm: str
    at_s: float
    ended_s: float
    status: int
    seal: str
    echoed: str
    body: bytes
    is_whole: bool
    left_s: float | None


class Caller:
    """One caller, with one persistent connection to each VM.

    Args:
        number: number of the caller.
        deployment: the deployment.
        rng: random source of its choices.
        records: list to which it appends its requests.
    """

    def __init__(
        self,
        number: int,
        deployment: Deployment,
        rng: random.Random,
        records: list[CallerRecord],
    ) -> None:
        self._number = number
        self._deployment = deployment
        self._rng = rng
        self._records = records
        self._count = 0
        self._open: dict[str, tuple[trio.SocketStream, h11.Connection]] = {}

    async def run(self) -> None:
        """Send requests one after another until cancelled."""
        while True:
            vm = self._deployment.vms[self._rng.choice(sorted(self._deployment.vms))]
            kind = self._rng.choice(KINDS)
            leaves = self._rng.random() < DISCONNECT_SHARE
            if vm.is_up:
                await self._request(vm, kind, leaves=leaves)
            await trio.sleep(self._rng.uniform(0.2, 1.8) * PAUSE_S)

    async def _request(self, vm: Vm, kind: str, *, leaves: bool) -> None:
        self._count += 1
        attempt = f"a{self._number}-{self._count}"
        path = f"/{kind}/{attempt}"
        if kind == "own":
            path = f"/v{self._deployment.version}/{attempt}"
        answer = _Answer()
        started_s = trio.current_time()
        try:
            connection = await self._connection(vm)
            if connection is not None:
                with trio.move_on_after(
                    DISCONNECT_AFTER_S if leaves else CALLER_TIMEOUT_S
                ):
                    await _exchange(*connection, path, attempt, answer)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The connection was lost; the partial answer is recorded below.
            answer.is_reusable = False
        ended_s = trio.current_time()
        if not answer.is_reusable:
            await self._drop(vm)
        self._records.append(
            CallerRecord(
                attempt,
                kind,
                path,
                vm.name,
                started_s,
                ended_s,
                answer.status,
                answer.seal,
                answer.echoed,
                bytes(answer.body),
                answer.is_whole,
                ended_s if leaves and not answer.is_whole else None,
            )
        )

    async def _connection(
        self, vm: Vm
    ) -> tuple[trio.SocketStream, h11.Connection] | None:
        known = self._open.get(vm.name)
        if known is not None and not _has_closed(known[0]):
            return known
        # The process may end, and its address go, while the connection is closed.
        host, _, port = vm.addresses["callers"].rpartition(":")
        await self._drop(vm)
        with trio.move_on_after(1.0):
            stream = await trio.open_tcp_stream(host, int(port))
            self._open[vm.name] = stream, h11.Connection(h11.CLIENT)
        return self._open.get(vm.name)

    async def _drop(self, vm: Vm) -> None:
        known = self._open.pop(vm.name, None)
        if known is not None:
            await trio.aclose_forcefully(known[0])


def _has_closed(stream: trio.SocketStream) -> bool:
    """Tell whether the VM closed an idle connection, as callers' libraries do.

    Nothing else makes it readable before a request.
    """
    poller = select.poll()
    poller.register(stream.socket, select.POLLIN)
    return bool(poller.poll(0))


class _Answer:
    """The part of an answer that was received."""

    def __init__(self) -> None:
        self.status = 0
        self.seal = ""
        self.echoed = ""
        self.body = bytearray()
        self.is_whole = False
        self.is_reusable = False


async def _exchange(
    stream: trio.SocketStream,
    machine: h11.Connection,
    path: str,
    attempt: str,
    answer: _Answer,
) -> None:
    headers = [
        ("host", "callers.example"),
        ("x-attempt-id", attempt),
        ("x-deadline-ms", str(DEADLINE_MS)),
        ("api-key", KEY),
    ]
    head = h11.Request(method="GET", target=path, headers=headers)
    data = (machine.send(head) or b"") + (machine.send(h11.EndOfMessage()) or b"")
    await stream.send_all(data)
    while True:
        try:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                machine.receive_data(bytes(await stream.receive_some(65_536)))
                continue
        except h11.RemoteProtocolError:
            # The answer was cut; is_whole stays false.
            return
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            lines = dict(event.headers)
            answer.seal = lines.get(b"x-response-seal", b"").decode()
            answer.echoed = lines.get(b"x-attempt-id", b"").decode()
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.is_whole = True
            break
        else:
            return
    if {machine.our_state, machine.their_state} == {h11.DONE}:
        machine.start_next_cycle()
        answer.is_reusable = True
