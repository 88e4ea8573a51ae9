"""What the pool schedulers of this VM ask and tell about versions."""

from collections.abc import Callable, Iterable

from hemlocktrestle.edge.rollouts._rollouts import Rollouts
from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.peers import PermittedAsk, UsableUpstreams
from hemlocktrestle.rollout import (
    AnswerTimes,
    Phase,
    Started,
    Use,
    bad_replicas,
    canary_count,
)
from hemlocktrestle.wire import Ask, Pulse, Release

FAILURES = frozenset({ErrorKind.UPSTREAM_BROKEN.value, ErrorKind.UPSTREAM_SILENT.value})
"""Failures that a replica may be blamed for."""

FAILED_STATUS_MIN = 500
"""Status from which an answer is a failure."""


class RolloutGate:
    """Keeps a version to what may be sent to it, and counts how it answers.

    Args:
        rollouts: the orders that this VM knows.
        now_ms: returns the time of the process in milliseconds.
    """

    def __init__(self, rollouts: Rollouts, *, now_ms: Callable[[], float]) -> None:
        self._rollouts = rollouts
        self._now_ms = now_ms
        self._asks: dict[str, PermittedAsk] = {}

    def usable(self, pool: str, records: Iterable[UpstreamRecord]) -> UsableUpstreams:
        """Return the upstreams of a pool that may be used now."""
        rollouts = self._rollouts
        found = tuple(records)
        if not rollouts.is_active:
            return UsableUpstreams(found)
        by_version: dict[str, list[UpstreamRecord]] = {}
        for record in found:
            _, version = rollouts.versions.of(record.name)
            by_version.setdefault(version, []).append(record)
        by_use: dict[Use, list[UpstreamRecord]] = {use: [] for use in Use}
        for version, upstreams in by_version.items():
            by_use[rollouts.use(pool, version)] += upstreams
        reserved = self._reserved(pool, by_use[Use.CANARY])
        usable = (*by_use[Use.ALL], *reserved)
        return UsableUpstreams(usable, frozenset(record.name for record in reserved))

    def takes_canary(self, ask: Ask) -> bool:
        """Tell whether a request may go to a reserved upstream."""
        follower = self._rollouts.followers.get(ask.pool)
        if follower is None or follower.phase is not Phase.CANARY:
            return False
        now_ms = self._now_ms()
        pool = self._rollouts.pool(ask.pool)
        if pool is None or follower.order is None or not follower.is_granted(now_ms):
            return False
        is_ramp = follower.is_ramp(now_ms, pool.evidence.drain_ms())
        return pool.ledger.has_room(ask.route, is_ramp=is_ramp)

    def on_permit(self, permitted: PermittedAsk) -> None:
        """Count a permit."""
        pool = self._rollouts.pool(permitted.pool)
        if pool is None:
            return
        follower = self._rollouts.followers.get(permitted.pool)
        order = follower.order if follower is not None else None
        _, version = self._rollouts.versions.of(permitted.upstream)
        now_ms = self._now_ms()
        self._asks[permitted.ask_id] = permitted
        started = Started(
            permitted.route,
            permitted.upstream,
            order is not None and version == order.target,
            now_ms,
            self._rollouts.versions.is_cold(permitted.upstream, now_ms),
        )
        pool.record_started(permitted.ask_id, started)

    def on_pulse(self, pulse: Pulse) -> None:
        """Learn from the progress of a running request."""
        pool = self._rollouts.pools.get(pulse.pool)
        if pool is not None:
            pool.record_first(pulse.ask_id, pulse.first_token_ms)

    def on_release(self, release: Release) -> None:
        """Learn how a request ended."""
        pool = self._rollouts.pools.get(release.pool)
        self._asks.pop(release.ask_id, None)
        if pool is None:
            return
        if not release.sent and not release.failure:
            pool.record_unsent(release.ask_id)
            return
        is_failed = release.status >= FAILED_STATUS_MIN or (
            release.failure in FAILURES and _is_no_refusal(release.status)
        )
        is_complete = release.sent and not release.failure and release.first_token_ms
        answer = AnswerTimes(
            release.first_token_ms, release.total_ms, is_failed, bool(is_complete)
        )
        pool.record_ended(release.ask_id, answer)

    def on_dropped(self, ask_id: str) -> None:
        """Forget a request whose end nobody reports."""
        permitted = self._asks.pop(ask_id, None)
        if permitted is None:
            return
        pool = self._rollouts.pools.get(permitted.pool)
        if pool is not None:
            pool.record_unsent(ask_id)

    def on_requester_disconnected(self, vm: str) -> None:
        """Forget the requests of a VM."""
        for ask_id in [name for name, ask in self._asks.items() if ask.vm == vm]:
            self.on_dropped(ask_id)

    def _reserved(
        self, pool: str, canaries: list[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Return the few replicas that take the canary's requests, warm ones first."""
        bounds = self._rollouts.bounds
        counts = self._rollouts.pools.get(pool)
        if bounds is None or not canaries:
            return []
        bad = bad_replicas(counts.tallies) if counts is not None else frozenset()
        versions, now_ms = self._rollouts.versions, self._now_ms()
        ranked = sorted(
            (record for record in canaries if record.name not in bad),
            key=lambda record: (versions.is_cold(record.name, now_ms), record.name),
        )
        return ranked[: canary_count(bounds, len(ranked))]


def _is_no_refusal(status: int) -> bool:
    """Tell whether a broken attempt has no status that says it was not run."""
    return not 400 <= status < FAILED_STATUS_MIN
