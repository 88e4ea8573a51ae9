"""Orders as one VM knows them: what may be sent where, and reports to the leader."""

import logging
from collections import Counter
from collections.abc import Callable

import trio

from hemlocktrestle.edge.rollouts._versions import ReplicaVersions
from hemlocktrestle.gateway import ReplicaRecord, ReplicaRegistry
from hemlocktrestle.rollout import (
    ExposureBounds,
    Follower,
    Order,
    Phase,
    PoolRollout,
    Tally,
    Use,
    Verdict,
)
from hemlocktrestle.wire import Message, RolloutGrant, RolloutReport, VersionTally

log = logging.getLogger(__name__)


class Rollouts:
    """The orders that this VM knows, by service.

    Without bounds in the settings it does nothing and forbids nothing.

    Args:
        registry: the replicas that are considered live.
        bounds: limits on the exposure, ``None`` if no moves are ordered here.
        now_ms: returns the time of the process in milliseconds.
        scheduler_count: returns how many schedulers share the exposure.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        bounds: ExposureBounds | None,
        *,
        now_ms: Callable[[], float],
        scheduler_count: int = 1,
    ) -> None:
        self.bounds = bounds
        self.versions = ReplicaVersions(registry)
        self.followers: dict[str, Follower] = {}
        self.pools: dict[str, PoolRollout] = {}
        self.read_count = 0
        self.has_orders = trio.Event()
        self.on_changed: Callable[[], None] = lambda: None
        self.send: Callable[[str, Message], bool] = lambda vm, message: False
        self._now_ms = now_ms
        self._scheduler_count = scheduler_count
        self._leader = ""
        self._running: Counter[str] = Counter()

    @property
    def is_active(self) -> bool:
        """Whether the settings ask for moves to other versions."""
        return self.bounds is not None

    def on_replicas_changed(self) -> None:
        """Take note of the replicas that are registered now."""
        if self.is_active:
            self.versions.observe(self._now_ms())

    def on_orders_confirmed(self) -> None:
        """Admit versions that no order explains, as the orders were read just now."""
        for service in {record.service for record in self.versions.all_ready()}:
            self.versions.seen.admit(service, self._now_ms())

    @property
    def has_unexplained(self) -> bool:
        """Whether replicas have waited for an order that this VM has not looked for."""
        found = {(item.service, item.version) for item in self.versions.all_ready()}
        now_ms = self._now_ms()
        return any(
            self.versions.seen.is_due(service, version, now_ms)
            and not self._is_target(service, version)
            for service, version in found
        )

    def take_order(self, order: Order) -> None:
        """Take an order that was read from the store."""
        follower = self.follower(order.service)
        if follower is not None and follower.begin(order, self._now_ms()):
            self._on_new_order(order, source="store")

    def follower(self, service: str) -> Follower | None:
        """Return what is known of a service's order, ``None`` without bounds."""
        if self.bounds is None:
            return None
        found = self.followers.get(service)
        if found is None:
            found = self.followers[service] = Follower(self.bounds.stop_ms)
        return found

    def pool(self, service: str) -> PoolRollout | None:
        """Return the counts of a service at this scheduler, ``None`` without bounds."""
        if self.bounds is None:
            return None
        found = self.pools.get(service)
        if found is None:
            found = self.pools[service] = PoolRollout(
                self.bounds, scheduler_count=self._scheduler_count
            )
        return found

    def use(self, service: str, version: str) -> Use:
        """Return what a version may be used for now.

        One that no order explains is not used while there are others.
        """
        follower = self.followers.get(service)
        order = follower.order if follower is not None else None
        if follower is not None and order is not None and version == order.target:
            has_old = any(
                record.version != version for record in self.versions.ready(service)
            )
            if not has_old and follower.phase is Phase.CANARY:
                return Use.ALL
            return follower.use(version, self._now_ms())
        if follower is not None and follower.is_rejected(version):
            return Use.NOTHING
        if not self._is_usual(service, version):
            return Use.NOTHING
        if follower is None or order is None or self._is_later(service, version):
            return Use.ALL
        has_target = any(
            record.version == order.target for record in self.versions.ready(service)
        )
        return follower.use(version, self._now_ms()) if has_target else Use.ALL

    def usable_locally(self, records: list[ReplicaRecord]) -> list[ReplicaRecord]:
        """Return the replicas that may be used without a permit."""
        if not self.is_active:
            return records
        versions = {(record.service, record.version) for record in records}
        uses = {version: self.use(*version) for version in versions}
        return [
            record
            for record in records
            if uses[record.service, record.version] is Use.ALL
        ]

    def forbidden_ids(self, replica_id: str, *, has_permit: bool) -> frozenset[str]:
        """Return the target's replicas, if nothing may be sent to a chosen one now.

        A scheduler may have permitted it before it heard of a verdict.
        """
        if not self.is_active:
            return frozenset()
        service, version = self.versions.of(replica_id)
        follower = self.followers.get(service)
        if follower is None or follower.order is None:
            return frozenset()
        if version != follower.order.target or follower.phase is Phase.COMPLETED:
            return frozenset()
        use = self.use(service, version)
        if use is Use.ALL or (use is Use.CANARY and has_permit):
            return frozenset()
        return frozenset(
            record.replica_id
            for record in self.versions.ready(service)
            if record.version == version
        ) | {replica_id}

    def phase_numbers(self) -> dict[str, float]:
        """Return the number of the phase of each service's order, from 1 on."""
        phases = list(Phase)
        return {
            service: phases.index(follower.phase) + 1.0
            for service, follower in self.followers.items()
            if follower.order is not None
        }

    def target_tallies(self) -> dict[str, Tally]:
        """Return the counts of each service's target at this scheduler."""
        found: dict[str, Tally] = {}
        for service, pool in self.pools.items():
            for key, tally in pool.tallies.items():
                if key.is_target:
                    found[service] = found.get(service, Tally()).plus(tally)
        return found

    def on_attempt_started(self, replica_id: str) -> None:
        """Count a request that is sent to a replica."""
        if self.is_active:
            self._running[replica_id] += 1

    def on_attempt_ended(self, replica_id: str) -> None:
        """Discount a request that has ended."""
        if not self.is_active:
            return
        if self._running[replica_id] > 1:
            self._running[replica_id] -= 1
        else:
            del self._running[replica_id]

    def on_grant(self, vm: str, message: Message) -> None:
        """Apply a grant of the leader, and reply with a report."""
        if not isinstance(message, RolloutGrant) or self.bounds is None:
            return
        try:
            phase = Phase(message.phase)
        except ValueError:
            log.warning("rollout_phase_unknown", extra={"phase": message.phase})
            return
        order = Order(message.service, message.target, message.duration_ms)
        follower = self.follower(order.service)
        assert follower is not None
        was_new = order != follower.order
        self._leader = vm
        if follower.apply(order, phase, self._now_ms(), elapsed_ms=message.elapsed_ms):
            if was_new:
                self._on_new_order(order, source=vm)
            log.info(
                "rollout_phase_known",
                extra={
                    "service": order.service,
                    "target": order.target,
                    "phase": follower.phase.value,
                    "granted": phase.value,
                    "leader": vm,
                    "elapsed_ms": round(follower.elapsed_ms(self._now_ms())),
                },
            )
            self.on_changed()
        if follower.is_running:
            self.report(order.service)

    def report(self, service: str) -> None:
        """Tell the leader what this VM knows of a service's order."""
        follower = self.followers[service]
        if follower.order is None or not self._leader:
            return
        order, pool = follower.order, self.pools.get(service)
        self.send(
            self._leader,
            RolloutReport(
                order.service,
                order.target,
                order.duration_ms,
                follower.phase.value,
                follower.elapsed_ms(self._now_ms()),
                self._old_count(order),
                round(pool.evidence.drain_ms()) if pool is not None else 0,
                tuple(
                    VersionTally(*key, *tally)
                    for key, tally in (pool.tallies.items() if pool else ())
                ),
            ),
        )

    def examine(self) -> None:
        """Judge the targets of all orders by what was permitted here."""
        for service, follower in self.followers.items():
            pool = self.pools.get(service)
            if pool is None or follower.order is None or not follower.is_running:
                continue
            if follower.phase is Phase.STOPPED:
                continue
            target = follower.order.target
            ready = [found.version for found in self.versions.ready(service)]
            verdict = pool.examine(self._now_ms(), replica_count=ready.count(target))
            if verdict is not None and follower.stop():
                log_verdict(
                    follower.order, verdict, follower.elapsed_ms(self._now_ms())
                )
                self.on_changed()
                self.report(service)

    def _old_count(self, order: Order) -> int:
        sent = sum(
            count
            for replica_id, count in self._running.items()
            if self.versions.of(replica_id)[0] == order.service
            and self.versions.of(replica_id)[1] != order.target
        )
        pool = self.pools.get(order.service)
        permitted = pool.running_count(is_target=False) if pool is not None else 0
        return sent + permitted

    def _is_target(self, service: str, version: str) -> bool:
        follower = self.followers.get(service)
        order = follower.order if follower is not None else None
        return order is not None and order.target == version

    def _is_later(self, service: str, version: str) -> bool:
        """Tell whether a version was released after a completed move.

        What the move replaced is older than its target.
        """
        follower = self.followers[service]
        if follower.order is None or follower.phase is not Phase.COMPLETED:
            return False
        target = follower.order.target
        return self.versions.seen.is_newer(service, version, target)

    def _is_usual(self, service: str, version: str) -> bool:
        seen = self.versions.seen
        if seen.is_usual(service, version):
            return True
        return not any(
            seen.is_usual(service, record.version)
            for record in self.versions.ready(service)
        )

    def _on_new_order(self, order: Order, *, source: str) -> None:
        self.has_orders.set()
        pool = self.pools.get(order.service)
        if pool is not None:
            pool.restart()
        log.info(
            "rollout_ordered",
            extra={
                "service": order.service,
                "target": order.target,
                "duration_ms": round(order.duration_ms),
                "source": source,
            },
        )
        self.on_changed()


def log_verdict(order: Order, verdict: Verdict, elapsed_ms: float) -> None:
    """Log why a version is bad."""
    log.warning(
        "rollout_version_bad",
        extra={
            "service": order.service,
            "target": order.target,
            "route": verdict.route,
            "is_recent": verdict.is_recent,
            "request_count": verdict.target.request_count,
            "bad_count": verdict.target.bad_count,
            "usual_share": round(verdict.usual_share, 4),
            "probability": verdict.probability,
            "elapsed_ms": round(elapsed_ms),
        },
    )
