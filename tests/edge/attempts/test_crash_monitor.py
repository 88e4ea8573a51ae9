"""Tests of detecting requests that crash replicas."""

from typing import Any

import trio
import trio.testing

from hemlocktrestle.edge._state import now_ms
from hemlocktrestle.edge.attempts import _crash_monitor
from hemlocktrestle.edge.attempts._crash_monitor import CrashMonitor
from hemlocktrestle.edge.attempts._part_gate import PartGate
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.quarantine import QuarantineRegistry
from hemlocktrestle.relay import ConnectTimeoutError
from hemlocktrestle.wire import Message, Suspicion
from tests.edge.harness import EdgeHarness
from tests.support import TrioTestCase


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []

    def broadcast(self, message: Message, *, skip: str = "") -> None:
        self.sent.append((skip, message))


def suspicion(upstream: str) -> Suspicion:
    """Return a suspicion that one request crashed a replica."""
    return Suspicion("ledger", "fingerprint", upstream, "r1")


NOBODY_THERE = RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "nobody there")


class CrashMonitorTests(TrioTestCase):
    """Crashes are distinguished from broken connections, and broadcast."""

    def monitor(self) -> tuple[CrashMonitor, QuarantineRegistry, _Links]:
        """Return a monitor, its quarantine registry and its sent messages."""
        links: Any = _Links()
        registry = QuarantineRegistry()
        gate = PartGate(EdgeHarness(self, {}).state)
        return CrashMonitor(registry, links, gate), registry, links

    async def probe(
        self, failure: RequestError | None
    ) -> tuple[QuarantineRegistry, _Links]:
        """Report a closed connection; return the registry and the sent messages.

        Args:
            failure: how the probe's connect fails, or ``None`` if it is accepted.
        """

        async def open_connection(address: str) -> trio.abc.Stream:
            if failure is None:
                return trio.testing.memory_stream_pair()[0]
            raise failure

        self.patch(_crash_monitor, "open_connection", open_connection)
        monitor, registry, links = self.monitor()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(monitor.run)
            pending = _crash_monitor._PendingProbe(suspicion("u1"), "u1:1")
            monitor._probe_sender.send_nowait(pending)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        return registry, links

    async def test_a_probe_without_reply_leads_to_no_suspicion(self) -> None:
        """Guards against sound requests that are quarantined by a VM that is late."""
        no_reply = ConnectTimeoutError(ErrorKind.UPSTREAM_UNREACHABLE, "no reply")
        registry, links = await self.probe(no_reply)
        self.assertEqual((0, []), (len(registry), links.sent))

    async def test_a_replica_accepting_the_probe_is_not_suspected(self) -> None:
        """A replica that accepts a probe connection leads to no suspicion."""
        registry, links = await self.probe(None)
        self.assertEqual((0, []), (len(registry), links.sent))

    async def test_a_replica_refusing_the_probe_is_suspected(self) -> None:
        """A replica that refuses the probe leads to a broadcast suspicion."""
        registry, links = await self.probe(NOBODY_THERE)
        self.assertEqual((1, [("", suspicion("u1"))]), (len(registry), links.sent))

    async def test_a_received_suspicion_is_forwarded_once(self) -> None:
        """A received suspicion is forwarded once, and not to its sender."""
        monitor, registry, links = self.monitor()
        for vm in ("v2", "v3"):
            monitor.on_message(vm, suspicion("u1"))
        self.assertEqual([("v2", suspicion("u1"))], links.sent)
        monitor.on_message("v2", suspicion("u2"))
        entry = registry.find("fingerprint", now_ms())
        self.assertTrue(entry is not None and entry.is_quarantined)
