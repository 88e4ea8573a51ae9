"""Tests of the whole path from a caller to an upstream, in one process."""

import trio

from hemlocktrestle.membership import UpstreamRecord
from tests.support import TrioTestCase, World

UPSTREAMS = (
    UpstreamRecord("e1", "z1", "region", "e1:1", "engine", ("assistant",), "g", False),
    UpstreamRecord("e2", "z1", "region", "e2:1", "engine", ("assistant",), "g", False),
    UpstreamRecord("l1", "z1", "region", "l1:1", "plain", ("ledger",), "g", False),
)


def two_vms() -> World:
    """Return a zone of two VMs, two engines and a ledger service."""
    return World(vms={"v1": "z1", "v2": "z1"}, upstreams=UPSTREAMS)


class WholePathTests(TrioTestCase):
    """A call passes permit, dispatch and relay, and its answer is complete."""

    async def test_a_stream_is_complete(self) -> None:
        """A streamed call ends with its end mark and the outcome "complete"."""
        async with trio.open_nursery() as nursery:
            world = two_vms()
            await world.start(nursery)
            answer = await world.chat("v1", "nurse", "hello", stream=True)
            nursery.cancel_scope.cancel()
        self.assertEqual((200, "complete"), (answer.status, answer.outcome))
        self.assertIn(b"data: [DONE]", answer.body)
        self.assertEqual(1, len(world.upstreams.dispatches))

    async def test_a_resent_wipe_gets_the_recorded_answer(self) -> None:
        """Two calls under one key through two VMs are dispatched once."""
        async with trio.open_nursery() as nursery:
            world = two_vms()
            await world.start(nursery)
            answers = [
                await world.call(
                    vm, "/services/ledger/w", b"{}", caller="wiper", idempotency_key="k"
                )
                for vm in ("v1", "v2")
            ]
            nursery.cancel_scope.cancel()
        self.assertEqual([201, 201], [answer.status for answer in answers])
        self.assertEqual(1, len(world.upstreams.dispatches))
