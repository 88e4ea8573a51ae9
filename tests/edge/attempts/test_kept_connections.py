"""Tests of kept connections to stand-in replicas, over sockets."""

from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio
import trio.testing
from testtools import TestCase

from hemlocktrestle.edge.attempts import _attempt
from hemlocktrestle.edge.attempts._kept_connections import DOUBT_MS
from hemlocktrestle.edge.placing._placement import AttemptEnd
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import Configuration, RequestKind
from tests.edge.harness import EdgeHarness, Reply, Script, answer_status, sealed
from tests.gateway.records import at, configuration, replica_update, route
from tests.standins.http import Connection, GoneError, Request
from tests.support import TrioTestCase

ONCE = route(kind=RequestKind.NON_IDEMPOTENT, attempts=1)
IDLE_S = 4
"""Time after which the stand-ins close idle connections, in whole seconds."""

Idle = Callable[[trio.SocketStream], Awaitable[None]]
"""What a replica does with a connection after its first answer."""


def keeping(**changes: str) -> Script:
    """Return a script that answers 200 and states how long it keeps connections."""

    async def script(connection: Connection, request: Request) -> None:
        lines = sealed(b"done", request, **{"keep-alive": f"timeout={IDLE_S}"})
        lines |= changes
        await connection.send_head(200, {k: v for k, v in lines.items() if v})
        await connection.send_chunk(b"done")
        await connection.finish()

    return script


def found(*routes: Any, connections_max: int = 40) -> Configuration:
    """Return a configuration that states how many connections a replica accepts."""
    result = configuration(*routes)
    result.services = {
        name: service._replace(connections_max=connections_max)
        for name, service in result.services.items()
    }
    return result


class KeptHarness(EdgeHarness):
    """An edge server and replicas that serve several requests on a connection.

    ``after_first`` is what replicas do a while after the first answer on a connection;
    ``opened`` names the replica of each connection in order.
    """

    def __init__(
        self, case: TestCase, script: Script, *names: str, **arguments: Any
    ) -> None:
        arguments.setdefault("found", found())
        super().__init__(case, dict.fromkeys(names or ("r1",), script), **arguments)
        case.patch(_attempt, "open_connection", self.open_socket)
        self.after_first: Idle | None = None
        self.opened: list[str] = []
        self.closed = 0
        self.replicas: trio.Nursery | None = None

    @property
    def pool(self) -> Any:
        """The pool of idle connections."""
        return self.state.kept_connections

    async def open_socket(self, address: str) -> trio.SocketStream:
        """Connect to a replica, as the edge does."""
        if address not in self.scripts:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")
        ours, theirs = trio.socket.socketpair()
        self.opened.append(address)
        assert self.replicas is not None
        self.replicas.start_soon(self._serve, address, trio.SocketStream(theirs))
        return trio.SocketStream(ours)

    async def _serve(self, address: str, stream: trio.SocketStream) -> None:
        connection = Connection(stream)
        is_first = True
        try:
            while (request := await connection.next_request()) is not None:
                self.requests.append((address, request))
                await self.scripts[address](connection, request)
                if connection.machine.our_state is not h11.DONE:
                    return
                connection.machine.start_next_cycle()
                if is_first and self.after_first is not None:
                    await trio.sleep(0.1)
                    await self.after_first(stream)
                is_first = False
        except (GoneError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.closed += 1
            await trio.aclose_forcefully(stream)


class KeptConnectionTests(TrioTestCase):
    """A connection is used again only where nobody can be harmed by it."""

    async def send(
        self, harness: KeptHarness, *requests: dict[str, Any], rest_s: float = 0.2
    ) -> list[Reply]:
        """Send requests one after the other; return the replies."""
        replies = []
        async with trio.open_nursery() as nursery:
            harness.replicas = nursery
            for number, request in enumerate(requests):
                if number:
                    await trio.sleep(rest_s)
                replies.append(await harness.send(**request))
            harness.pool.check()
            nursery.cancel_scope.cancel()
        return replies

    async def test_requests_share_a_connection(self) -> None:
        """Each gets its own answer, over one connection."""
        harness = KeptHarness(self, keeping())
        replies = await self.send(harness, {}, {"X_Attempt_Id": "a2"}, {})
        ids = [reply.headers[b"x-attempt-id"] for reply in replies]
        self.assertEqual(([b"a1", b"a2", b"a1"], ["r1"]), (ids, harness.opened))
        self.assertEqual((1, 2), (harness.pool.opened_count, harness.pool.reused_count))

    async def test_a_request_that_may_run_once_gets_its_own_connection(self) -> None:
        """Nobody could say of it that it has not run if the connection had ended."""
        harness = KeptHarness(self, keeping(), found=found(ONCE))
        await self.send(harness, {}, {"method": "POST", "body": b"wipe"})
        self.assertEqual(["r1", "r1"], harness.opened)

    async def test_a_long_body_gets_its_own_connection(self) -> None:
        """A long write may fail halfway."""
        harness = KeptHarness(self, keeping())
        await self.send(harness, {}, {"method": "POST", "body": b"x" * 20_000})
        self.assertEqual(2, len(harness.opened))

    async def test_what_a_replica_does_not_state_is_not_assumed(self) -> None:
        """No time, the end of the connection, or no bound in the configuration."""
        for script, bound in (
            (keeping(**{"keep-alive": ""}), 40),
            (keeping(connection="close"), 40),
            (keeping(), 0),
        ):
            harness = KeptHarness(self, script, found=found(connections_max=bound))
            await self.send(harness, {}, {})
            self.assertEqual((2, 0), (len(harness.opened), harness.pool.count))

    async def test_a_connection_is_not_used_near_its_end(self) -> None:
        """The replica may close it while the request is on its way."""
        harness = KeptHarness(self, keeping())
        await self.send(harness, {}, {}, rest_s=IDLE_S - 0.4)
        self.assertEqual(2, len(harness.opened))

    async def test_a_closed_connection_is_not_used(self) -> None:
        """Nothing is sent again, and no retry is spent."""
        harness = KeptHarness(self, keeping())
        harness.after_first = lambda stream: stream.aclose()
        replies = await self.send(harness, {}, {})
        self.assertEqual([200, 200], [reply.status for reply in replies])
        self.assertEqual((2, 1), (len(harness.requests), harness.pool.dead_count))

    async def test_extra_bytes_after_an_answer_reach_nobody(self) -> None:
        """They are read before the next request, and the connection is closed."""
        harness = KeptHarness(self, keeping())
        harness.after_first = lambda stream: stream.send_all(LATE)
        replies = await self.send(harness, {}, {})
        self.assertEqual([b"done", b"done"], [reply.body for reply in replies])
        self.assertEqual(2, len(harness.opened))

    async def test_an_extra_answer_where_the_next_is_due_reaches_nobody(self) -> None:
        """The caller gets the answer to its request, over another connection."""
        harness = KeptHarness(self, self._second(_answer_late))
        replies = await self.send(harness, {}, {})
        self.assertEqual(
            [(200, b"done"), (200, b"done")],
            [(reply.status, reply.body) for reply in replies],
        )
        self.assertEqual(["r1", "r1"], harness.opened)

    async def test_a_connection_that_dies_under_a_request_costs_nothing(self) -> None:
        """The caller gets its answer, also if no other replica can give it."""
        for names in (("r1",), ("r1", "r2")):
            harness = KeptHarness(self, self._second(_close), *names, preferred="r1")
            replies = await self.send(harness, {}, {})
            self.assertEqual([200, 200], [reply.status for reply in replies])
            self.assertEqual(["r1", names[-1]], harness.opened)
            self.assertEqual(
                [AttemptEnd.RELAYED, AttemptEnd.BROKEN, AttemptEnd.RELAYED],
                [end for _, end in harness.released],
            )

    async def test_it_is_sent_no_more_often_than_its_route_allows(self) -> None:
        """The replica may have run what was sent on the connection that ended."""
        harness = KeptHarness(self, self._second(_close, _close, _close))
        replies = await self.send(harness, {}, {})
        self.assertEqual([200, 502], [reply.status for reply in replies])
        self.assertEqual(["r1"] * 3, harness.reached_replicas())
        single = KeptHarness(self, keeping(), found=found(route(attempts=1)))
        await self.send(single, {}, {})
        self.assertEqual((["r1"] * 2, 0), (single.opened, single.pool.reused_count))

    async def test_a_replica_with_dead_connections_is_not_kept_for_a_while(
        self,
    ) -> None:
        """Guards against a faulty replica that takes an attempt of each request."""
        harness = KeptHarness(self, self._second(_close))
        await self.send(harness, {}, {}, {}, {})
        self.assertEqual((4, 1), (len(harness.opened), harness.pool.reused_count))
        await trio.sleep(DOUBT_MS / 1000)
        harness.pool.check()
        await self.send(harness, {}, {})
        self.assertEqual((5, 2), (len(harness.opened), harness.pool.reused_count))

    async def test_it_is_sent_again_within_the_budget_only(self) -> None:
        """An arrival at a replica more counts, whatever the first one's fate."""
        harness = KeptHarness(self, self._second(_close))
        budget = harness.state.retry_budget("ledger")
        while budget.try_spend(1, trio.current_time() * 1000):
            pass
        replies = await self.send(harness, {}, {})
        self.assertEqual([200, 502], [reply.status for reply in replies])
        self.assertEqual(2, len(harness.requests))

    async def test_a_refusal_after_that_promises_nothing(self) -> None:
        """The replica may have run what was sent on the connection that ended."""
        refusal = answer_status(503, is_unrun=True)
        harness = KeptHarness(self, self._second(_close, refusal))
        replies = await self.send(harness, {}, {})
        self.assertEqual([200, 502], [reply.status for reply in replies])

    async def test_a_late_end_is_the_requests_own(self) -> None:
        """A replica that ends after it had time to run the request may have crashed."""
        harness = KeptHarness(self, self._second(_close_later))
        replies = await self.send(harness, {}, {})
        self.assertEqual([200, 502], [reply.status for reply in replies])
        self.assertEqual(["r1"], harness.disconnected)

    async def test_the_connection_of_a_caller_that_leaves_is_closed(self) -> None:
        """That tells the replica to stop."""
        harness = KeptHarness(self, self._second(_wait))
        await self.send(harness, {}, {"leave_after_ms": 300})
        self.assertEqual((0, 1), (harness.pool.count, harness.closed))

    async def test_a_replica_that_drains_or_restarts_loses_its_connections(
        self,
    ) -> None:
        """So does every replica of a VM that shuts down."""
        changes: tuple[Callable[[KeptHarness], object], ...] = (
            lambda harness: harness.state.replicas.apply_update(
                replica_update("r1", 2, is_draining=True)
            ),
            lambda harness: harness.state.replicas.apply_update(
                replica_update("r1", 2, born_ms=8)
            ),
            lambda harness: harness.state.replicas.apply_removal("r1", at(2), 0),
            lambda harness: harness.state.shutdown.begin(),
        )
        for change in changes:
            harness = KeptHarness(self, keeping())
            async with trio.open_nursery() as nursery:
                harness.replicas = nursery
                await harness.send()
                self.assertEqual(1, harness.pool.count)
                change(harness)
                harness.pool.check()
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual((0, 1), (harness.pool.count, harness.closed))
                nursery.cancel_scope.cancel()

    async def test_a_crowd_leaves_no_more_than_the_bound(self) -> None:
        """A quarter of what the replica accepts stays open, and closes in time."""
        harness = KeptHarness(self, keeping(), found=found(connections_max=20))
        async with trio.open_nursery() as nursery:
            harness.replicas = nursery
            nursery.start_soon(harness.pool.run)
            statuses = await harness.send_together(12)
            self.assertEqual(([200] * 12, 5), (statuses, harness.pool.count))
            await trio.sleep(IDLE_S)
            self.assertEqual((0, 12), (harness.pool.count, harness.closed))
            nursery.cancel_scope.cancel()

    def _second(self, *scripts: Script) -> Script:
        """Return a script that answers, but its next requests as ``scripts`` do."""
        rest = [keeping(), *scripts]

        async def script(connection: Connection, request: Request) -> None:
            await (rest.pop(0) if rest else keeping())(connection, request)

        return script


LATE = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: a0\r\nx-response-seal: s\r\n"
    b"content-length: 5\r\n\r\nother"
)


async def _answer_late(connection: Connection, request: Request) -> None:
    await connection.stream.send_all(LATE)
    await keeping()(connection, request)


async def _close(connection: Connection, request: Request) -> None:
    await connection.stream.aclose()


async def _close_later(connection: Connection, request: Request) -> None:
    await trio.sleep(0.3)
    await connection.stream.aclose()


async def _wait(connection: Connection, request: Request) -> None:
    await connection.wait_closed()
    raise GoneError
