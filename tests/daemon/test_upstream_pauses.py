"""Tests of upstreams that state for how long they refuse requests."""

import trio

from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.daemon.test_promise_6_leaving import RefusingUpstream, engine, nothing
from tests.support import TrioTestCase, World

REACH_S = 0.5
"""Time after a refusal in which what was sent before may reach the upstream."""


class _PausingUpstream(RefusingUpstream):
    """An upstream that is healthy, and refuses with a time to come back."""

    def __init__(self, retry_after: bytes) -> None:
        super().__init__(health=200)
        self._retry_after = retry_after

    async def answer(self, call: UpstreamCall) -> UpstreamAnswer:
        """Refuse, or answer normally."""
        answer = await super().answer(call)
        if answer.status != 503:
            return answer
        lines = ((b"retry-after", self._retry_after),)
        return UpstreamAnswer(503, lines, nothing())


class UpstreamPauseTests(TrioTestCase):
    """An upstream gets nothing from a VM until the time that it stated.

    Guards against requests that run into the next refusal because a probe, which
    costs the upstream nothing, found it healthy.
    """

    async def _sends_to(self, retry_after: bytes, seconds: float) -> list[float]:
        """Return when requests reached the upstream e1, after its first refusal."""
        async with trio.open_nursery() as nursery:
            upstreams = (engine("e1"), engine("e2"))
            world = World(vms={"v1": "z1"}, upstreams=upstreams)
            world.upstreams.behaviours["e1:1"] = _PausingUpstream(retry_after).answer
            await world.start(nursery)
            for _ in range(int(seconds / 0.05)):
                nursery.start_soon(world.chat, "v1", "nurse", "hello")
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        times = [
            dispatch.at_s
            for dispatch in world.upstreams.dispatches
            if dispatch.address == "e1:1" and dispatch.request_id
        ]
        return [at_s - times[0] for at_s in times]

    async def test_nothing_is_sent_until_the_end(self) -> None:
        """Afterwards it is tried again."""
        times = await self._sends_to(b"6.5", 12)
        self.assertEqual([], [at_s for at_s in times if REACH_S < at_s < 6.5])
        self.assertTrue(any(at_s >= 6.5 for at_s in times), times)

    async def test_what_is_no_time_asks_for_nothing(self) -> None:
        """The probe decides alone, as for a refusal that states none."""
        for stated in (b"-5", b"soon", b"nan"):
            times = await self._sends_to(stated, 5)
            self.assertTrue(any(1 <= at_s < 5 for at_s in times), times)
