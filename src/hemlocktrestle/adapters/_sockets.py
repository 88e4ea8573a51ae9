"""Limits that the kernel keeps on connections, where no library can."""

import socket

PROBE_S = 15
"""Silence after which the kernel asks whether a peer is still there, in seconds."""


def silence_options(*, silence_s: float) -> list[tuple[int, int, int]]:
    """Return socket options that end a connection whose peer takes nothing in.

    Args:
        silence_s: how long sent bytes may stay without effect, in seconds.

    Returns:
        Level, option and value of each.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(silence_s * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S // 3),
    ]


def limit_socket_inactivity(sock: socket.socket, *, silence_s: float) -> None:
    """Set the options on a listening socket, from which connections inherit them.

    They cover what the server cannot end itself: a reader that stopped while the
    server sends, and a peer that vanished without a word.
    """
    for level, option, value in silence_options(silence_s=silence_s):
        sock.setsockopt(level, option, value)
