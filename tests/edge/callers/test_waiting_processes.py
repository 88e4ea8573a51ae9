"""Tests of an edge process whose replica is busy, as the waiting callers see it."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio
from testtools import TestCase

from tests.edge.callers.test_shutdown_processes import (
    REPLICA_SLOTS,
    connect,
    read_answer,
)
from tests.edge.test_processes import ONE_SERVICE, Edge, Platform, running_edge
from tests.platform.documents import changed

LONG_MS = 60_000.0
"""Work of the requests that keep their slots throughout a test, in milliseconds."""

BUSY_MS = 700.0
"""Work of the request whose slot becomes free, in milliseconds."""

STAYS_MS = 2_000
"""How long the callers of an overload stay, in milliseconds."""

WORK_MS = 200.0
"""Work of their requests, in milliseconds."""

ARRIVAL_MS = int(WORK_MS / REPLICA_SLOTS * 2 / 3)
"""Time between their arrivals, in milliseconds."""

OVERLOAD_MS = 8_000
"""How long the overload lasts, in milliseconds."""


def request(name: str, *, left_ms: int, path: str = "/log/1") -> bytes:
    """Return a request that may run only once, as a caller sends it."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: callers.example\r\nX-Attempt-Id: {name}\r\n"
        f"X-Deadline-Ms: {left_ms}\r\nContent-Length: 2\r\n\r\nhi"
    ).encode()


def configuration(*, objective_ms: float = 300.0) -> dict[str, Any]:
    """Return a configuration with a route of the highest and one of a low rank."""
    document = changed(ONE_SERVICE, "routes.1.targetLatencyMs", objective_ms)
    document = changed(document, "routes.1.timeoutMs", 90_000)
    high = {**document["routes"][1], "name": "high", "prefix": "/high/", "priority": 0}
    return {**document, "version": 9, "routes": [*document["routes"], high]}


class WaitingCallersTests(TestCase):
    """One slot of the replica becomes free soon, the others do not."""

    def run_busy(
        self,
        check: Callable[[Edge, Platform], Awaitable[None]],
        document: dict[str, Any],
    ) -> None:
        """Run a check with a replica whose slots were all just taken."""

        async def run() -> None:
            async with running_edge() as (edge, platform):
                platform.configure(document)
                await edge.logged("configuration_taken", version=9)
                await edge.logged("replicas_changed")
                callers = []
                for number in range(REPLICA_SLOTS):
                    is_last = number == REPLICA_SLOTS - 1
                    platform.replica.work_ms = BUSY_MS if is_last else LONG_MS
                    callers.append(await connect(edge))
                    await callers[-1].send_all(request(f"b{number}", left_ms=80_000))
                    await edge.logged("request_permitted", request=f"b{number}")
                    while len(platform.replica.runs) <= number:
                        await trio.sleep(0.01)
                    # The replica reads its work once it has begun.
                    await trio.sleep(0.05)
                platform.replica.work_ms = 0.0
                await check(edge, platform)

        trio.run(run)

    async def wait_in_line(self, edge: Edge, *requests: tuple[str, int, str]) -> Any:
        """Send requests one after the other; return their answers when all came."""
        answers: dict[str, bytes] = {}

        async def receive(name: str, caller: trio.SocketStream) -> None:
            answers[name] = await read_answer(caller)

        async with trio.open_nursery() as nursery:
            for name, left_ms, path in requests:
                caller = await connect(edge)
                await caller.send_all(request(name, left_ms=left_ms, path=path))
                await edge.logged("request_asked", request=name)
                nursery.start_soon(receive, name, caller)
        return {name: answer[9:12] for name, answer in answers.items()}

    def order(self, platform: Platform) -> list[str]:
        """Return the requests that ran after the slots were taken, in order."""
        return [run.attempt for run in platform.replica.runs[REPLICA_SLOTS:]]

    def test_a_caller_with_time_waits_for_the_slot(self) -> None:
        """Guards against 503 for a caller with 6 s left, for an objective of 300 ms."""

        async def check(edge: Edge, platform: Platform) -> None:
            found = await self.wait_in_line(edge, ("a", 6_000, "/log/1"))
            self.assertEqual({"a": b"200"}, found)

        self.run_busy(check, configuration(objective_ms=300))

    def test_the_caller_with_less_time_goes_first(self) -> None:
        """Guards against a caller with 5 s left that is served after one with 15 s."""

        async def check(edge: Edge, platform: Platform) -> None:
            await self.wait_in_line(
                edge, ("a", 5_000, "/log/1"), ("b", 15_000, "/log/1")
            )
            self.assertEqual(["a", "b"], self.order(platform))

        self.run_busy(check, configuration(objective_ms=2_000))

    def test_the_highest_tier_is_served_and_goes_first(self) -> None:
        """Guards against a refused high tier while later low-tier work is served."""

        async def check(edge: Edge, platform: Platform) -> None:
            found = await self.wait_in_line(
                edge, ("high", 6_000, "/high/1"), ("low", 6_000, "/log/1")
            )
            self.assertEqual({"high": b"200", "low": b"200"}, found)
            self.assertEqual(["high", "low"], self.order(platform))

        self.run_busy(check, configuration(objective_ms=200))


class Told(NamedTuple):
    """What a caller was told, and when, in milliseconds after it asked."""

    status: bytes
    after_ms: float


class LastingOverloadTests(TestCase):
    """Half as many callers again as the replica's slots can answer, for 8 s."""

    def test_callers_are_not_held_for_most_of_their_time(self) -> None:
        """Guards against a queue that grows to its callers' whole time and stays."""
        told: list[Told] = []

        async def call(edge: Edge, name: str) -> None:
            started_s = trio.current_time()
            caller = await connect(edge)
            await caller.send_all(request(name, left_ms=STAYS_MS))
            answer = await read_answer(caller)
            after_ms = (trio.current_time() - started_s) * 1000
            told.append(Told(answer[9:12], after_ms))

        async def run() -> None:
            async with running_edge() as (edge, platform), trio.open_nursery() as calls:
                platform.configure(configuration())
                await edge.logged("configuration_taken", version=9)
                await edge.logged("replicas_changed")
                platform.replica.work_ms = WORK_MS
                for number in range(OVERLOAD_MS // ARRIVAL_MS):
                    calls.start_soon(call, edge, f"a{number}")
                    await trio.sleep(ARRIVAL_MS / 1000)
                    if number * ARRIVAL_MS < 2 * STAYS_MS:
                        told.clear()

        trio.run(run)
        self.assertEqual({b"200", b"503"}, {item.status for item in told})
        self.assertLessEqual(max(item.after_ms for item in told), STAYS_MS / 2)
