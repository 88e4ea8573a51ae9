"""Calls to upstreams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from hemlocktrestle.errors import ErrorKind, RequestError

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in order, names in lower case."""

REQUEST_ID_HEADER = b"x-request-id"
"""Carries the request's id to an upstream, and back if the upstream echoes it."""

STREAM_ID_HEADER = b"x-stream-id"
"""Set by a model engine that can resume the stream over a new connection."""


class UpstreamCall:
    """One request to one upstream.

    ``may_have_sent`` tells whether a byte of the request may have been sent.  It is set
    before the first byte can be sent, and never reset.  ``check_send`` is called
    right before that; it raises if the request must no longer be sent.
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
        """Record that the first byte is about to be sent.

        Raises:
            RequestError: ``UPSTREAM_BROKEN`` if the request was sent before; else
                what ``check_send`` raises, and then nothing is sent.
        """
        if self.may_have_sent:
            raise RequestError(
                ErrorKind.UPSTREAM_BROKEN, "a request is never sent a second time"
            )
        self.check_send()
        self.may_have_sent = True


BeforeWait = Callable[[], Awaitable[None]]
"""Callback that a response body awaits each time before it waits for more bytes."""


OnSilence = Callable[[], Awaitable[None]]
"""Callback that a response body awaits while nothing arrives.

The body goes on waiting after it, unless it raises.
"""


class UpstreamAnswer(NamedTuple):
    """Status and headers of an answer, and the chunks of its body as they arrive.

    ``before_wait`` sets the callback that the body awaits before it waits for more
    bytes, ``on_silence`` the one that it awaits each time that nothing has arrived
    for so many seconds; they are ``None`` if the client does not support them.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    before_wait: Callable[[BeforeWait], None] | None = None
    on_silence: Callable[[float, OnSilence], None] | None = None


class UpstreamClient(Protocol):
    """A client of upstreams; it never sends a request a second time."""

    def call(self, call: UpstreamCall) -> AbstractAsyncContextManager[UpstreamAnswer]:
        """Send a request and yield its answer.

        Raises:
            RequestError: ``UPSTREAM_UNREACHABLE``, or what ``check_send`` raises,
                while no byte can have been sent; ``UPSTREAM_BROKEN`` or
                ``UPSTREAM_SILENT`` after that.
        """
        ...

    async def is_reachable(self, address: str) -> bool:
        """Tell whether an upstream accepts a new connection; nothing is sent on it."""
        ...
