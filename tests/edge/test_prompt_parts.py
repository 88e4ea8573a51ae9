"""Tests of requests that share a part of their prompts which crashes replicas."""

import itertools

from tests.edge.harness import EdgeHarness, Script
from tests.edge.test_server import STREAM
from tests.gateway.records import configuration, replica
from tests.standins.http import Connection, Request
from tests.support import TrioTestCase

POISON = "bad0"
"""The part that crashes each replica that begins to answer a prompt with it."""

REPLICAS = tuple(f"r{number}" for number in range(20))
"""More replicas than crash in any of the tests."""

_COUNTER = itertools.count(0x1000)


def prompt(*parts: str) -> str:
    """Return the header value of a prompt whose last part is in no other."""
    return ",".join(f"{part}:100" for part in (*parts, f"{next(_COUNTER):x}"))


async def crash(connection: Connection, request: Request) -> None:
    """Send the head of a stream and close the connection, as a crash does."""
    lines = {
        "x-attempt-id": request.headers.get("x-attempt-id", ""),
        "x-response-seal": "seal",
        "content-type": "text/event-stream",
        "transfer-encoding": "chunked",
    }
    await connection.send_head(200, lines)
    await connection.stream.aclose()


class CrashingPartTests(TrioTestCase):
    """Requests with a part that crashes replicas are soon sent to none."""

    def harness(self, script: Script) -> EdgeHarness:
        """Return an edge server whose replicas all follow one script."""
        records = tuple(replica(name, service="assistant") for name in REPLICAS)
        scripts = dict.fromkeys(REPLICAS, script)
        found = configuration(STREAM)
        return EdgeHarness(self, scripts, found=found, records=records)

    async def test_requests_that_share_a_crashing_part_are_refused(self) -> None:
        """Guards against one part that ends replica after replica.

        No two of the requests are alike, so a registry of whole requests counts one
        crash for each of them and refuses none.
        """
        harness = self.harness(crash)
        statuses = []
        for number in range(8):
            value = prompt("cafe", POISON, f"e{number}")
            reply = await harness.send(f"/advice/{number}", x_prompt_prefix=value)
            statuses.append(reply.status)
        self.assertEqual([503] * 3, statuses[-3:])
        self.assertLessEqual(len(harness.reached_replicas()), 5)
