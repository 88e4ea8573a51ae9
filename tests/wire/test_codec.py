"""Tests of the encoding of messages."""

import struct
from typing import Any, get_origin, get_type_hints

from hypothesis import given
from hypothesis import strategies as st
from testtools import ExpectedException, TestCase

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.wire import (
    FRAME_BYTES_MAX,
    Ask,
    FrameReader,
    Heartbeat,
    LeavingReplica,
    Message,
    PoolSummary,
    decode,
    encode,
    frame_bytes,
)
from hemlocktrestle.wire._registry import MESSAGE_TYPES
from tests.odd_values import JSON_VALUES

ASK = Ask(
    "r1.0", "assistant", "clinics", 1, 2.5, 100, 50, 2**63, 9000, ("e1", "e2")
)._replace(first_ms=120, total_ms=2_400)
HEARTBEAT = Heartbeat(
    7,
    "line",
    120,
    True,
    (PoolSummary("assistant", 3, 40, 2, 1), PoolSummary("sorter", 0, 0, 4)),
    leaving=(LeavingReplica("i-1", 1_780_000_000_000),),
)


class CodecTests(TestCase):
    """Messages survive encoding and decoding; invalid bytes give a clear error."""

    def test_messages_come_back_as_they_were(self) -> None:
        """Lists of texts and of records are decoded as they were."""
        self.assertEqual(ASK, decode(encode(ASK)))
        self.assertEqual(HEARTBEAT, decode(encode(HEARTBEAT)))

    @given(data=st.binary(max_size=200))
    def test_random_bytes_give_a_message_or_a_peer_frame_error(
        self, data: bytes
    ) -> None:
        """The decoder raises nothing but an error of kind ``PEER_FRAME``."""
        try:
            decode(data)
        except RequestError as error:
            self.assertEqual("peer_frame", error.kind.value)

    @given(
        index=st.integers(min_value=0, max_value=300),
        mask=st.integers(min_value=1, max_value=255),
    )
    def test_changed_bytes_give_a_message_or_a_peer_frame_error(
        self, index: int, mask: int
    ) -> None:
        """Nor does it for a frame in which one byte was changed."""
        for message in (ASK, HEARTBEAT):
            data = bytearray(encode(message))
            data[index % len(data)] ^= mask
            try:
                decode(bytes(data))
            except RequestError as error:
                self.assertIs(ErrorKind.PEER_FRAME, error.kind)

    @given(value=JSON_VALUES)
    def test_any_value_in_any_field_is_encoded_or_refused(self, value: Any) -> None:
        """Guards against a number too large that ends the task of the link."""
        for record in MESSAGE_TYPES.values():
            hints = get_type_hints(record)
            fields = {
                name: (get_origin(hint) or hint)() for name, hint in hints.items()
            }
            for name, hint in hints.items():
                if get_origin(hint) is not None:
                    continue
                try:
                    decode(encode(record(**{**fields, name: value})))
                except RequestError as error:
                    self.assertIs(ErrorKind.PEER_FRAME, error.kind)


class FrameReaderTests(TestCase):
    """Frames are read from a stream that arrives in chunks of any size."""

    @given(size=st.integers(min_value=1, max_value=64))
    def test_pieces_of_any_size_give_the_same_messages(self, size: int) -> None:
        """Messages are complete and in order for every chunk size."""
        data = frame_bytes(ASK) + frame_bytes(HEARTBEAT)
        reader = FrameReader()
        found: list[Message] = []
        for start in range(0, len(data), size):
            found += reader.feed(data[start : start + size])
        self.assertEqual([ASK, HEARTBEAT], found)
        self.assertTrue(reader.is_at_frame_boundary)

    def test_a_frame_over_the_limit_is_refused_before_it_is_read(self) -> None:
        """A length prefix over the limit is refused without the frame."""
        prefix = struct.pack(">I", FRAME_BYTES_MAX + 1)
        with ExpectedException(RequestError):
            list(FrameReader().feed(prefix))
