"""A cheap upstream that streams tokens: pre-rendered events, sent on a timer.

Run as a process, it prints its address as a line of JSON.  The body of a request
sets ``max_tokens``, ``spacing_ms`` (time between sends) and ``burst_count`` (events
per send).  Each event carries the time at which it was sent.
"""

import json
import sys
import time
from functools import partial

import h11
import trio

from tests.standins.http import Connection, GoneError, Request, serve

EVENT = (
    b'data: {"sent_ns": %020d, "object": "chat.completion.chunk", "created": 0, '
    b'"model": "assistant", "choices": [{"index": 0, "delta": {"content": "word"}, '
    b'"finish_reason": null}]}\n\n'
)
"""One event; the number is the send time on the monotonic clock, in nanoseconds."""

EVENT_BYTES = len(EVENT % 0)
CHUNK = b"%x\r\n" % EVENT_BYTES + EVENT + b"\r\n"
END = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


async def handle(connection: Connection, request: Request) -> None:
    """Serve streams on a persistent connection, bypassing the HTTP library."""
    wanted: Request | None = request
    while wanted is not None:
        try:
            await _stream(connection.stream, wanted)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise GoneError from error
        connection.machine = h11.Connection(h11.SERVER)
        wanted = await connection.next_request()


async def _stream(stream: trio.abc.Stream, request: Request) -> None:
    fields = request.json()
    burst_count = fields.get("burst_count", 1)
    spacing_s = fields.get("spacing_ms", 0.0) / 1000
    await stream.send_all(HEAD)
    next_s = trio.current_time()
    for _ in range(0, fields["max_tokens"], burst_count):
        chunk = CHUNK % time.monotonic_ns()
        await stream.send_all(chunk * burst_count)
        next_s += spacing_s
        if spacing_s:
            await trio.sleep_until(next_s)
    await stream.send_all(END)


def _announce(address: str) -> None:
    print(json.dumps({"event": "listening", "address": address}), flush=True)


if __name__ == "__main__":
    trio.run(partial(serve, handle, announce=_announce))
    sys.exit(0)
