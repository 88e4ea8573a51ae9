"""The status document of one VM, shown by the command-line tool's ``status``."""

from collections.abc import Callable
from typing import Any, NamedTuple

from hemlocktrestle.daemon._list_follower import ListFollower
from hemlocktrestle.daemon._request_service import RequestService
from hemlocktrestle.daemon._tree_service import TreeService
from hemlocktrestle.daemon._vm_settings import SecuritySection
from hemlocktrestle.latency import Latencies
from hemlocktrestle.membership import Membership
from hemlocktrestle.peers._scheduler_task import SchedulerTask


class StatusSources(NamedTuple):
    """The components of a daemon that its status is read from."""

    boot_id: str
    security: SecuritySection
    is_ready: Callable[[], bool]
    membership: Membership
    tree: TreeService
    scheduler: SchedulerTask
    request_service: RequestService
    list_follower: ListFollower
    latencies: Latencies[str]
    now_ms: Callable[[], float]


def status_of(sources: StatusSources) -> dict[str, Any]:
    """Return the status document of a VM, as sent to operators."""
    membership = sources.membership
    vm = membership.vm
    now_ms = sources.now_ms()
    return {
        "vm": vm.name,
        "zone": vm.zone,
        "region": vm.region,
        "boot_id": sources.boot_id,
        "is_ready": sources.is_ready(),
        "is_draining": membership.is_draining,
        "peers_plain": sources.security.get("peers_plain", False),
        "callers_plain": sources.security.get("callers_plain", False),
        "tree": sources.tree.status(),
        "live_vms": membership.live_vms(vm.zone, now_ms),
        "running_count": len(sources.request_service.running),
        "upstreams": _upstreams(membership, now_ms),
        "refusing_upstreams": [
            refusal.upstream for refusal in membership.refusals() if refusal.is_refusing
        ],
        "doubted_entries": sources.list_follower.doubted,
        "pools": [summary._asdict() for summary in sources.scheduler.summaries()],
        "latencies": {
            name: shown._asdict()
            for name, shown in sorted(sources.latencies.percentiles().items())
        },
    }


def _upstreams(membership: Membership, now_ms: float) -> list[dict[str, Any]]:
    """Return every listed upstream and whether requests are dispatched to it."""
    return [
        {
            "name": record.name,
            "zone": record.zone,
            "kind": record.kind,
            "pools": list(record.pools),
            "generation": record.generation,
            "is_leaving": record.is_leaving,
            "takes_work": any(
                taker.name == record.name
                for taker in membership.upstreams(record.pools[0], record.zone, now_ms)
            ),
        }
        for record in membership.all_upstreams()
    ]
