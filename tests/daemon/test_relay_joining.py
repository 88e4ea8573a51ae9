"""Tests that pieces of a stream are joined without delay, loss or reordering."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import httpcore
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlocktrestle.adapters import HttpUpstreamClient, Responder
from hemlocktrestle.adapters._http_server import SEND_TIMEOUT_S
from hemlocktrestle.daemon._relay import (
    JOINED_BYTES_MAX,
    OUTCOME_COMMENT,
    STREAM_END,
    relay_stream,
)
from hemlocktrestle.daemon._stream_resume import STREAM_SILENCE_S_MAX, ResumableStream
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import (
    STREAM_ID_HEADER,
    BeforeWait,
    UpstreamAnswer,
    UpstreamCall,
)
from tests.support import FakeUpstreams, TrioTestCase
from tests.support._case import run_virtual

END = b"\n" + STREAM_END + b"\n\n"
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class Sent:
    """Records what a caller was sent, and when."""

    def __init__(self) -> None:
        self.pieces: list[tuple[float, bytes]] = []
        self.is_ended = False

    async def send(self, event: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint()
        if event["type"] == "http.response.body":
            if event["body"]:
                self.pieces.append((trio.current_time(), event["body"]))
            self.is_ended = not event["more_body"]

    @property
    def body(self) -> bytes:
        return b"".join(data for _, data in self.pieces)


def grouped_answer(
    groups: list[list[bytes]], *, spacing_s: float, is_broken: bool = False
) -> UpstreamAnswer:
    """Return an answer whose pieces arrive in groups at a fixed interval."""
    hooks: list[BeforeWait] = []

    async def body() -> AsyncIterator[bytes]:
        for group in groups:
            if hooks:
                await hooks[0]()
            await trio.sleep(spacing_s)
            for piece in group:
                yield piece
        if is_broken:
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "broken")

    return UpstreamAnswer(200, (), body(), hooks.append)


async def relay(answer: UpstreamAnswer) -> Sent:
    """Relay an answer and return what the caller was sent."""
    sent = Sent()
    await relay_stream(
        answer, Responder(sent.send, "r1"), trio.current_time, end_mark=STREAM_END
    )
    return sent


def chunked(pieces: list[bytes]) -> bytes:
    """Return a complete chunked answer."""
    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
    return HEAD + b"".join(chunks) + b"0\r\n\r\n"


def upstream_call() -> UpstreamCall:
    """Return a call to an upstream."""
    return UpstreamCall(
        address="127.0.0.1:1",
        method="GET",
        target="/",
        headers=((b"host", b"engine"),),
        body=b"",
        is_fresh_connection=False,
        inactivity_timeout_ms=1000,
    )


async def relay_over_http(reads: list[bytes]) -> Sent:
    """Relay an answer that the HTTP client reads in these pieces."""
    backend = httpcore.AsyncMockBackend(reads)
    call = upstream_call()
    async with (
        HttpUpstreamClient(backend=backend) as client,
        client.call(call) as answer,
    ):
        return await relay(answer)


class JoiningTests(TrioTestCase):
    """Pieces that arrived together are sent together."""

    async def test_each_group_goes_on_when_it_comes(self) -> None:
        """The first piece and every later group are sent without delay."""
        groups = [[b"a"], [b"b", b"c", b"d"], [b"e"], [END]]
        started_s = trio.current_time()
        sent = await relay(grouped_answer(groups, spacing_s=0.061))
        times = [round(at_s - started_s, 3) for at_s, _ in sent.pieces]
        self.assertEqual([0.061, 0.122, 0.183, 0.244, 0.244], times)
        self.assertEqual(
            [b"a", b"bcd", b"e", END, OUTCOME_COMMENT],
            [data for _, data in sent.pieces],
        )

    async def test_what_came_before_a_break_is_passed_on(self) -> None:
        """Pieces that arrived before a failure are sent, and no regular end follows."""
        answer = grouped_answer([[b"a", b"b"]], spacing_s=0.01, is_broken=True)
        sent = Sent()
        try:
            await relay_stream(
                answer, Responder(sent.send, "r1"), trio.current_time, end_mark=END
            )
        except RequestError:
            self.assertEqual(b"ab", sent.body)
            self.assertFalse(sent.is_ended)
        else:
            self.fail("the break was not told")

    async def test_a_long_run_of_pieces_is_joined_within_bounds(self) -> None:
        """No joined piece exceeds the limit by more than one piece."""
        piece = b"x" * 1000
        sent = await relay(grouped_answer([[piece] * 200, [END]], spacing_s=0.01))
        longest = max(len(data) for _, data in sent.pieces)
        self.assertLess(longest, JOINED_BYTES_MAX + len(piece))
        self.assertEqual(piece * 200 + END + OUTCOME_COMMENT, sent.body)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        pieces=st.lists(st.binary(min_size=1, max_size=80), min_size=1, max_size=20),
        size=st.integers(min_value=1, max_value=400),
    )
    def test_any_cutting_of_the_connection_gives_the_same_bytes(
        self, pieces: list[bytes], size: int
    ) -> None:
        """The caller gets the upstream's bytes, in at most one more send than reads."""
        data = chunked([*pieces, END])
        reads = [data[start : start + size] for start in range(0, len(data), size)]
        found: list[Sent] = []

        async def main() -> None:
            found.append(await relay_over_http(reads))

        run_virtual(main)
        sent = found[0]
        self.assertEqual(b"".join(pieces) + END + OUTCOME_COMMENT, sent.body)
        self.assertTrue(sent.is_ended)
        self.assertLessEqual(len(sent.pieces), len(reads) + 1)

    async def test_a_truncated_stream_is_broken(self) -> None:
        """A stream without its last chunk raises an error."""
        data = chunked([b"a", END])[:-5]
        try:
            await relay_over_http([data])
        except RequestError as error:
            self.assertEqual("upstream_broken", error.kind.value)
        else:
            self.fail("the cut was not told")


class SlowCallerTests(TrioTestCase):
    """A caller that reads slowly is not mistaken for a silent engine."""

    async def _relay(self, client: FakeUpstreams, send_s: float) -> Sent:
        sent = Sent()

        async def send(event: dict[str, Any]) -> None:
            await trio.sleep(send_s)
            await sent.send(event)

        events = [[b"id: s1:%d\ndata: {}\n\n" % number] for number in range(4)]
        answer = grouped_answer([*events, [END]], spacing_s=0.01)
        answer = answer._replace(headers=((STREAM_ID_HEADER, b"s1"),))
        async with AsyncExitStack() as stack:
            stream = ResumableStream(
                answer, call=upstream_call(), client=client, stack=stack
            )
            await relay_stream(
                answer._replace(body=stream, before_wait=stream.before_wait),
                Responder(send, "r1"),
                trio.current_time,
                end_mark=STREAM_END,
            )
        return sent

    async def test_a_pause_of_the_caller_breaks_no_stream(self) -> None:
        """Sends that take longer than the engine's time limit do not break a stream."""
        client = FakeUpstreams()
        sent = await self._relay(client, 2 * STREAM_SILENCE_S_MAX)
        self.assertEqual([], client.dispatches)
        self.assertTrue(sent.is_ended)

    async def test_a_caller_that_is_too_slow_is_not_carried_on(self) -> None:
        """The stream is not resumed for a caller that reads too slowly."""
        client = FakeUpstreams()
        try:
            await self._relay(client, 2 * SEND_TIMEOUT_S)
        except RequestError as error:
            self.assertEqual("slow_reader", error.kind.value)
            self.assertEqual([], client.dispatches)
        else:
            self.fail("the slow reader was not told")
