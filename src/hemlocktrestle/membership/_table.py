"""Which VMs are live, which upstreams take work, and which VM schedules which pool."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash

from hemlocktrestle.membership._records import (
    Listing,
    UpstreamKind,
    UpstreamRecord,
    VmRecord,
)
from hemlocktrestle.membership._refusals import ProbeResult, RefusalTracker
from hemlocktrestle.wire import PoolSummary, UpstreamRefusal

PEER_TIMEOUT_MS = 2_500
"""Time without a heartbeat after which a VM counts as gone, in milliseconds."""


RELAY_COUNT = 2
"""VMs of a zone that watch the store for the others, the relays."""

RELAY_KEY = "settings-relay"
"""Key by which the relays are ranked."""


def zone_of(record: VmRecord | UpstreamRecord) -> str:
    """Return the zone of a record, the default scheduling domain."""
    return record.zone


def region_of(record: VmRecord | UpstreamRecord) -> str:
    """Return the region of a record, for pools that are scheduled by region."""
    return record.region


SILENCE_MS_MIN = 1_000.0
"""Time for which a scheduler that did not answer gets no role, in milliseconds."""

SILENCE_MS_MAX = 8_000.0
"""The same at most, after it was silent again and again."""

TIMEOUT_REPORTS_MIN = 2
"""VMs whose connects must time out before an upstream counts as refusing."""

TIMEOUT_MEMORY_MS = 3_000.0
"""Time within which these reports must come, in milliseconds."""


class _Silence(NamedTuple):
    """A scheduler that did not answer: how long it gets no role, and until when."""

    penalty_ms: float
    until_ms: float


class Membership:
    """Combines the platform's list, which lags, with what this VM observes.

    Roles need no election: each VM ranks the live VMs by size, and those of one size
    by rendezvous hashing.

    Args:
        vm: the record of this VM.
        domain_of: returns the scheduling domain of a record; the pools of each domain
            are scheduled separately.
        role_key: if set, one VM of a domain schedules all pools, ranked by this key.
    """

    def __init__(
        self,
        vm: VmRecord,
        *,
        domain_of: Callable[[VmRecord | UpstreamRecord], str] = zone_of,
        role_key: str = "",
    ) -> None:
        self.vm = vm
        self.domain = domain_of(vm)
        self._domain_of = domain_of
        self._role_key = role_key
        self.is_draining = False
        self._vms: dict[str, VmRecord] = {vm.name: vm}
        self._upstreams: dict[str, UpstreamRecord] = {}
        self._rankings: dict[tuple[str, str], list[VmRecord]] = {}
        self._last_heartbeat_ms: dict[str, float] = {}
        self._seen_peers: set[str] = set()
        self._draining_peers: set[str] = set()
        self._silences: dict[str, _Silence] = {}
        self._connect_timeouts: dict[str, dict[str, float]] = {}
        self._pools: dict[str, dict[str, PoolSummary]] = {}
        self._refusals = RefusalTracker()

    def apply_listing(self, listing: Listing) -> None:
        """Apply a new answer of the platform's list."""
        self._vms = {record.name: record for record in listing.vms}
        self._vms[self.vm.name] = self.vm
        self._rankings.clear()
        self._silences = {
            vm: silence for vm, silence in self._silences.items() if vm in self._vms
        }
        self._upstreams = {record.name: record for record in listing.upstreams}
        self._connect_timeouts = {
            upstream: reports
            for upstream, reports in self._connect_timeouts.items()
            if upstream in self._upstreams
        }

    def on_heartbeat(
        self,
        vm: str,
        now_ms: float,
        *,
        is_draining: bool,
        refusals: Iterable[UpstreamRefusal] = (),
        pools: Iterable[PoolSummary] = (),
    ) -> None:
        """Record a heartbeat of a peer, with its state of upstreams and pools."""
        self.record_pools(vm, pools)
        self._last_heartbeat_ms[vm] = now_ms
        self._seen_peers.add(vm)
        self._refusals.merge(refusals, now_ms)
        if is_draining:
            self._draining_peers.add(vm)
        else:
            self._draining_peers.discard(vm)

    def record_pools(self, vm: str, pools: Iterable[PoolSummary]) -> None:
        """Record what a VM reports of the pools that it schedules."""
        self._pools[vm] = {summary.pool: summary for summary in pools}

    def pool_summary(self, pool: str, domain: str, now_ms: float) -> PoolSummary | None:
        """Return the last report of a pool's scheduler in a domain, or ``None``."""
        scheduler_vm = self.scheduler_of(pool, domain, now_ms)
        return self._pools.get(scheduler_vm or "", {}).get(pool)

    def on_disconnected(self, vm: str) -> None:
        """Treat a peer as gone until its next heartbeat: the link to it broke."""
        self._pools.pop(vm, None)
        self._last_heartbeat_ms.pop(vm, None)

    def mark_leaving(self, vm: str) -> None:
        """Give a peer no role until a heartbeat says that it is not draining."""
        self._draining_peers.add(vm)

    def mark_silent(self, vm: str, now_ms: float) -> None:
        """Give a scheduler that did not answer no role for a time.

        The time doubles with each silence until it answers in time: its heartbeats
        come also while it is too busy to answer, and each request that tries it
        waits for the whole time limit.
        """
        known = self._silences.get(vm)
        penalty_ms = SILENCE_MS_MIN
        if known is not None and now_ms < known.until_ms:
            penalty_ms = known.penalty_ms
        elif known is not None:
            penalty_ms = min(2 * known.penalty_ms, SILENCE_MS_MAX)
        self._silences[vm] = _Silence(penalty_ms, now_ms + penalty_ms)

    def mark_responsive(self, vm: str) -> None:
        """Trust a scheduler that has answered in time."""
        self._silences.pop(vm, None)

    def record_refusal(self, upstream: str, now_ms: float) -> None:
        """Record that an upstream refused work."""
        record = self._upstreams.get(upstream)
        if record is not None:
            self._refusals.record_refusal(upstream, record.address, now_ms)

    def record_connect_timeout(self, upstream: str, vm: str, now_ms: float) -> None:
        """Record that a VM's connect to an upstream got no reply.

        The cause may be the VM's own link or load.  The upstream counts as refusing
        only once another VM reports the same.
        """
        reports = self._connect_timeouts.setdefault(upstream, {})
        reports[vm] = now_ms
        recent_count = sum(
            now_ms - at_ms <= TIMEOUT_MEMORY_MS for at_ms in reports.values()
        )
        if recent_count >= TIMEOUT_REPORTS_MIN:
            del self._connect_timeouts[upstream]
            self.record_refusal(upstream, now_ms)

    def refusals(self) -> tuple[UpstreamRefusal, ...]:
        """Return the known states of upstreams that refuse or refused work."""
        return self._refusals.snapshot()

    def probes_due(self, now_ms: float) -> list[UpstreamRecord]:
        """Return the refusing upstreams that this VM must probe now.

        One VM probes each: the highest-ranked of the upstream's domain.
        """
        self._refusals.retain(
            ((record.name, record.address) for record in self._upstreams.values()),
            now_ms,
        )
        due = [self._upstreams[name] for name, _ in self._refusals.pop_due(now_ms)]
        return [
            record
            for record in due
            if self._domain_of(record) == self.domain
            and self.scheduler_of(record.name, self.domain, now_ms) == self.vm.name
        ]

    def record_probe(
        self, record: UpstreamRecord, result: ProbeResult, now_ms: float
    ) -> None:
        """Record the result of a probe of an upstream."""
        self._refusals.record_probe(record.name, record.address, result, now_ms)

    def peers(self) -> tuple[VmRecord, ...]:
        """Return every other VM that the platform lists, in any domain."""
        return tuple(
            record for record in self._vms.values() if record.name != self.vm.name
        )

    def vm_record(self, name: str) -> VmRecord | None:
        """Return the record of a VM, or ``None``."""
        return self._vms.get(name)

    def live_vms(self, domain: str, now_ms: float) -> list[str]:
        """Return the sorted names of a domain's VMs that can take a role."""
        return sorted(
            record.name
            for record in self._vms.values()
            if self._domain_of(record) == domain and self._can_take_role(record, now_ms)
        )

    def scheduler_of(self, pool: str, domain: str, now_ms: float) -> str | None:
        """Return the VM that schedules a pool in a domain, or ``None`` if none can.

        If every reachable VM is leaving, one of these schedules the pool, because
        the requests that they accepted must still be served.
        """
        key = self._role_key or pool
        for record in self._ranking(key, domain):
            if self._can_take_role(record, now_ms):
                return record.name
        return highest_ranked(key, self._leaving_vms(domain, now_ms))

    def _ranking(self, key: str, zone: str) -> list[VmRecord]:
        """Return the VMs of a domain by rank for a key; cached per listing."""
        ranking = self._rankings.get((key, zone))
        if ranking is None:
            records = {
                record.name: record
                for record in self._vms.values()
                if self._domain_of(record) == zone
            }
            ranking = _ranked_records(key, records)
            self._rankings[key, zone] = ranking
        return ranking

    def candidates(self, domain: str, count: int) -> list[VmRecord]:
        """Return the listed VMs of a domain that rank first for its pools."""
        records = {
            record.name: record
            for record in self._vms.values()
            if self._domain_of(record) == domain and not record.is_leaving
        }
        return _ranked_records(self._role_key, records)[:count]

    def domains(self) -> set[str]:
        """Return every domain that has a VM."""
        return {self._domain_of(record) for record in self._vms.values()}

    def relays(self, domain: str, now_ms: float) -> list[str]:
        """Return the VMs of a domain that watch the store for the others."""
        names = self.live_vms(domain, now_ms) or self._leaving_vms(domain, now_ms)
        return ranked(RELAY_KEY, names)[:RELAY_COUNT]

    def peers_without_heartbeat(self) -> list[str]:
        """Return the listed, not leaving VMs of this domain without any heartbeat."""
        return sorted(
            record.name
            for record in self._vms.values()
            if self._domain_of(record) == self.domain
            and record.name != self.vm.name
            and not record.is_leaving
            and record.name not in self._seen_peers
        )

    def upstreams(
        self, pool: str, domain: str, now_ms: float
    ) -> tuple[UpstreamRecord, ...]:
        """Return the upstreams of a pool in a domain that take new work."""
        return tuple(
            record
            for record in self._upstreams.values()
            if pool in record.pools
            and self._domain_of(record) == domain
            and not record.is_leaving
            and not self._refusals.is_refusing(record.name, record.address)
        )

    def all_upstreams(self) -> tuple[UpstreamRecord, ...]:
        """Return every upstream that the platform lists."""
        return tuple(self._upstreams.values())

    def upstream(self, name: str) -> UpstreamRecord | None:
        """Return a listed upstream, or ``None``."""
        return self._upstreams.get(name)

    def pools(self, kind: UpstreamKind) -> set[str]:
        """Return the names of all pools of one kind, in any domain."""
        return {
            pool
            for record in self._upstreams.values()
            if record.kind == kind
            for pool in record.pools
        }

    def _leaving_vms(self, zone: str, now_ms: float) -> list[str]:
        return sorted(
            record.name
            for record in self._vms.values()
            if self._domain_of(record) == zone
            and (record.name == self.vm.name or self._is_alive(record.name, now_ms))
        )

    def _is_alive(self, name: str, now_ms: float) -> bool:
        last_ms = self._last_heartbeat_ms.get(name)
        return last_ms is not None and now_ms - last_ms <= PEER_TIMEOUT_MS

    def _can_take_role(self, record: VmRecord, now_ms: float) -> bool:
        if record.name == self.vm.name:
            return not self.is_draining
        if record.is_leaving or record.name in self._draining_peers:
            return False
        silence = self._silences.get(record.name)
        if silence is not None and now_ms < silence.until_ms:
            return False
        return self._is_alive(record.name, now_ms)


def _ranked_records(key: str, records: dict[str, VmRecord]) -> list[VmRecord]:
    """Sort VMs for a key: the largest first, those of one size by hash.

    A scheduler's work grows with its domain, whatever the size of its own VM.
    """
    by_hash = [records[name] for name in ranked(key, records)]
    return sorted(by_hash, key=lambda record: record.size, reverse=True)


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Sort names for a key by rendezvous hashing, the highest first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{name}/{key}".encode()),
        reverse=True,
    )


def highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Choose one name for a key by rendezvous hashing.

    Args:
        key: what is assigned to one of the names.
        names: the candidates.

    Returns:
        The candidate with the highest hash, or ``None`` if there is none.
    """
    return max(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{name}/{key}".encode()),
        default=None,
    )
