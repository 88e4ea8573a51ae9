"""When an attempt uses a kept connection, sends again, and keeps its connection."""

import trio

from hemlocktrestle.edge._state import EdgeState, now_ms
from hemlocktrestle.edge.callers._job import Job
from hemlocktrestle.edge.placing._placement import AttemptEnd, Placement
from hemlocktrestle.gateway import (
    AnswerMetadata,
    KeptKey,
    idle_limit_ms,
    kept_per_replica,
)
from hemlocktrestle.relay import AnswerReader

KEPT_BODY_BYTES_MAX = 16_384
"""Longest body that is sent on a kept connection, in bytes.

It fits the window of any connection, so that it is written at once and is all
acknowledged or not.
"""

DEAD_WITHIN_MS = 100.0
"""Time within which a request shows that its connection had ended before it came.

A round trip between regions takes 40 ms.  A connection that ends later may have ended
because of the request.
"""

DOUBTED_ENDS = frozenset(
    {
        AttemptEnd.UNREACHABLE,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.BROKEN,
        AttemptEnd.SILENT,
    }
)
"""Ends of attempts after which nothing else is sent on a replica's old connections."""


class ReusePolicy:
    """Decides on the connections of one attempt.

    Only a request that may be sent to one more replica is sent on a kept connection:
    if it ends there without an answer, nobody knows whether the replica has run it.

    Args:
        state: shared state of the process.
        job: the request.
        placement: the replica.
    """

    def __init__(self, state: EdgeState, job: Job, placement: Placement) -> None:
        self._state = state
        self._job = job
        self._placement = placement
        self.has_taken = False
        self._sent_ms = 0.0
        self._head: AnswerMetadata | None = None
        self.is_unacknowledged = False

    @property
    def _key(self) -> KeptKey:
        placement = self._placement
        return KeptKey(
            self._job.service.name,
            placement.replica_id,
            placement.address,
            placement.born_ms,
        )

    def take(self, runs_count: int) -> trio.abc.Stream | None:
        """Return a kept connection that the request may use, or ``None``.

        Args:
            runs_count: how often the request may have run.
        """
        route = self._job.route
        if (
            not route.may_retry
            or runs_count + 1 >= route.attempts
            or len(self._job.request.body) > KEPT_BODY_BYTES_MAX
        ):
            return None
        stream = self._state.kept_connections.take(self._key)
        self.has_taken = stream is not None
        return stream

    def start(self) -> None:
        """Note that the request is sent now."""
        self._sent_ms = now_ms()
        self._head = None

    def on_head(self, metadata: AnswerMetadata) -> None:
        """Note the head of an answer."""
        self._head = metadata

    def _was_dead(self) -> bool:
        if self._head is not None:
            return self._head.request_id != self._job.metadata.request_id
        return self.is_unacknowledged or now_ms() - self._sent_ms < DEAD_WITHIN_MS

    def keep(self, reader: AnswerReader, end: AttemptEnd) -> bool:
        """Keep the connection of an attempt for other requests, if that is safe.

        The replica counts the time from the end of its answer, which a slow caller
        may have got later.
        """
        if end is not AttemptEnd.RELAYED or self._head is None:
            return False
        return self._state.kept_connections.keep(
            self._key,
            reader.stream,
            until_ms=reader.received_s * 1000
            + idle_limit_ms(self._head.idle_timeout_ms),
            per_replica=kept_per_replica(
                self._job.service.connections_max, self._state.fleet().vm_count
            ),
        )

    def record_end(self, end: AttemptEnd) -> bool:
        """Close the idle connections of a replica that has failed.

        Returns:
            Whether the request got no answer because its kept connection had ended,
            had gone silent or had the answer to another request in it.
        """
        connections = self._state.kept_connections
        if end in DOUBTED_ENDS:
            connections.discard(self._placement.replica_id)
        is_dead = end is AttemptEnd.BROKEN and self.has_taken and self._was_dead()
        if is_dead:
            connections.doubt(self._placement.replica_id)
        return is_dead
