"""One call to an upstream."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from hemlocktrestle.errors import ErrorKind, RequestError

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in order, names in lower case."""

REQUEST_ID_HEADER = b"x-request-id"
"""Carries the request's id to an upstream, and back if the upstream echoes it."""

STREAM_ID_HEADER = b"x-stream-id"
"""Set by an engine that can carry a stream on over a new connection."""


class UpstreamCall:
    """One request on its way to one upstream.

    ``bytes_left`` turns true before the first byte of the request can leave, and
    never turns false again.  ``check_send`` is called right before that; it raises
    if the request must not leave any more.
    """

    __slots__ = (
        "address",
        "body",
        "check_send",
        "headers",
        "inactivity_timeout_ms",
        "is_fresh_connection",
        "may_have_sent",
        "method",
        "target",
    )

    def __init__(
        self,
        *,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        is_fresh_connection: bool,
        inactivity_timeout_ms: int,
        check_send: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.is_fresh_connection = is_fresh_connection
        self.inactivity_timeout_ms = inactivity_timeout_ms
        self.check_send = check_send
        self.may_have_sent = False

    def begin_send(self) -> None:
        """Take note that the first byte is about to leave.

        Raises:
            RequestError: if it must not: ``UPSTREAM_BROKEN`` if the request left
                once already; else what ``check_send`` finds, and then nothing left.
        """
        if self.may_have_sent:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "a request is never sent a second time"
            )
        self.check_send()
        self.may_have_sent = True


BeforeWait = Callable[[], Awaitable[None]]
"""Awaited each time before a body waits for more bytes."""


class UpstreamAnswer(NamedTuple):
    """Head of an answer, and its body in pieces as they arrive.

    ``before_wait`` sets what the body awaits each time before it waits for more
    bytes; it is ``None`` if the client cannot tell.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    before_wait: Callable[[BeforeWait], None] | None = None


class UpstreamClient(Protocol):
    """Dials upstreams; never sends a request a second time."""

    def call(self, call: UpstreamCall) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request and yield its answer.

        Raises:
            RequestError: ``UPSTREAM_UNREACHABLE``, or what ``check_send`` raises,
                before a byte could leave; ``UPSTREAM_BROKEN`` or
                ``UPSTREAM_SILENT`` after.
        """
        ...

    async def is_reachable(self, address: str) -> bool:
        """Tell whether an upstream takes a new connection; sends nothing on it."""
        ...
