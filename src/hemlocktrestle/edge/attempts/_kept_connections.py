"""Owns the idle connections to replicas."""

import logging
from collections.abc import Callable, Iterable

import trio

from hemlocktrestle.gateway import IdleConnections, KeptKey
from hemlocktrestle.relay import is_quiet, limit_unacknowledged
from hemlocktrestle.timers import sleep_until_multiple

log = logging.getLogger(__name__)

CHECK_S = 0.25
"""Time between checks of the idle connections, in seconds."""

KEPT_COUNT_MAX = 128
"""Most idle connections of a VM."""

DESCRIPTORS_PER_KEPT = 32
"""File descriptors of a VM for each idle connection."""

DOUBT_MS = 30_000.0
"""Time for which no connection to a replica is kept after one was of no use."""


def kept_count_max(descriptors_max: int) -> int:
    """Return how many connections a VM may keep idle."""
    return min(KEPT_COUNT_MAX, descriptors_max // DESCRIPTORS_PER_KEPT)


class KeptConnections:
    """The idle connections to replicas, with counts for the metrics.

    Args:
        count_max: most idle connections.
        now_ms: returns the time of the process in milliseconds.
        is_usable: tells whether a replica takes requests.
        is_closing: tells whether the process shuts down.
    """

    def __init__(
        self,
        count_max: int,
        *,
        now_ms: Callable[[], float],
        is_usable: Callable[[KeptKey], bool],
        is_closing: Callable[[], bool],
    ) -> None:
        self._idle = IdleConnections[trio.SocketStream](count_max)
        self._now_ms = now_ms
        self._is_usable = is_usable
        self._is_closing = is_closing
        self._doubted_until_ms: dict[str, float] = {}
        self.opened_count = 0
        self.reused_count = 0
        self.dead_count = 0

    @property
    def count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    @property
    def count_max(self) -> int:
        """Most idle connections."""
        return self._idle.count_max

    def keep(
        self,
        key: KeptKey,
        stream: trio.abc.Stream,
        *,
        until_ms: float,
        per_replica: int,
    ) -> bool:
        """Take over a connection whose answer was whole; ``False`` if it is not kept.

        Args:
            key: what it leads to.
            stream: the connection.
            until_ms: when it is closed.
            per_replica: most idle connections to this replica.
        """
        if (
            until_ms <= self._now_ms()
            or not isinstance(stream, trio.SocketStream)
            or self._is_closing()
            or key.replica_id in self._doubted_until_ms
            or not self._is_usable(key)
            or not is_quiet(stream)
        ):
            return False
        return self._idle.add(key, stream, until_ms=until_ms, per_replica=per_replica)

    def take(self, key: KeptKey) -> trio.SocketStream | None:
        """Return an idle connection that shows no sign of its end, or ``None``."""
        while (stream := self._idle.take(key, self._now_ms())) is not None:
            if is_quiet(stream):
                limit_unacknowledged(stream)
                self.reused_count += 1
                return stream
            self.dead_count += 1
            stream.socket.close()
        return None

    def discard(self, replica_id: str) -> None:
        """Close the idle connections to a replica that failed a request."""
        self._close(self._idle.pop_replica(replica_id), "failed")

    def doubt(self, replica_id: str) -> None:
        """Keep no connection to a replica for a while: one failed a request."""
        self.dead_count += 1
        self._doubted_until_ms[replica_id] = self._now_ms() + DOUBT_MS

    async def run(self) -> None:
        """Close connections that are not to be used any more, until cancelled."""
        try:
            while True:
                await sleep_until_multiple(CHECK_S)
                self.check()
        finally:
            self._close(self._idle.pop_all(), "shutdown")

    def check(self) -> None:
        """Close connections that are not to be used any more."""
        now_ms = self._now_ms()
        self._doubted_until_ms = {
            replica_id: until_ms
            for replica_id, until_ms in self._doubted_until_ms.items()
            if until_ms > now_ms
        }
        if self._is_closing():
            self._close(self._idle.pop_all(), "shutdown")
            return
        unusable = self._idle.pop_unusable(
            now_ms, is_usable=self._is_usable, is_quiet=is_quiet
        )
        self._close(unusable, "unusable")

    def _close(self, streams: Iterable[trio.SocketStream], reason: str) -> None:
        count = 0
        for stream in streams:
            stream.socket.close()
            count += 1
        if count:
            log.debug(
                "kept_connections_closed", extra={"count": count, "reason": reason}
            )
