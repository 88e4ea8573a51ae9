"""Tests of the links between VMs, over in-memory streams."""

import struct

import trio
from trio.testing import memory_stream_pair

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.peers import Link, LinkEvents, accept
from hemlocktrestle.peers._link import RECEIVE_TIMEOUT_S, dial
from hemlocktrestle.wire import (
    FRAME_BYTES_MAX,
    PROTOCOL_VERSION,
    FrameReader,
    Heartbeat,
    Hello,
    Message,
    frame_bytes,
)
from tests.odd_values import ODD_ADDRESSES
from tests.support import TrioTestCase

OURS = Hello(PROTOCOL_VERSION, "v1", "z", "r", "boot")
PEER = Hello(PROTOCOL_VERSION, "v2", "z", "r", "boot")
HEARTBEAT = Heartbeat(1, "l", 0, False)


class Peer:
    """The other end of a link that was accepted."""

    def __init__(self, *, names: frozenset[str] | None = None) -> None:
        self.stream, self._accepted = memory_stream_pair()
        self.names = names
        self.received: list[Message] = []
        self.closed: list[str] = []
        self.kind: ErrorKind | None = None
        self.reason = ""

    async def serve(self) -> None:
        """Run the accepted end, and record why it ended."""
        events = LinkEvents(
            lambda hello, link: None,
            lambda vm, message: self.received.append(message),
            lambda vm, link: self.closed.append(vm),
        )
        try:
            await accept(
                self._accepted,
                hello=OURS,
                events=events,
                peer_names=lambda stream: self.names,
            )
        except* RequestError as errors:
            error = errors.exceptions[0]
            while isinstance(error, BaseExceptionGroup):
                error = error.exceptions[0]
            assert isinstance(error, RequestError)
            self.kind, self.reason = error.kind, error.message

    async def drain(self) -> None:
        """Read and discard what the accepted end sends."""
        reader = FrameReader()
        while data := await self.stream.receive_some(65536):
            list(reader.feed(bytes(data)))


class AcceptedLinkTests(TrioTestCase):
    """An invalid link ends with an error that gives the reason; others go on."""

    async def _end(self, *pieces: bytes, names: frozenset[str] | None = None) -> Peer:
        """Send chunks, and return once the accepted end has ended."""
        peer = Peer(names=names)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(peer.drain)
            with trio.fail_after(60):
                async with trio.open_nursery() as serving:
                    serving.start_soon(peer.serve)
                    for piece in pieces:
                        await peer.stream.send_all(piece)
                    if pieces and pieces[-1] == b"":
                        await peer.stream.send_eof()
            nursery.cancel_scope.cancel()
        return peer

    async def test_another_version_is_refused(self) -> None:
        """A hello message with another version ends the link."""
        peer = await self._end(frame_bytes(PEER._replace(version=99)))
        self.assertIs(ErrorKind.PEER_VERSION, peer.kind)
        self.assertEqual([], peer.closed)

    async def test_a_name_that_is_not_in_the_certificate(self) -> None:
        """A hello message with a name that is not in the certificate ends the link."""
        peer = await self._end(frame_bytes(PEER), names=frozenset({"v3"}))
        self.assertIs(ErrorKind.PEER_IDENTITY, peer.kind)

    async def test_no_hello(self) -> None:
        """A first message of another kind, or none, ends the link."""
        for piece in (frame_bytes(HEARTBEAT), b"\0"):
            peer = await self._end(piece)
            self.assertIs(ErrorKind.PEER_FRAME, peer.kind)

    async def test_a_truncated_frame(self) -> None:
        """Messages before a truncated frame are received, and the reason is given."""
        whole = frame_bytes(HEARTBEAT)
        peer = await self._end(frame_bytes(PEER), whole + whole[:-3], b"")
        self.assertEqual("frame cut short", peer.reason)
        self.assertEqual([HEARTBEAT], peer.received)
        self.assertEqual(["v2"], peer.closed)

    async def test_a_frame_that_is_too_large(self) -> None:
        """The length prefix of a frame over the limit ends the link at once."""
        huge = struct.pack(">I", FRAME_BYTES_MAX + 1)
        peer = await self._end(frame_bytes(PEER), huge)
        self.assertIs(ErrorKind.PEER_FRAME, peer.kind)
        self.assertIn("largest size", peer.reason)

    async def test_garbage_in_a_frame(self) -> None:
        """Bytes that are not a message end the link only."""
        garbage = struct.pack(">I", 16) + b"\xff" * 16
        peer = await self._end(frame_bytes(PEER), garbage)
        self.assertIs(ErrorKind.PEER_FRAME, peer.kind)

    async def test_a_link_that_breaks_before_the_handshake(self) -> None:
        """A link that breaks before the handshake ends with a ``RequestError``."""
        peer = Peer()
        await peer.stream.aclose()
        await peer.serve()
        self.assertEqual(ErrorKind.PEER_FRAME, peer.kind)

    async def test_silence(self) -> None:
        """A link without received data ends after ``RECEIVE_TIMEOUT_S``."""
        started_s = trio.current_time()
        peer = await self._end(frame_bytes(PEER))
        self.assertEqual("link fell silent", peer.reason)
        self.assertAlmostEqual(
            RECEIVE_TIMEOUT_S, trio.current_time() - started_s, places=1
        )

    async def test_another_link_is_unaffected(self) -> None:
        """A link that ends with an error does not affect another link."""
        good = Peer()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(good.drain)
            nursery.start_soon(good.serve)
            await good.stream.send_all(frame_bytes(PEER))
            await self._end(frame_bytes(PEER._replace(version=99)))
            await good.stream.send_all(frame_bytes(HEARTBEAT))
            await trio.sleep(0.1)
            self.assertEqual([HEARTBEAT], good.received)
            nursery.cancel_scope.cancel()


class OutgoingTests(TrioTestCase):
    """A message that cannot be encoded is dropped, and the link goes on."""

    async def test_a_message_that_does_not_fit_is_dropped(self) -> None:
        """Guards against one odd number that ends the link, or the process."""
        links: list[Link] = []
        received: list[Message] = []
        ours, theirs = memory_stream_pair()
        events = LinkEvents(
            lambda hello, link: links.append(link),
            lambda vm, message: None,
            lambda vm, link: None,
        )

        async def serve() -> None:
            await accept(
                theirs, hello=OURS, events=events, peer_names=lambda stream: None
            )

        async def read() -> None:
            reader = FrameReader()
            while data := await ours.receive_some(65_536):
                received.extend(reader.feed(bytes(data)))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve)
            nursery.start_soon(read)
            await ours.send_all(frame_bytes(PEER))
            await trio.sleep(0.1)
            for revision in (-1, 10**30, 2**64):
                links[0].post(HEARTBEAT._replace(tree_revision=revision))
                await trio.sleep(0.1)
                links[0].post(HEARTBEAT)
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        self.assertEqual([OURS, HEARTBEAT, HEARTBEAT, HEARTBEAT], received)


class DialTests(TrioTestCase):
    """A link that cannot be opened ends with an error that gives the reason."""

    async def test_an_address_that_cannot_be_used(self) -> None:
        """Guards against an odd address in a VM's entry that ends the process."""
        events = LinkEvents(
            lambda hello, link: None,
            lambda vm, message: None,
            lambda vm, link: None,
        )
        for address in ODD_ADDRESSES:
            if not isinstance(address, str):
                continue
            try:
                await dial(address, "v2", hello=OURS, events=events, tls=None)
            except RequestError as error:
                self.assertIs(ErrorKind.PEER_FRAME, error.kind)
            else:
                self.fail(f"the link was opened: {address!r}")
