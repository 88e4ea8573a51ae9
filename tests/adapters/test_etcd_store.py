"""Tests of the client of the key-value service with answers of another form."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import httpcore
import trio
from testtools import ExpectedException, TestCase

from hemlocktrestle.adapters import EtcdStore, _etcd_store
from hemlocktrestle.adapters._etcd_store import LINE_BYTES_MAX
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.timers import STEPS_PER_CHECKPOINT, Checkpointer
from tests.odd_values import ODD_BYTES
from tests.standins.http import Connection, GoneError
from tests.support import TrioTestCase
from tests.support._step_work import count_step_work

ODD_ANSWERS: tuple[bytes, ...] = (
    *ODD_BYTES,
    b"{}",
    b'{"header": 7, "ID": [], "result": 7}',
    b'{"header": {"revision": null}, "ID": {}, "result": {"TTL": "x"}}',
    b'{"header": {"revision": 1e999}, "ID": "x", "result": []}',
    b'{"header": {"revision": "1"}, "kvs": 7, "responses": 7, "ID": null}',
    b'{"header": {"revision": "1"}, "kvs": [7], "responses": [7]}',
    b'{"header": {"revision": "1"}, "kvs": [{"key": 7}], "responses": [{}, 7]}',
    b'{"header": {"revision": "1"}, "kvs": [{"key": "A"}], "responses": null}',
)
"""Answers that no call can read, though some read as an empty result."""


class _Pool:
    """Answers every request with the same body."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def request(self, *args: object, **options: object) -> httpcore.Response:
        response = httpcore.Response(200, content=self._body)
        await response.aread()
        return response

    @asynccontextmanager
    async def stream(
        self, *args: object, **options: object
    ) -> AsyncIterator[httpcore.Response]:
        yield httpcore.Response(200, content=_chunks(self._body + b"\n"))


async def _chunks(body: bytes) -> AsyncIterator[bytes]:
    yield body


async def _first_batch(store: EtcdStore) -> object:
    async with store.watch("/a", from_revision=1) as batches:
        return await anext(aiter(batches))


CALLS: tuple[Callable[[EtcdStore], Awaitable[object]], ...] = (
    lambda store: store.read("/a"),
    lambda store: store.write([], []),
    lambda store: store.grant_lease(5),
    lambda store: store.renew_lease(7),
    _first_batch,
)


class OddAnswerTests(TrioTestCase):
    """An answer of another form counts as an outage of the store."""

    async def test_odd_answers_are_an_outage(self) -> None:
        """Guards against an answer that ends the task which follows the store."""
        for data in ODD_ANSWERS:
            for call in CALLS:
                store = EtcdStore("10.0.0.1:80")
                self.patch(store, "_pool", _Pool(data))
                try:
                    await call(store)
                except RequestError as error:
                    self.assertIs(ErrorKind.STORE_UNAVAILABLE, error.kind)


class SilentConnectionTests(TestCase):
    """A pooled connection falls silent while new ones work."""

    def test_calls_that_may_be_repeated_are(self) -> None:
        """Guards against a keyed request that is refused as the store is silent.

        The store works; only the connection that was kept open does not.
        """
        trio.run(self._call_over_silent_connection)

    async def _call_over_silent_connection(self) -> None:
        calls: tuple[Callable[[EtcdStore], Awaitable[object]], ...] = (
            lambda store: store.read("/a"),
            lambda store: store.grant_lease(5),
            lambda store: store.renew_lease(7),
        )
        answer = {"header": {"revision": "1"}, "ID": "7", "result": {"TTL": "5"}}

        async def handle(stream: trio.SocketStream) -> None:
            connection = Connection(stream)
            with suppress(GoneError, trio.BrokenResourceError):
                if await connection.next_request() is not None:
                    await connection.send_json(answer)
                    # From now on nothing is read or sent on this connection.
                    await trio.sleep_forever()

        for call in calls:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                nursery.start_soon(trio.serve_listeners, handle, listeners)
                host, port = listeners[0].socket.getsockname()[:2]
                async with EtcdStore(f"{host}:{port}") as store:
                    await store.read("/a")
                    await call(store)
                nursery.cancel_scope.cancel()


class WatchLineTests(TrioTestCase):
    """The lines of a watch are read a few at a time, and each is bounded."""

    async def lines(self, *pieces: bytes) -> list[bytes]:
        """Return the lines of a body that comes in pieces."""

        async def body() -> AsyncIterator[bytes]:
            for piece in pieces:
                yield piece

        response = httpcore.Response(200, content=body())
        return [line async for line in _etcd_store._lines(response)]

    async def test_lines_are_joined_over_pieces(self) -> None:
        """A line may come in several pieces, and a piece may hold several lines."""
        self.assertEqual(
            [b"ab", b"", b"c", b"d"], await self.lines(b"a", b"b\n\nc\n", b"d\nrest")
        )

    async def test_few_lines_are_read_between_two_checkpoints(self) -> None:
        """Guards against a piece of line feeds, which was copied for each of them."""
        work = count_step_work(self, Checkpointer, "step")
        lines = await self.lines(b"\n" * 65_536)
        self.assertEqual((65_536, 65_536), (len(lines), work.total))
        self.assertLessEqual(work.largest, STEPS_PER_CHECKPOINT)

    async def test_a_line_without_end_is_bounded(self) -> None:
        """Guards against a buffer that grows as long as bytes come."""
        piece = b"x" * 65_536
        with ExpectedException(ValueError, "line is too large"):
            await self.lines(*[piece] * (LINE_BYTES_MAX // len(piece) + 1))
