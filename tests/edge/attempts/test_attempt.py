"""Tests of the time limit of one attempt at a replica."""

from typing import Any

import trio
import trio.testing

from tests.edge.callers.test_server import STREAM, WHOLE, event, stream_of
from tests.edge.harness import EdgeHarness, answer_after
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase


class TimeLimitTests(TrioTestCase):
    """A time limit that expires never separates what was sent from what is recorded."""

    async def test_an_event_that_comes_as_patience_ends_is_not_lost(self) -> None:
        """Guards against a stream that goes on after an event that was never sent.

        The time limit expires between receipt and relay of the first event.
        """

        async def just_in_time(connection: Connection, request: Request) -> None:
            await connection.send_head(
                200,
                {
                    "x-attempt-id": "a1",
                    "x-response-seal": "s",
                    "content-type": "text/event-stream",
                },
            )
            await trio.testing.wait_all_tasks_blocked()
            await connection.send_chunk(event(1))
            clock: Any = trio.lowlevel.current_clock()
            clock.jump(0.01)
            await connection.wait_closed()

        for late_ms in (780, 791, 795, 799):
            scripts = {
                "r1": answer_after(late_ms, just_in_time),
                "r2": stream_of(range(1, 9)),
            }
            records = tuple(replica(name, service="assistant") for name in scripts)
            harness = EdgeHarness(
                self, scripts, found=configuration(STREAM), records=records
            )
            reply = await harness.send("/advice/1", method="POST", body=b"q")
            self.assertEqual((WHOLE, True), (reply.body, reply.is_whole), str(late_ms))
