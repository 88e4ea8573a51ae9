"""How the memory of one process is divided among what callers make it hold."""

from typing import NamedTuple, Self

PROCESS_BYTES = 40_000_000
"""Memory that the process uses without callers, in bytes."""

BODY_SHARE = 0.25
"""Share of the memory limit that buffered bodies may use, in each direction.

A request's body is held twice while it is sent.
"""

CONNECTION_BYTES = 40_000
"""Memory of one open connection besides what it holds for its caller, in bytes."""

CONNECTIONS_SHARE = 0.75
"""Share for open connections of what the process and the bodies leave."""

LEFT_SHARE_MIN = 0.0625
"""Share of the memory limit that counts as left if the others take it all."""


class MemoryPlan(NamedTuple):
    """The division of the memory limit.

    Args:
        body_bytes: for bodies, in each direction.
        input_bytes: for input that belongs to no request yet.
        connections_max: open connections of callers.
    """

    body_bytes: int
    input_bytes: int
    connections_max: int

    @classmethod
    def of(cls, memory_bytes: int) -> Self:
        """Return the division of a memory limit."""
        body_bytes = int(memory_bytes * BODY_SHARE)
        left_bytes = max(
            memory_bytes - PROCESS_BYTES - 2 * body_bytes,
            int(memory_bytes * LEFT_SHARE_MIN),
        )
        connections_bytes = int(left_bytes * CONNECTIONS_SHARE)
        return cls(
            body_bytes,
            left_bytes - connections_bytes,
            max(1, connections_bytes // CONNECTION_BYTES),
        )
