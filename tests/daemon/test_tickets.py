"""Tests of tickets between VMs, and of the route that gives them out."""

import json

import trio

from tests.daemon.walk import ENGINES, TICKETED_CHAT, Story
from tests.support import Answer, TrioTestCase, World


class TicketRouteTests(TrioTestCase):
    """``POST /v1/tickets`` gives out tickets that every VM can use."""

    async def ask(self, body: bytes) -> Answer:
        """Ask one VM for tickets."""
        async with trio.open_nursery() as nursery:
            world = World(vms={"v1": "z1"}, upstreams=ENGINES)
            await world.start(nursery)
            answer = await world.call("v1", "/v1/tickets", body, caller="wiper")
            nursery.cancel_scope.cancel()
        return answer

    async def test_it_gives_as_many_as_asked_for(self) -> None:
        """An empty body asks for one; the answer tells how long they last."""
        for body, count in ((b"", 1), (b"{}", 1), (b'{"count": 7}', 7)):
            given = json.loads((await self.ask(body)).body)
            self.assertEqual(count, len(set(given["tickets"])))
            self.assertEqual(15 * 60 * 1000, given["lifetime_ms"])

    async def test_a_wrong_count_is_told(self) -> None:
        """Broken JSON, wrong types and numbers out of range each get an answer."""
        for body in (b"{", b"[]", b'{"count": 0}', b'{"count": true}', b"\xff"):
            answer = await self.ask(body)
            self.assertEqual((400, "not-run"), (answer.status, answer.outcome))


class TicketDeskTests(TrioTestCase):
    """Any doubt about a ticket gives "unknown", and never a run."""

    async def kinds(self, *, is_cut: bool = False, is_killed: bool = False) -> str:
        """Use a ticket of v2 through v3, and return how it fails."""
        story = Story(TICKETED_CHAT, "")
        async with trio.open_nursery() as nursery:
            await story.world.start(nursery)
            story.key = TICKETED_CHAT.key(story.world)
            if is_cut:
                story.world.cut_links.add(frozenset(("v2", "v3")))
            if is_killed:
                story.kill("v2")
            answer = await story.send("v3")
            nursery.cancel_scope.cancel()
        return answer.error_kind

    async def test_the_issuer_in_another_zone_is_asked(self) -> None:
        """A ticket can be used through any VM that reaches its issuer."""
        self.assertEqual("", await self.kinds())

    async def test_an_issuer_out_of_reach_is_doubt(self) -> None:
        """Cut off or gone."""
        self.assertEqual("key_unvouched", await self.kinds(is_cut=True))
        self.assertEqual("key_unvouched", await self.kinds(is_killed=True))
