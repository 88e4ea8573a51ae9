"""Fake upstreams behind the port; they record requests and can misbehave."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import trio

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.ports import UpstreamAnswer, UpstreamCall
from tests.standins.engine import answer_words
from tests.support._steps import Steps

FIRST_TOKEN_S = 0.05
TOKEN_S = 0.01


class Dispatch(NamedTuple):
    """One request that reached an upstream."""

    address: str
    request_id: str
    body: bytes
    at_s: float


Behaviour = Callable[[UpstreamCall], Awaitable[UpstreamAnswer]]


class FakeUpstreams:
    """All upstreams of a test.

    ``dispatches`` lists every request of which a byte was sent, ``resumes`` the
    event ids after which a stream was resumed.  ``behaviours`` overrides the
    behaviour of an address; ``unreachable`` addresses refuse connections.
    """

    def __init__(self) -> None:
        self.dispatches: list[Dispatch] = []
        self.resumes: list[bytes] = []
        self.behaviours: dict[str, Behaviour] = {}
        self.unreachable: set[str] = set()
        self.connect_s = 0.001
        self.steps = Steps()

    @asynccontextmanager
    async def call(self, call: UpstreamCall) -> AsyncIterator[UpstreamAnswer]:
        """Send a request once and yield its answer."""
        await self.steps.reach("connecting")
        await trio.sleep(self.connect_s)
        if call.address in self.unreachable:
            raise RequestError(ErrorKind.UPSTREAM_UNREACHABLE, "not reached")
        call.begin_send()
        headers = dict(call.headers)
        if b"last-event-id" in headers:
            self.resumes.append(headers[b"last-event-id"])
            yield await self.behaviours[call.address](call)
            return
        self.dispatches.append(
            Dispatch(
                call.address,
                headers.get(b"x-request-id", b"").decode(),
                call.body,
                trio.current_time(),
            )
        )
        await self.steps.reach("sent")
        behaviour = self.behaviours.get(call.address, answer_normally)
        answer = await behaviour(call)
        await self.steps.reach("answered")
        yield answer

    async def is_reachable(self, address: str) -> bool:
        """Tell whether an upstream accepts a new connection."""
        await trio.sleep(self.connect_s)
        return address not in self.unreachable


async def answer_normally(call: UpstreamCall) -> UpstreamAnswer:
    """Answer as a healthy model engine or ledger does."""
    await trio.sleep(FIRST_TOKEN_S)
    if not call.target.startswith("/v1/"):
        body = json.dumps({"is_done": True}).encode()
        headers = ((b"content-length", str(len(body)).encode()),)
        return UpstreamAnswer(201, headers, _chunks([body], 0.0))
    fields = json.loads(call.body)
    words = answer_words(call.body, fields.get("max_tokens") or 16)
    if fields.get("stream"):
        events = [stream_event(word) for word in words]
        pieces = _chunks([*events, b"data: [DONE]\n\n"], TOKEN_S)
        return UpstreamAnswer(200, ((b"content-type", b"text/event-stream"),), pieces)
    message = {"role": "assistant", "content": "".join(words)}
    body = json.dumps({"choices": [{"index": 0, "message": message}]}).encode()
    headers = ((b"content-length", str(len(body)).encode()),)
    return UpstreamAnswer(200, headers, _chunks([body], TOKEN_S * len(words)))


def stream_event(word: str) -> bytes:
    """Return the event that carries one word of a stream."""
    chunk = {"choices": [{"index": 0, "delta": {"content": word}}]}
    return f"data: {json.dumps(chunk)}\n\n".encode()


async def _chunks(pieces: list[bytes], each_s: float) -> AsyncIterator[bytes]:
    for piece in pieces:
        await trio.sleep(each_s)
        yield piece
