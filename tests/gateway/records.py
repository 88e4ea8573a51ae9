"""Factories of records with ordinary values, which tests override."""

from typing import Any

from hemlocktrestle.gateway import (
    CallerLimits,
    Configuration,
    Customer,
    EngineLimits,
    ReplicaRecord,
    ReplicaUpdate,
    RequestKind,
    Route,
    Service,
    StoreRevision,
    Target,
)


def route(prefix: str = "/jobs/", **fields: Any) -> Route:
    """Return an idempotent public route of the ledger."""
    values: dict[str, Any] = {
        "name": "jobs",
        "host": "callers.example",
        "prefix": prefix,
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 6_000.0,
        "objective_ms": 400.0,
        "rank": 1,
        "targets": (Target("ledger", 1.0),),
        "attempts": 2,
        "is_public": True,
        "may_resume": False,
        "gap_ms": 0.0,
    }
    return Route(**{**values, **fields})


def customer(name: str = "clinics", **fields: Any) -> Customer:
    """Return a customer without a quota, whose key is its name and ``-key``."""
    values: dict[str, Any] = {
        "name": name,
        "keys": frozenset({f"{name}-key"}),
        "rank": None,
        "counts_tokens": True,
        "default_tokens": 200,
        "rate_per_s": 0.0,
        "burst": 0.0,
    }
    return Customer(**{**values, **fields})


SERVICES = (
    Service("ledger", None),
    Service("assistant", EngineLimits(12, 5)),
)


def configuration(
    *routes: Route, customers: tuple[Customer, ...] = (), version: int = 1
) -> Configuration:
    """Return a configuration of the given routes, or of one ordinary one."""
    return Configuration(
        version=version,
        routes=routes or (route(),),
        services=SERVICES,
        customers=customers,
        limits=CallerLimits(),
    )


def replica(replica_id: str, **fields: Any) -> ReplicaRecord:
    """Return a ready replica of the ledger, whose address is its id."""
    values: dict[str, Any] = {
        "replica_id": replica_id,
        "service": "ledger",
        "address": replica_id,
        "zone": "z1",
        "slots": 6,
        "is_draining": False,
        "cold_ms": 0.0,
        "born_ms": 0,
    }
    return ReplicaRecord(**{**values, **fields})


def at(number: int, *, era: int = 0) -> StoreRevision:
    """Return a revision of the store, by default before any restore."""
    return StoreRevision(era, number)


def replica_update(
    replica_id: str, number: int, *, era: int = 0, **fields: Any
) -> ReplicaUpdate:
    """Return an update of a replica that can be used."""
    return ReplicaUpdate(replica_id, at(number, era=era), replica(replica_id, **fields))
