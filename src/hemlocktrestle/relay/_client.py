"""HTTP client for replicas: one request at a time on a connection.

A connection may be used again only after an answer that was whole by its own framing
and after which nothing came.  After anything else it is closed, which tells the
replica to stop.  The caller of :func:`exchange` decides whether it is kept: an answer
names its request, and a request meets a connection that died while idle only if it
may be sent again (``docs/design/kept-connections.md``).
"""

import errno
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

import h11
import trio

from hemlocktrestle.documents import host_and_port
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import Headers
from hemlocktrestle.timers import Checkpointer

CONNECT_TIMEOUT_S = 0.5
"""Timeout of a connect to a replica, in seconds.

A round trip between regions takes 40 ms.  A lost SYN is sent again after one second;
by then another replica is the better choice.
"""

RECEIVE_BYTES = 65_536
"""Size of one read from a connection, in bytes."""

HEAD_BYTES_MAX = 65_536
"""Maximum size of an answer's status line and headers, in bytes."""


INFORMATIONAL_MAX = 16
"""Most informational (1xx) responses before the final head of an answer."""

STATUS_MAX = 599
"""Highest status code of an answer (RFC 9110, section 15)."""

_FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
"""Headers that mark the end of a body; without them its connection's end does."""


class ConnectTimeoutError(RequestError):
    """A connect that got no reply, of kind ``UPSTREAM_UNREACHABLE``.

    Either end, or the network between them, may be the cause.
    """


class ReplicaRequest(NamedTuple):
    """A request in the form that is sent to a replica."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ReplicaAnswer:
    """The status and headers of an answer, and its body as a stream.

    Args:
        status: the status code.
        headers: header lines, names in lower case.
        exchange: the HTTP exchange from which the body is read.
    """

    def __init__(self, status: int, headers: Headers, exchange: "AnswerReader") -> None:
        self.status = status
        self.headers = headers
        self._exchange = exchange

    @property
    def has_framing(self) -> bool:
        """Whether a length or chunks mark the end, so that a cut is visible."""
        return any(name in _FRAMING_HEADERS for name, _ in self.headers)

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if the body is truncated.
        """
        while True:
            event = await self._exchange.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return


class AnswerReader:
    """Reads one answer from a connection.

    Args:
        stream: the connection.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.machine = h11.Connection(
            our_role=h11.CLIENT, max_incomplete_event_size=HEAD_BYTES_MAX
        )
        self._checkpointer = Checkpointer()
        self._informational_count = 0
        self._sending_ended = trio.Event()
        self._has_sent = False
        self._ends_with_connection = False
        self.is_unacknowledged = False
        self.received_s = 0.0

    @property
    def is_reusable(self) -> bool:
        """Whether request and answer are whole, and nothing came before or after."""
        machine = self.machine
        return (
            self._has_sent
            and not self._informational_count
            and machine.our_state is h11.DONE
            and machine.their_state is h11.DONE
            and machine.trailing_data == (b"", False)
        )

    async def read_head(self) -> ReplicaAnswer:
        """Return the answer once its head has come.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if there is no valid answer.
        """
        head = await self.next_event()
        if not isinstance(head, h11.Response):
            raise RequestError(ErrorKind.UPSTREAM_BROKEN, "replica sent no answer")
        if head.status_code > STATUS_MAX:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, f"no status of an answer: {head.status_code}"
            )
        answer = ReplicaAnswer(head.status_code, tuple(head.headers), self)
        self._ends_with_connection = not answer.has_framing
        return answer

    async def next_event(self) -> h11.Event:
        """Return the next event of the answer.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if the answer is cut or invalid.
        """
        # One read may bring thousands of chunks.
        await self._checkpointer.step()
        try:
            while True:
                event = self.machine.next_event()
                if isinstance(event, h11.InformationalResponse):
                    self._informational_count += 1
                    if self._informational_count > INFORMATIONAL_MAX:
                        raise RequestError(
                            ErrorKind.UPSTREAM_BROKEN, "replica sent no final head"
                        )
                    continue
                if event is h11.NEED_DATA:
                    data = await self.stream.receive_some(RECEIVE_BYTES)
                    if not data and self._ends_with_connection:
                        await self._check_end()
                    self.received_s = trio.current_time()
                    self.machine.receive_data(bytes(data))
                    continue
                if isinstance(event, h11.Event) and not isinstance(
                    event, h11.ConnectionClosed
                ):
                    return event
                raise RequestError(
                    ErrorKind.UPSTREAM_BROKEN, "replica closed the connection"
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            cause = error.__cause__
            self.is_unacknowledged = (
                isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT
            )
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "connection to replica broke"
            ) from error
        except h11.RemoteProtocolError as error:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, f"replica sent no valid answer: {error}"
            ) from error

    async def _check_end(self) -> None:
        """Check that the end of the connection is the end of an answer.

        The system reports a reset only once.  If a write of the request gets the
        report, the reader sees a plain end of the connection instead.

        Raises:
            RequestError: of kind ``UPSTREAM_BROKEN`` if the request was not written.
        """
        await self._sending_ended.wait()
        if not self._has_sent:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "connection broke while it was written to"
            )

    def encode(self, request: ReplicaRequest) -> bytes:
        """Return the bytes of a request, before anything is received.

        Raises:
            RequestError: of kind ``INTERNAL`` if the request is not valid HTTP.
        """
        send = self.machine.send
        try:
            data = send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=request.headers,
                )
            )
            body = send(h11.Data(data=request.body)) if request.body else b""
            end = send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise RequestError(
                ErrorKind.INTERNAL, f"request cannot be sent: {error}"
            ) from error
        return (data or b"") + (body or b"") + (end or b"")

    async def send(self, data: bytes) -> None:
        """Send a request; a broken connection is reported by the reading side."""
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The replica may have answered early, before it closed the connection:
            # the reader returns that answer if it is whole, or raises.
            return
        else:
            self._has_sent = True
        finally:
            self._sending_ended.set()


async def open_connection(address: str) -> trio.SocketStream:
    """Open a connection to a replica.

    Args:
        address: host and port.

    Raises:
        ConnectTimeoutError: the replica did not reply in time; nothing was sent.
        RequestError: of kind ``UPSTREAM_UNREACHABLE``; nothing was sent.
    """
    try:
        target = host_and_port(address)
    except ValueError as error:
        raise RequestError(
            ErrorKind.UPSTREAM_UNREACHABLE, "replica has no usable address"
        ) from error
    sock = trio.socket.socket()
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await sock.connect(target)
    except trio.TooSlowError as error:
        sock.close()
        raise ConnectTimeoutError(
            ErrorKind.UPSTREAM_UNREACHABLE, "replica did not take the connection"
        ) from error
    except OSError as error:
        sock.close()
        raise RequestError(
            ErrorKind.UPSTREAM_UNREACHABLE, "replica could not be reached"
        ) from error
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


def _close_always(reader: AnswerReader) -> bool:
    """Keep no connection."""
    return False


@asynccontextmanager
async def exchange(
    stream: trio.abc.Stream,
    request: ReplicaRequest,
    *,
    keep: Callable[[AnswerReader], bool] = _close_always,
) -> AsyncIterator[AnswerReader]:
    """Send a request on an idle connection and yield the reader of its answer.

    The connection is closed on exit, even if the answer was not read to its end,
    unless it is in order for another request and kept.

    Args:
        stream: the connection.
        request: the request.
        keep: takes over the connection of a reader, or returns ``False``; called if
            it may be used again.

    Raises:
        RequestError: of kind ``INTERNAL`` if the request is not valid HTTP.
    """
    is_kept = False
    try:
        async with AsyncExitStack() as stack:
            reader = AnswerReader(stream)
            data = reader.encode(request)
            nursery = await stack.enter_async_context(trio.open_nursery())
            stack.callback(nursery.cancel_scope.cancel)
            # The replica may answer before it has read the whole request.
            nursery.start_soon(reader.send, data)
            # The frame of a cancelled request may outlive it.
            del request, data
            yield reader
        is_kept = reader.is_reusable and keep(reader)
    finally:
        if not is_kept:
            # A caller that has the whole answer and leaves does not undo it.
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
