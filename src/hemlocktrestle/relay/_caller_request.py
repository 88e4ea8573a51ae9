"""Requests of callers, complete with their bodies."""

from typing import NamedTuple

from hemlocktrestle.gateway import Headers


class RequestBody:
    """A request's body until the request has ended.

    The frames of a request that was cancelled or failed may outlive it, up to the
    next run of the garbage collector; its body does not.

    Args:
        data: the bytes.
    """

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data

    def release(self) -> None:
        """Free the memory."""
        self.data = b""


class CallerRequest(NamedTuple):
    """A complete request of a caller.

    Args:
        method: the method.
        target: the request target as received.
        headers: header lines, names in lower case.
        held_body: the complete body.
        arrived_ms: when the head was complete, by the clock of the process.
    """

    method: bytes
    target: bytes
    headers: Headers
    held_body: RequestBody
    arrived_ms: float

    @property
    def body(self) -> bytes:
        """The complete body, empty once the request has ended."""
        return self.held_body.data
