"""The versions of the replicas that this VM knows."""

from hemlocktrestle.gateway import ReplicaRecord, ReplicaRegistry
from hemlocktrestle.rollout import SeenVersions

KNOWN_COUNT_MAX = 8_192
"""Replicas, also gone ones, beyond which the gone ones are forgotten."""


class ReplicaVersions:
    """Versions by replica, also of replicas that are gone.

    Args:
        registry: the replicas that are considered live.
    """

    def __init__(self, registry: ReplicaRegistry) -> None:
        self._registry = registry
        self._known: dict[str, tuple[str, str]] = {}
        self._cold_until_ms: dict[tuple[str, int], float] = {}
        self.seen = SeenVersions()

    def observe(self, now_ms: float) -> None:
        """Take note of the registered replicas."""
        born: dict[str, dict[str, int]] = {}
        for record in self._registry.replicas():
            self._known[record.replica_id] = (record.service, record.version)
            cold_until_ms = now_ms + record.cold_ms
            self._cold_until_ms.setdefault(_incarnation(record), cold_until_ms)
            versions = born.setdefault(record.service, {})
            first_ms = versions.get(record.version, record.born_ms)
            versions[record.version] = min(first_ms, record.born_ms)
        if len(self._known) > KNOWN_COUNT_MAX:
            self._forget_gone()
        for service, versions in born.items():
            self.seen.observe(service, versions, now_ms)

    def _forget_gone(self) -> None:
        live = {found.replica_id: found for found in self._registry.replicas()}
        self._known = {
            name: version for name, version in self._known.items() if name in live
        }
        starts = set(map(_incarnation, live.values()))
        self._cold_until_ms = {
            start: until_ms
            for start, until_ms in self._cold_until_ms.items()
            if start in starts
        }

    def of(self, replica_id: str) -> tuple[str, str]:
        """Return service and version of a replica, empty if it was never known."""
        return self._known.get(replica_id, ("", ""))

    def ready(self, service: str) -> list[ReplicaRecord]:
        """Return the replicas of a service that are registered and do not drain."""
        return [
            record
            for record in self._registry.replicas()
            if record.service == service and not record.is_draining
        ]

    def all_ready(self) -> list[ReplicaRecord]:
        """Return the replicas of all services that do not drain."""
        return [found for found in self._registry.replicas() if not found.is_draining]

    def is_cold(self, replica_id: str, now_ms: float) -> bool:
        """Tell whether a replica is still slow after its start."""
        record = self._registry.find(replica_id)
        if record is None:
            return False
        return now_ms < self._cold_until_ms.get(_incarnation(record), 0.0)


def _incarnation(record: ReplicaRecord) -> tuple[str, int]:
    return record.replica_id, record.born_ms
