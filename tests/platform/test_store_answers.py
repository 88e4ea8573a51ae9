"""Tests of answers of the platform's store that do not end."""

from contextlib import suppress

import httpcore
import trio
import trio.testing
from testtools import ExpectedException

from hemlocktrestle.platform import PlatformStore, StoreError
from hemlocktrestle.platform._store import ANSWER_BYTES_MAX
from tests.platform.test_store import _MemoryStream
from tests.support import TrioTestCase


class _FloodingBackend(httpcore.AsyncNetworkBackend):
    """Connects to a server whose answers have no end.

    Args:
        piece: what it sends again and again.
        pause_s: pause between two pieces.
    """

    def __init__(self, nursery: trio.Nursery, piece: bytes, pause_s: float) -> None:
        self._nursery = nursery
        self._piece = piece
        self._pause_s = pause_s
        self.sent_bytes = 0

    async def connect_tcp(
        self, host: str, port: int, *args: object, **options: object
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        ours, theirs = trio.testing.memory_stream_pair()
        self._nursery.start_soon(self._flood, theirs)
        return _MemoryStream(ours)

    async def _flood(self, stream: trio.abc.Stream) -> None:
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n{")
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while True:
                await stream.send_all(self._piece)
                self.sent_bytes += len(self._piece)
                await trio.sleep(self._pause_s)


class EndlessAnswerTests(TrioTestCase):
    """Answers without end cost bounded memory and time.

    Guards against a process that is killed for memory, and against a watch that hangs.
    """

    async def test_a_call_fails_within_bounds(self) -> None:
        """The connection is closed, and the next call opens another one."""
        for piece, pause_s in ((b" " * 65_536, 0.001), (b" ", 1.0)):
            async with trio.open_nursery() as nursery:
                backend = _FloodingBackend(nursery, piece, pause_s)
                async with PlatformStore("10.0.0.1:80", backend=backend) as client:
                    for _ in range(2):
                        started_s = trio.current_time()
                        with ExpectedException(StoreError):
                            await client.get("op/config")
                        self.assertLess(trio.current_time() - started_s, 12.5)
                self.assertLess(backend.sent_bytes, 2 * ANSWER_BYTES_MAX + 2_000_000)
                nursery.cancel_scope.cancel()
