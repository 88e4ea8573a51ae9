"""A crowd of clients that send requests ahead and read no answer."""

import os
import socket
from pathlib import Path
from typing import NamedTuple

import trio

CHUNK_BYTES = 65_536
"""Bytes of requests in one send."""

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of a client, in bytes, so that its answers stay with the process."""

QUIET_S = 2.0
"""The crowd has ended when none of its clients could send for this time, in seconds."""

SAMPLE_S = 0.02
"""Time between samples of the open descriptors, in seconds."""


class Crowd(NamedTuple):
    """What a crowd sends.

    Args:
        request: one request, which is sent over and over.
        client_count: number of clients.
        bytes_max: what a client sends at most, over all its connections.
        connections_max: connections that a client opens, one after the other.
        ahead_count: requests in one send, 0 for as many as fill a chunk.
    """

    request: bytes
    client_count: int
    bytes_max: int = 6_000_000
    connections_max: int = 3
    ahead_count: int = 0


class CrowdRun:
    """Runs a crowd against an address; its last connections stay open until closed."""

    def __init__(self, crowd: Crowd, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = host, int(port)
        self._crowd = crowd
        count = crowd.ahead_count or CHUNK_BYTES // len(crowd.request) + 1
        self._chunk = crowd.request * count
        self._open: list[trio.SocketStream] = []
        self._sent_at_s = 0.0

    async def run(self) -> None:
        """Return when all is sent, or nobody can send more for a while."""
        self._sent_at_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end_when_quiet, nursery.cancel_scope)
            async with trio.open_nursery() as clients:
                for _ in range(self._crowd.client_count):
                    clients.start_soon(self._run_client)
            nursery.cancel_scope.cancel()

    async def close(self) -> None:
        """Close the connections that are open."""
        for stream in self._open:
            await trio.aclose_forcefully(stream)

    async def _end_when_quiet(self, scope: trio.CancelScope) -> None:
        while trio.current_time() < self._sent_at_s + QUIET_S:
            await trio.sleep(SAMPLE_S)
        scope.cancel()

    async def _run_client(self) -> None:
        left = self._crowd.bytes_max
        for _ in range(self._crowd.connections_max):
            stream = await self._connect()
            if stream is None:
                continue
            self._open.append(stream)
            try:
                while left > 0:
                    await stream.send_all(self._chunk)
                    self._sent_at_s = trio.current_time()
                    left -= len(self._chunk)
                return
            except trio.BrokenResourceError:
                self._open.remove(stream)
                await trio.aclose_forcefully(stream)

    async def _connect(self) -> trio.SocketStream | None:
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await sock.connect(self._target)
            return trio.SocketStream(sock)
        except OSError:
            sock.close()
        except BaseException:
            sock.close()
            raise
        return None


class ProcessUsage:
    """Memory and descriptors of a process, as its kernel tells them."""

    def __init__(self, pid: int) -> None:
        self._proc = Path("/proc") / str(pid)
        self.descriptors_peak = 0

    @property
    def memory_peak_bytes(self) -> int:
        """Largest resident size so far, in bytes."""
        lines = (self._proc / "status").read_text().splitlines()
        fields = dict(line.split(":", 1) for line in lines)
        return int(fields["VmHWM"].split()[0]) * 1024

    async def watch_descriptors(self) -> None:
        """Sample the number of open descriptors until cancelled."""
        while True:
            count = len(os.listdir(self._proc / "fd"))
            self.descriptors_peak = max(self.descriptors_peak, count)
            await trio.sleep(SAMPLE_S)
