"""Tests of the soak's callers."""

import trio

from tests.soak._callers import _has_closed
from tests.support import TrioTestCase


class ClosedConnectionTests(TrioTestCase):
    """A connection that its VM has closed carries no further request."""

    async def test_a_close_is_seen_before_the_next_request(self) -> None:
        """Guards against calls that count as cut, but that no process ever read."""
        listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        stream = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
        served = await listener.accept()
        self.assertFalse(_has_closed(stream))
        await served.aclose()
        while not _has_closed(stream):
            await trio.sleep(0)
        await stream.aclose()
        await listener.aclose()
