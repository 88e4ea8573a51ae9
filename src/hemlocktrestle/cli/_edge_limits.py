"""The edge daemon's own limits on callers, for the settings reference."""

from typing import NamedTuple

from hemlocktrestle.edge.callers._answer_body import ROOM_TIMEOUT_S
from hemlocktrestle.edge.callers._answer_listener import CONNECTIONS_MAX
from hemlocktrestle.edge.callers._listeners import STUCK_S
from hemlocktrestle.edge.callers._memory_plan import (
    CONNECTION_BYTES,
    CONNECTIONS_SHARE,
    PROCESS_BYTES,
)
from hemlocktrestle.relay import AHEAD_BYTES_MAX, SEND_TIMEOUT_S


class Limit(NamedTuple):
    """A limit, its value with unit, and what happens beyond it."""

    name: str
    value: str
    effect: str


EDGE_LIMITS = (
    Limit(
        "sent ahead on a connection",
        f"{AHEAD_BYTES_MAX} bytes",
        "the connection is closed (`sent_ahead`)",
    ),
    Limit(
        "input of all connections that belongs to no whole request",
        f"{1 - CONNECTIONS_SHARE:.0%} of the rest",
        "503 for a request that is not whole; a connection that sent ahead is closed "
        "(`input_memory`)",
    ),
    Limit(
        "connections of callers",
        f"{CONNECTIONS_SHARE:.0%} of the rest, at {CONNECTION_BYTES} bytes each",
        "more wait to be accepted; the one that is idle for longest is closed "
        "(`idle`), or a caller that takes in nothing (`room`)",
    ),
    Limit(
        "an answer of which nothing is taken in",
        f"{SEND_TIMEOUT_S:g} s",
        "the connection is closed (`unread`)",
    ),
    Limit(
        "the same while memory or connections are short",
        f"{STUCK_S:g} s",
        "the connection is closed, longest first (`room`)",
    ),
    Limit(
        "wait for memory for an answer",
        f"{ROOM_TIMEOUT_S:g} s",
        "the answer is cut, or 502",
    ),
    Limit(
        "connections for health checks, and for metrics",
        f"{CONNECTIONS_MAX} each",
        "a new one closes the oldest (`oldest_check`)",
    ),
)
"""Limits that have no field; the rest is ``memoryMb`` less process and bodies."""


def limit_lines() -> list[str]:
    """Return the lines of the reference, in Markdown."""
    lines = ["", "## Limits of the edge daemon on callers", ""]
    lines += [
        "The rest is `memoryMb` without half of it for bodies and without "
        f"{PROCESS_BYTES // 1_000_000} MB for the process.",
        "",
        "| limit | value | beyond it |",
        "|---|---|---|",
    ]
    return lines + [
        f"| {name} | {value} | {effect} |" for name, value, effect in EDGE_LIMITS
    ]
