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

    Only a request that may run more than once is sent on a kept connection: if it
    ends there without an answer, nobody knows whether the replica has run it.

    Args:
        state: shared state of the process.
        job: the request.
        placement: the replica.
    """

    def __init__(self, state: EdgeState, job: Job, placement: Placement) -> None:
        self._state = state
        self._job = job
        self._placement = placement
        self._is_kept = False
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

    def take(self) -> trio.abc.Stream | None:
        """Return a kept connection that the request may use, or ``None``."""
        if (
            not self._job.route.may_retry
            or len(self._job.request.body) > KEPT_BODY_BYTES_MAX
        ):
            return None
        stream = self._state.kept_connections.take(self._key)
        self._is_kept = stream is not None
        return stream

    def start(self) -> None:
        """Note that the request is sent now."""
        self._sent_ms = now_ms()
        self._head = None

    def on_head(self, metadata: AnswerMetadata) -> None:
        """Note the head of an answer."""
        self._head = metadata

    def may_send_again(self, end: AttemptEnd) -> bool:
        """Tell whether the request is sent again to the same replica, and spend it.

        It is, once, if nothing of its answer came because the kept connection had
        ended, had gone silent or had the answer to another request in it.  The
        replica may have got it, so that it counts against the retry budget.
        """
        if end is not AttemptEnd.BROKEN or not self._is_kept:
            return False
        self._is_kept = False
        connections = self._state.kept_connections
        connections.dead_count += 1
        connections.discard(self._placement.replica_id)
        if not self._was_dead() or self._state.ends_retries:
            return False
        budget = self._state.retry_budget(self._job.service.name)
        return budget.try_spend(self._state.fleet().vm_count, now_ms())

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

    def record_end(self, end: AttemptEnd) -> None:
        """Close the idle connections of a replica that has failed."""
        if end in DOUBTED_ENDS:
            self._state.kept_connections.discard(self._placement.replica_id)
