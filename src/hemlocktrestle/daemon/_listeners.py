"""The bound sockets of a daemon."""

import socket
from typing import NamedTuple


class Listeners(NamedTuple):
    """The bound sockets of a daemon."""

    callers: socket.socket
    operators: socket.socket
    peers: socket.socket


def bind(address: str) -> socket.socket:
    """Return a TCP socket bound to an address."""
    host, port = address.rsplit(":", 1)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return host and port of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"
