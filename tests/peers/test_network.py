"""Tests of a VM's links to its peers, over in-memory streams."""

import trio
import trio.testing

from hemlocktrestle.peers import HEARTBEAT_INTERVAL_S, PeerNetwork
from hemlocktrestle.wire import (
    PROTOCOL_VERSION,
    FrameReader,
    Heartbeat,
    Hello,
    Message,
    frame_bytes,
)
from tests.support import TrioTestCase

LINK_COUNT = 20


class HeartbeatTests(TrioTestCase):
    """All links of a VM get the same heartbeats."""

    async def test_a_heartbeat_is_built_once_for_all_links(self) -> None:
        """Guards against schedulers that spend their time on heartbeats.

        Building one sums up the demand of a whole region; a scheduler has a link to
        each of its VMs.
        """
        built_count = 0

        def build() -> Heartbeat:
            nonlocal built_count
            built_count += 1
            return Heartbeat(built_count, "l", 0, False)

        network = PeerNetwork(
            hello=_hello("v0"), heartbeat=build, peer_names=lambda stream: None
        )
        received: list[list[Message]] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(network.run)
            for number in range(1, LINK_COUNT + 1):
                ours, theirs = trio.testing.memory_stream_pair()
                nursery.start_soon(network.accept, theirs)
                received.append([])
                nursery.start_soon(_read, ours, _hello(f"v{number}"), received[-1])
            await trio.sleep(0.1)
            built_count = 0
            await trio.sleep(HEARTBEAT_INTERVAL_S * 2)
            nursery.cancel_scope.cancel()
        self.assertEqual(2, built_count)
        for messages in received:
            heartbeats = [item for item in messages if isinstance(item, Heartbeat)]
            self.assertEqual([1, 2], [item.tree_revision for item in heartbeats[-2:]])


class OddMessageTests(TrioTestCase):
    """A message that cannot be encoded does not end the task that sends it."""

    async def test_a_heartbeat_and_a_broadcast_that_do_not_fit_are_dropped(
        self,
    ) -> None:
        """Guards against one odd number in the demand that ends the process."""
        revision = -1

        def build() -> Heartbeat:
            return Heartbeat(revision, "l", 0, False)

        network = PeerNetwork(
            hello=_hello("v0"), heartbeat=build, peer_names=lambda stream: None
        )
        received: list[Message] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(network.run)
            ours, theirs = trio.testing.memory_stream_pair()
            nursery.start_soon(network.accept, theirs)
            nursery.start_soon(_read, ours, _hello("v1"), received)
            await trio.sleep(HEARTBEAT_INTERVAL_S)
            network.broadcast(build())
            self.assertEqual([_hello("v0")], received)
            revision = 7
            await trio.sleep(HEARTBEAT_INTERVAL_S * 2)
            nursery.cancel_scope.cancel()
        self.assertEqual(build(), received[-1])


def _hello(vm: str) -> Hello:
    return Hello(PROTOCOL_VERSION, vm, "z", "r", "boot")


async def _read(stream: trio.abc.Stream, hello: Hello, received: list[Message]) -> None:
    """Greet, and record what arrives."""
    await stream.send_all(frame_bytes(hello))
    reader = FrameReader()
    while data := await stream.receive_some(65_536):
        received += reader.feed(bytes(data))
