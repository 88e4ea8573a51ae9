"""Decides which connections to replicas are kept, for how long, and handed out."""

from collections.abc import Callable
from typing import Generic, NamedTuple, TypeVar

KEPT_SHARE = 0.25
"""Share of a replica's connections that all VMs together may keep idle.

The rest stays free for requests that need a new connection.
"""

IDLE_MARGIN_MS = 500.0
"""Time before a replica closes an idle connection at which it is not used any more.

It covers the way to another region, a late timer and the time until the request is
written, in milliseconds.
"""

IDLE_MS_MAX = 5_000.0
"""Longest time that a connection is kept idle, whatever the replica allows.

An idle connection may go silent for good, which shows only when it is used.
"""

Connection = TypeVar("Connection")


class KeptKey(NamedTuple):
    """What an idle connection leads to: one incarnation of a replica.

    Args:
        service: the service of the replica.
        replica_id: its id.
        address: where it takes requests.
        born_ms: wall-clock time of its start, as known when it was connected to.
    """

    service: str
    replica_id: str
    address: str
    born_ms: int


def idle_limit_ms(stated_ms: float | None) -> float:
    """Return how long a connection may be kept idle, 0 if it may not.

    A replica that states no time may close after any time.

    Args:
        stated_ms: after which time the replica closes idle connections, if stated.
    """
    if stated_ms is None:
        return 0.0
    return max(0.0, min(stated_ms - IDLE_MARGIN_MS, IDLE_MS_MAX))


def kept_per_replica(connections_max: int, vm_count: int) -> int:
    """Return how many connections to one replica a VM may keep idle.

    Args:
        connections_max: connections that the replica accepts from all VMs, 0 if that
            is not known.
        vm_count: live VMs.
    """
    return int(connections_max * KEPT_SHARE) // max(1, vm_count)


class _Idle(NamedTuple, Generic[Connection]):
    connection: Connection
    until_ms: float


class IdleConnections(Generic[Connection]):
    """The idle connections of a VM, by the replica that they lead to.

    Args:
        count_max: most connections in all.
    """

    def __init__(self, count_max: int) -> None:
        self.count_max = count_max
        self._idle: dict[KeptKey, list[_Idle[Connection]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._idle.values()))

    def add(
        self,
        key: KeptKey,
        connection: Connection,
        *,
        until_ms: float,
        per_replica: int,
    ) -> bool:
        """Add a connection; ``False`` if there is no room for it.

        Args:
            key: what it leads to.
            connection: the connection.
            until_ms: when it is closed.
            per_replica: most connections to this replica.
        """
        if len(self._idle.get(key, ())) >= per_replica or len(self) >= self.count_max:
            return False
        self._idle.setdefault(key, []).append(_Idle(connection, until_ms))
        return True

    def take(self, key: KeptKey, now_ms: float) -> Connection | None:
        """Remove and return the connection that was used last, or ``None``.

        One whose time is over is left to :meth:`pop_unusable`.
        """
        found = self._idle.get(key, [])
        if not found or found[-1].until_ms <= now_ms:
            return None
        connection = found.pop().connection
        if not found:
            del self._idle[key]
        return connection

    def pop_unusable(
        self,
        now_ms: float,
        *,
        is_usable: Callable[[KeptKey], bool],
        is_quiet: Callable[[Connection], bool],
    ) -> list[Connection]:
        """Remove and return the connections that are not to be used any more.

        Args:
            now_ms: the time.
            is_usable: tells whether a replica takes requests.
            is_quiet: tells whether a connection is open and has nothing to read.
        """
        unusable = {key for key in self._idle if not is_usable(key)}
        return self._pop(
            lambda key, idle: (
                idle.until_ms <= now_ms
                or key in unusable
                or not is_quiet(idle.connection)
            )
        )

    def pop_replica(self, replica_id: str) -> list[Connection]:
        """Remove and return the connections to a replica."""
        return self._pop(lambda key, idle: key.replica_id == replica_id)

    def pop_all(self) -> list[Connection]:
        """Remove and return all connections."""
        return self._pop(lambda key, idle: True)

    def _pop(
        self, is_popped: Callable[[KeptKey, _Idle[Connection]], bool]
    ) -> list[Connection]:
        popped: list[Connection] = []
        kept: dict[KeptKey, list[_Idle[Connection]]] = {}
        for key, found in self._idle.items():
            for idle in found:
                if is_popped(key, idle):
                    popped.append(idle.connection)
                else:
                    kept.setdefault(key, []).append(idle)
        self._idle = kept
        return popped
