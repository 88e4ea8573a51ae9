"""Tests of the client of the key-value service with answers of another form."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import httpcore

from hemlocktrestle.adapters import EtcdStore
from hemlocktrestle.errors import ErrorKind, RequestError
from tests.odd_values import ODD_BYTES
from tests.support import TrioTestCase

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
