"""Measurements of membership: finding schedulers, and reading the platform's list."""

import json
import random
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from bench.capacity._control import POOL, ask, upstream_records, vm_records
from bench.capacity._slopes import (
    REPEATS,
    Point,
    Slope,
    cpu_point,
    held_bytes,
    measurement,
    point,
)
from hemlocktrestle.adapters import listing_from_targets
from hemlocktrestle.membership import Listing, Membership, UpstreamRecord
from hemlocktrestle.peers._permit_client import PermitClient, _Held
from hemlocktrestle.wire import (
    Permit,
)


def known_membership(vms: int, upstreams: tuple[UpstreamRecord, ...]) -> Membership:
    """Return a membership that has a heartbeat of every VM."""
    records = vm_records(vms, 10)
    membership = Membership(records[0])
    membership.apply_listing(Listing(records, upstreams))
    for record in records:
        membership.on_heartbeat(record.name, 0.0, is_draining=False)
    return membership


@measurement("roles")
def roles() -> Iterator[Slope]:
    """Cost of finding a pool's scheduler, and of reading a pool's upstreams."""

    def find(vms: int) -> Callable[[], None]:
        membership = known_membership(vms, ())

        def run() -> None:
            for _ in range(100):
                membership.scheduler_of(POOL, "zone-00", 1.0)

        return run

    yield Slope(
        "finding a pool's keeper",
        "VMs listed",
        "us",
        tuple(cpu_point(size, partial(find, size), per=100) for size in (43, 215, 430)),
    )

    def refresh(each: int) -> Callable[[], None]:
        membership = known_membership(43, upstream_records(10, 10, each))

        def run() -> None:
            for _ in range(50):
                membership.upstreams(POOL, "zone-00", 1.0)

        return run

    yield Slope(
        "reading a pool's upstreams (10 a second for each pool kept)",
        "upstreams listed",
        "us",
        tuple(
            cpu_point(each * 100, partial(refresh, each), per=50) for each in (4, 8, 17)
        ),
    )


@measurement("watch-roles")
def checking_schedulers() -> Iterator[Slope]:
    """Cost of checking the schedulers of all permits, and of naming all pools."""

    def check(permits: int) -> Callable[[], None]:
        membership = known_membership(430, ())
        permit_client = PermitClient(
            membership,
            send=lambda vm, message: True,
            now_ms=lambda: 1.0,
            jitter=random.Random(1),
        )
        scheduler_vm = membership.scheduler_of(POOL, "zone-00", 1.0) or ""
        for _ in range(permits):
            item = ask()
            permit = Permit(item.ask_id, POOL, "engine", "", 0, 1_000)
            permit_client._held[item.ask_id] = _Held(
                permit, "zone-00", {scheduler_vm}, 700, 250
            )
        return permit_client.report_held_permits

    yield Slope(
        "checking keepers of permits in hand (4 a second)",
        "permits",
        "us",
        tuple(cpu_point(size, partial(check, size)) for size in (100, 200, 400)),
    )

    def name_pools(each: int) -> Callable[[], None]:
        membership = known_membership(43, upstream_records(10, 10, each))

        def run() -> None:
            for _ in range(50):
                membership.pools("engine")

        return run

    yield Slope(
        "naming the models served (each request)",
        "upstreams listed",
        "us",
        tuple(
            cpu_point(each * 100, partial(name_pools, each), per=50)
            for each in (4, 8, 17)
        ),
    )


def _targets(entries: int) -> bytes:
    groups: list[dict[str, Any]] = []
    vms = entries * 430 // 2130
    for vm in vm_records(vms, 10):
        labels = {"role": "vm", "name": vm.name, "zone": vm.zone, "region": vm.region}
        labels["state"] = "live"
        groups.append({"targets": [vm.address], "labels": labels})
    for upstream in upstream_records(10, 10, 18)[: entries - vms]:
        labels = {
            "role": "upstream",
            "name": upstream.name,
            "zone": upstream.zone,
            "region": upstream.region,
            "state": "live",
            "kind": upstream.kind,
            "pools": ",".join(upstream.pools),
            "generation": upstream.generation,
        }
        groups.append({"targets": [upstream.address], "labels": labels})
    return json.dumps(groups).encode()


def _listing(body: bytes) -> Listing:
    return listing_from_targets(json.loads(body))


@measurement("list")
def platform_list() -> Iterator[Slope]:
    """Size of one read of the platform's list, and the cost of applying it."""
    sizes = (500, 1000, 2130)
    bodies = {size: _targets(size) for size in sizes}
    yield Slope(
        "platform's list, one read",
        "entries",
        "bytes",
        tuple(
            Point(size, len(bodies[size]), len(bodies[size]), len(bodies[size]))
            for size in sizes
        ),
    )

    def apply_listing(size: int) -> Callable[[], None]:
        membership = Membership(vm_records(1, 10)[0])

        def run() -> None:
            for _ in range(5):
                membership.apply_listing(_listing(bodies[size]))

        return run

    yield Slope(
        "platform's list, taking in one read",
        "entries",
        "us",
        tuple(cpu_point(size, partial(apply_listing, size), per=5) for size in sizes),
    )
    yield Slope(
        "platform's list in memory",
        "entries",
        "bytes",
        tuple(
            point(
                size,
                [held_bytes(partial(_listing, bodies[size])) for _ in range(REPEATS)],
            )
            for size in sizes
        ),
    )
