"""Looks at connections to replicas that rest between two requests."""

import select
import socket

import trio

UNACKNOWLEDGED_MS_MAX = 600
"""Time after which bytes that a replica does not acknowledge break the connection.

It allows for one lost segment, which the system sends again after 200 ms at least and
then after twice that time.
"""

_EVENTS = select.POLLIN | select.POLLPRI | select.POLLRDHUP


def is_quiet(stream: trio.abc.Stream) -> bool:
    """Tell whether a connection is open, as far as is known, with nothing to read.

    Bytes that come while no request is sent belong to no request.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, _EVENTS)
    return not poll.poll(0)


def limit_unacknowledged(stream: trio.SocketStream) -> None:
    """Let unacknowledged bytes break a connection, which may have gone silent."""
    if stream.socket.family != socket.AF_UNIX:
        stream.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS_MAX
        )
