"""Tests of requests that are dispatched to another zone."""

import trio

from hemlocktrestle.membership import UpstreamRecord
from tests.support import TrioTestCase, World
from tests.support._world import MODEL

LONG_TOKENS = 2_000


def engine(name: str, zone: str) -> UpstreamRecord:
    """Return the record of an engine in a zone."""
    return UpstreamRecord(
        name, zone, "region", f"{name}:1", "engine", (MODEL,), "g", False
    )


class OtherZoneTests(TrioTestCase):
    """Two zones of two VMs; each has one engine."""

    def setUp(self) -> None:
        super().setUp()
        self.world = World(
            vms={"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
            upstreams=(engine("ea", "a"), engine("eb", "b")),
        )

    def in_flight(self, upstream: str) -> int:
        """Return how many requests all schedulers count in flight on an upstream."""
        return sum(
            len(model.in_flight)
            for vm in self.world.vms.values()
            for scheduler in vm.scheduler.schedulers().values()
            for model in scheduler.models()
            if model.record.name == upstream
        )

    async def fill_own_zone(self, nursery: trio.Nursery) -> None:
        """Send more long calls than the engine of zone A has slots."""
        for index in range(12):
            nursery.start_soon(self.long_chat, f"long {index}")
        await trio.sleep(2)

    async def long_chat(self, text: str) -> None:
        """Make a call that takes about twenty seconds."""
        await self.world.chat("a1", "wiper", text, max_tokens=LONG_TOKENS)

    async def test_a_call_goes_where_it_waits_less(self) -> None:
        """While calls queue in the own zone, a new one runs in the idle zone."""
        async with trio.open_nursery() as nursery:
            await self.world.start(nursery)
            await self.fill_own_zone(nursery)
            sent_s = trio.current_time()
            answer = await self.world.chat("a2", "pupil", "short")
            self.assertEqual(200, answer.status)
            self.assertLess(trio.current_time() - sent_s, 5)
            self.assertEqual("eb:1", self.world.upstreams.dispatches[-1].address)
            nursery.cancel_scope.cancel()

    async def test_a_permit_of_another_zone_is_given_back_there(self) -> None:
        """The other zone's scheduler counts the request until it ends, not longer."""
        async with trio.open_nursery() as nursery:
            await self.world.start(nursery)
            await self.fill_own_zone(nursery)
            with trio.move_on_after(10):
                await self.world.chat("a2", "wiper", "far", max_tokens=500)
            await trio.sleep(1)
            self.assertEqual(0, self.in_flight("eb"))
            nursery.cancel_scope.cancel()
