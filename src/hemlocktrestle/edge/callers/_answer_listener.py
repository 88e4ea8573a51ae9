"""Serves health checks and metrics, on connections that are bounded in number."""

import logging
from collections.abc import Callable, Mapping
from functools import partial
from types import MappingProxyType

import h11
import trio

from hemlocktrestle.relay import CutReason

log = logging.getLogger(__name__)

REQUEST_TIMEOUT_S = 2.0
"""Time limit for a health check or metrics request to arrive, in seconds."""

CONNECTIONS_MAX = 16
"""Open connections of one listener; a further one closes the oldest."""

ACCEPT_PAUSE_S = 0.05
"""Pause before accepting again when no file descriptor is free, in seconds."""

Answer = Callable[[], tuple[int, bytes, bytes]]
"""Returns status, content type and body of an answer."""

QueryAnswer = Callable[[bytes], tuple[int, bytes, bytes]]
"""Returns the answer to the query of a target."""


class AnswerListener:
    """Serves fixed answers by path, such as health checks and metrics.

    Whoever checks has to get through, so a new connection closes the oldest one.

    Args:
        answers: the answers by path.
        queries: the answers that depend on the query, by path.
        on_cut: called when a connection is closed before its time.
    """

    def __init__(
        self,
        answers: Mapping[bytes, Answer],
        *,
        queries: Mapping[bytes, QueryAnswer] = MappingProxyType({}),
        on_cut: Callable[[CutReason], None] = lambda reason: None,
    ) -> None:
        self._answers = answers
        self._queries = queries
        self._scopes: dict[int, trio.CancelScope] = {}
        self._last_number = 0
        self._on_cut = on_cut

    async def run(self, listener: trio.SocketListener) -> None:
        """Accept until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._make_room()
                try:
                    stream = await listener.accept()
                except OSError as error:
                    log.warning("no_descriptor_free", extra={"reason": str(error)})
                    await trio.sleep(ACCEPT_PAUSE_S)
                    continue
                self._last_number += 1
                self._scopes[self._last_number] = trio.CancelScope()
                nursery.start_soon(self._serve, self._last_number, stream)

    async def _make_room(self) -> None:
        while len(self._scopes) >= CONNECTIONS_MAX:
            oldest = next(iter(self._scopes.values()))
            if not oldest.cancel_called:
                self._on_cut(CutReason.OLDEST_CHECK)
                oldest.cancel()
            await trio.lowlevel.checkpoint()

    async def _serve(self, number: int, stream: trio.SocketStream) -> None:
        try:
            with self._scopes[number] as scope:
                await _answer_connection(self._find, stream, scope)
        finally:
            del self._scopes[number]

    def _find(self, target: bytes) -> Answer | None:
        """Return what answers a target, ``None`` if nothing does."""
        path, _, query = target.partition(b"?")
        if path in self._queries:
            return partial(self._queries[path], query)
        return self._answers.get(path)


async def _answer_connection(
    find: Callable[[bytes], Answer | None],
    stream: trio.SocketStream,
    scope: trio.CancelScope,
) -> None:
    machine = h11.Connection(our_role=h11.SERVER)
    scope.deadline = trio.current_time() + REQUEST_TIMEOUT_S
    try:
        while True:
            event = machine.next_event()
            if event is h11.NEED_DATA:
                machine.receive_data(await stream.receive_some(4096))
            elif isinstance(event, h11.Request):
                answer = find(bytes(event.target))
            elif isinstance(event, h11.EndOfMessage):
                await stream.send_all(_answer_bytes(machine, answer))
                machine.start_next_cycle()
                scope.deadline = trio.current_time() + REQUEST_TIMEOUT_S
            elif not isinstance(event, h11.Data):
                return
    except (trio.BrokenResourceError, h11.ProtocolError) as error:
        log.debug("probe_ended", extra={"reason": str(error)})
    finally:
        await trio.aclose_forcefully(stream)


def _answer_bytes(machine: h11.Connection, answer: Answer | None) -> bytes:
    status, content_type, body = answer() if answer else (404, b"text/plain", b"")
    headers = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    data = machine.send(h11.Response(status_code=status, headers=headers)) or b""
    if body:
        data += machine.send(h11.Data(data=body)) or b""
    return data + (machine.send(h11.EndOfMessage()) or b"")
