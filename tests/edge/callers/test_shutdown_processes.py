"""Tests of the shutdown of an edge process, as its callers see it."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from testtools import TestCase

from tests.edge.test_processes import ONE_SERVICE, Edge, Platform, running_edge
from tests.platform.documents import SETTINGS, changed

LONG_REQUESTS = changed(
    changed(ONE_SERVICE, "routes.1.timeoutMs", 30_000),
    "routes.1.targetLatencyMs",
    20_000,
)
"""A route whose requests may wait and run for longer than any grace period here."""

GRACE_S = 3.0
"""Grace period of tests that wait for its end, in seconds."""

SHORT_GRACE = changed(SETTINGS, "contractBounds.graceS", GRACE_S)

AFTER_NOTICE_S = 3.2
"""Time after the signal when no new request is accepted, in seconds."""

REPLICA_SLOTS = 4
"""Requests that the replica of the stand-in platform takes at once."""

REFUSED = b"HTTP/1.1 503 "


def request(number: int = 1) -> bytes:
    """Return a request that may run only once, as a caller sends it."""
    return (
        b"POST /log/1 HTTP/1.1\r\nHost: callers.example\r\n"
        b"X-Attempt-Id: a%d\r\nX-Deadline-Ms: 30000\r\nContent-Length: 2\r\n\r\nhi"
    ) % number


async def connect(edge: Edge) -> trio.SocketStream:
    """Open a connection to the edge as a caller does."""
    started = await edge.logged("started")
    host, _, port = started["callers"].rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def read_answer(stream: trio.SocketStream) -> bytes:
    """Return the bytes of one answer, or those that came before the connection closed.

    The body of an answer of the edge's own has a stated length.
    """
    data = b""
    try:
        while True:
            head, separator, body = data.partition(b"\r\n\r\n")
            _, _, rest = head.lower().partition(b"content-length: ")
            if separator and rest and len(body) >= int(rest.split(b"\r\n")[0]):
                return data
            received = bytes(await stream.receive_some())
            if not received:
                return data
            data += received
    except trio.BrokenResourceError:
        return data


class Stop:
    """A SIGTERM to an edge process, and the time since it."""

    def __init__(self, edge: Edge) -> None:
        self._edge = edge
        self._sent_s = trio.current_time()
        edge.process.send_signal(signal.SIGTERM)

    @property
    def elapsed_s(self) -> float:
        """Time since the signal, in seconds."""
        return trio.current_time() - self._sent_s

    async def sleep_until(self, elapsed_s: float) -> None:
        """Sleep until a time after the signal, in seconds."""
        await trio.sleep(elapsed_s - self.elapsed_s)

    async def ended_s(self) -> float:
        """Wait for the process to end and return the time since the signal."""
        await self._edge.process.wait()
        return self.elapsed_s


class UnansweredRequestTests(TestCase):
    """Requests that are still open near the end of the grace period get an answer."""

    def run_with_edge(
        self,
        check: Callable[[Edge, Platform], Awaitable[None]],
        settings: dict[str, Any] = SETTINGS,
    ) -> None:
        """Run a check with an edge whose replica takes requests."""

        async def run() -> None:
            async with running_edge(settings) as (edge, platform):
                platform.configure({**LONG_REQUESTS, "version": 9})
                await edge.logged("configuration_taken", version=9)
                await edge.logged("replicas_changed")
                await check(edge, platform)

        trio.run(run)

    def test_a_running_request_gets_an_answer_before_the_end(self) -> None:
        """Guards against a request that is cut without an answer at the end.

        The replica works longer than the grace period: the caller gets a status that
        does not promise that the request did not run, and the process ends in time.
        A reload and a second signal meanwhile change nothing.
        """
        self.run_with_edge(self._run_long, SHORT_GRACE)

    async def _run_long(self, edge: Edge, platform: Platform) -> None:
        platform.replica.work_ms = 60_000
        caller = await connect(edge)
        await caller.send_all(request())
        await edge.logged("request_permitted")
        stop = Stop(edge)
        await stop.sleep_until(GRACE_S / 2)
        edge.process.send_signal(signal.SIGHUP)
        edge.process.send_signal(signal.SIGTERM)
        answer = await read_answer(caller)
        self.assertEqual(b"HTTP/1.1 502 ", answer[:13])
        self.assertTrue(GRACE_S * 0.85 < stop.elapsed_s < GRACE_S, stop.elapsed_s)
        ended_s = await stop.ended_s()
        self.assertTrue(ended_s < GRACE_S, ended_s)
        self.assertEqual(1, len(platform.replica.runs))

    def test_a_waiting_request_is_refused_while_others_can_take_it(self) -> None:
        """Guards against a request that waits for a replica until the process ends.

        All slots of the replica are taken: the caller gets 503 in the first part of
        the grace period, and the request never runs.
        """
        self.run_with_edge(self._wait_for_slot, SHORT_GRACE)

    async def _wait_for_slot(self, edge: Edge, platform: Platform) -> None:
        platform.replica.work_ms = 60_000
        running = [await connect(edge) for _ in range(REPLICA_SLOTS)]
        for number, caller in enumerate(running):
            await caller.send_all(request(number))
            await edge.logged("request_permitted", request=f"a{number}")
        waiting = await connect(edge)
        await waiting.send_all(request(REPLICA_SLOTS))
        await edge.logged("request_asked", request=f"a{REPLICA_SLOTS}")
        stop = Stop(edge)
        answer = await read_answer(waiting)
        self.assertEqual(REFUSED, answer[:13])
        self.assertIn(b"retry-after: 0.05\r\n", answer)
        self.assertTrue(stop.elapsed_s < GRACE_S * 0.6, stop.elapsed_s)
        await stop.ended_s()
        self.assertEqual(REPLICA_SLOTS, len(platform.replica.runs))

    def test_a_half_read_request_is_refused(self) -> None:
        """Guards against closing a connection as idle that has sent half a head."""
        self.run_with_edge(self._send_in_halves)

    async def _send_in_halves(self, edge: Edge, platform: Platform) -> None:
        caller = await connect(edge)
        stop = Stop(edge)
        await stop.sleep_until(1.0)
        await caller.send_all(request()[:30])
        await stop.sleep_until(AFTER_NOTICE_S)
        await caller.send_all(request()[30:])
        answer = await read_answer(caller)
        self.assertEqual(REFUSED, answer[:13])
        self.assertIn(b"connection: close\r\n", answer.lower())
        self.assertEqual([], platform.replica.runs)

    def test_a_new_connection_is_answered(self) -> None:
        """Guards against closing a connection before its first request has arrived.

        The load balancer may send connections for as long as the process runs.
        """
        self.run_with_edge(self._connect_late)

    async def _connect_late(self, edge: Edge, platform: Platform) -> None:
        running = await connect(edge)
        platform.replica.work_ms = 60_000
        await running.send_all(request())
        await edge.logged("request_permitted")
        stop = Stop(edge)
        await stop.sleep_until(AFTER_NOTICE_S)
        caller = await connect(edge)
        await trio.sleep(0.15)
        await caller.send_all(request(2))
        self.assertEqual(REFUSED, (await read_answer(caller))[:13])
        self.assertEqual(1, len(platform.replica.runs))
