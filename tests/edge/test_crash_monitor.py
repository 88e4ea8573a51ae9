"""Tests of requests that crash the replicas that run them."""

from typing import Any

import trio
import trio.testing

from hemlocktrestle.edge import _crash_monitor
from hemlocktrestle.edge._crash_monitor import CrashMonitor
from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.wire import Message, Suspicion
from tests.support import TrioTestCase


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    def broadcast(self, message: Message, *, skip: str = "") -> None:
        self.sent.append((skip, message))


def suspicion(upstream: str) -> Suspicion:
    """Return word of a crash of a replica by one request."""
    return Suspicion("ledger", "fingerprint", upstream, "r1")


class CrashWatchTests(TrioTestCase):
    """A crash is told from a broken connection, and told to all."""

    def watch(self) -> tuple[CrashMonitor, QuarantineRegistry, _Links]:
        """Return a watch, what it knows, and what it sends."""
        links: Any = _Links()
        book = QuarantineRegistry()
        return CrashMonitor(book, links), book, links

    async def look(self, *, is_there: bool) -> tuple[QuarantineRegistry, _Links]:
        """Let a replica break off and return what follows."""

        async def open_connection(address: str) -> trio.abc.Stream:
            if is_there:
                return trio.testing.memory_stream_pair()[0]
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")

        self.patch(_crash_monitor, "open_connection", open_connection)
        watch, book, links = self.watch()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            broken = _crash_monitor._Broken(suspicion("u1"), "u1:1")
            watch._broken.send_nowait(broken)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        return book, links

    async def test_a_replica_that_still_takes_connections_did_not_crash(self) -> None:
        """Answers are lost for many reasons."""
        book, links = await self.look(is_there=True)
        self.assertEqual((0, []), (len(book), links.sent))

    async def test_a_replica_that_is_gone_did(self) -> None:
        """Every other VM hears of it."""
        book, links = await self.look(is_there=False)
        self.assertEqual((1, [("", suspicion("u1"))]), (len(book), links.sent))

    async def test_word_is_passed_on_once(self) -> None:
        """Not back to where it came from, and not again."""
        watch, book, links = self.watch()
        for vm in ("v2", "v3"):
            watch.heard(vm, suspicion("u1"))
        self.assertEqual([("v2", suspicion("u1"))], links.sent)
        watch.heard("v2", suspicion("u2"))
        entry = book.find("fingerprint", now_ms())
        self.assertTrue(entry is not None and entry.is_quarantined)
