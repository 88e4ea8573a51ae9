"""Socket options for inactivity timeouts that the kernel enforces."""

import socket

KEEPALIVE_IDLE_S = 15
"""Idle time before the first TCP keepalive probe, in seconds."""


def inactivity_options(*, silence_s: float) -> list[tuple[int, int, int]]:
    """Return socket options that end a connection whose peer does not respond.

    Args:
        silence_s: how long sent bytes may stay unacknowledged, in seconds.

    Returns:
        Level, option and value of each.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE_S // 3),
    ]


def limit_socket_inactivity(sock: socket.socket, *, silence_s: float) -> None:
    """Set the options on a listening socket; accepted connections inherit them.

    They end connections that the server itself cannot: one whose peer stopped
    reading while the server sends, and one whose peer vanished without closing it.
    """
    for level, option, value in inactivity_options(silence_s=silence_s):
        sock.setsockopt(level, option, value)
