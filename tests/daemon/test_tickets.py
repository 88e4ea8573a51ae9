"""Tests of tickets between VMs, and of the route that issues them."""

import json

import trio

from tests.daemon.scenario import ENGINES, TICKETED_CHAT, Scenario
from tests.support import Answer, TrioTestCase, World


class TicketRouteTests(TrioTestCase):
    """``POST /v1/tickets`` issues tickets."""

    async def request_tickets(self, body: bytes) -> Answer:
        """Request tickets from one VM."""
        async with trio.open_nursery() as nursery:
            world = World(vms={"v1": "z1"}, upstreams=ENGINES)
            await world.start(nursery)
            answer = await world.call("v1", "/v1/tickets", body, caller="wiper")
            nursery.cancel_scope.cancel()
        return answer

    async def test_it_gives_as_many_as_asked_for(self) -> None:
        """An empty body asks for one ticket; the answer gives the lifetime."""
        for body, count in ((b"", 1), (b"{}", 1), (b'{"count": 7}', 7)):
            given = json.loads((await self.request_tickets(body)).body)
            self.assertEqual(count, len(set(given["tickets"])))
            self.assertEqual(15 * 60 * 1000, given["lifetime_ms"])

    async def test_a_wrong_count_is_refused(self) -> None:
        """Broken JSON, wrong types and numbers out of range are refused with 400."""
        for body in (b"{", b"[]", b'{"count": 0}', b'{"count": true}', b"\xff"):
            answer = await self.request_tickets(body)
            self.assertEqual((400, "not-run"), (answer.status, answer.outcome))


class TicketServiceTests(TrioTestCase):
    """Without a verdict of the issuer a request is refused, and does not run."""

    async def ticket_error_kind(
        self, *, is_cut: bool = False, is_killed: bool = False
    ) -> str:
        """Use a ticket of v2 through v3, and return the error kind."""
        scenario = Scenario(TICKETED_CHAT, "")
        async with trio.open_nursery() as nursery:
            await scenario.world.start(nursery)
            scenario.key = TICKETED_CHAT.key(scenario.world)
            if is_cut:
                scenario.world.cut_links.add(frozenset(("v2", "v3")))
            if is_killed:
                scenario.kill("v2")
            answer = await scenario.send("v3")
            nursery.cancel_scope.cancel()
        return answer.error_kind

    async def test_the_issuer_in_another_zone_is_asked(self) -> None:
        """A ticket can be used through any VM that can reach its issuer."""
        self.assertEqual("", await self.ticket_error_kind())

    async def test_an_issuer_out_of_reach_is_doubt(self) -> None:
        """An issuer that is cut off or killed gives no verdict."""
        self.assertEqual("key_unvouched", await self.ticket_error_kind(is_cut=True))
        self.assertEqual("key_unvouched", await self.ticket_error_kind(is_killed=True))
