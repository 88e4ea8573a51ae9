"""Read-only commands on the store of the users' platform."""

import argparse
import json
from pathlib import Path
from typing import Any

from hemlocktrestle.cli._context import Context
from hemlocktrestle.cli._registry import command
from hemlocktrestle.edge.store._registration import VM_PREFIX
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import Configuration, StoreRevision, urgency_rank
from hemlocktrestle.platform import (
    CONFIGURATION_KEY,
    REGISTRATIONS_PREFIX,
    PlatformStore,
    StoreError,
    decode_configuration,
    decode_registration,
    read_settings,
)


def _store_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--at", required=True, help="address of the platform's store")


def _store_unavailable(error: StoreError) -> RequestError:
    return RequestError(ErrorKind.STORE_UNAVAILABLE, str(error))


async def _read_configuration(address: str) -> tuple[Configuration, StoreRevision]:
    """Read the configuration in force and its revision."""
    try:
        async with PlatformStore(address) as store:
            item, revision = await store.get(CONFIGURATION_KEY)
    except StoreError as error:
        raise _store_unavailable(error) from error
    if item is None:
        raise RequestError(ErrorKind.SETTINGS_INVALID, "there is no configuration yet")
    return decode_configuration(item.value), revision


async def _read_items(address: str, prefix: str) -> list[tuple[str, bytes]]:
    try:
        async with PlatformStore(address) as store:
            page = await store.list(prefix)
    except StoreError as error:
        raise _store_unavailable(error) from error
    return [(item.key.removeprefix(prefix), item.value) for item in page.items]


@command(
    "platform",
    "status",
    help="show the configuration that the platform's store holds",
    example="hemlocktrestle platform status --at 10.200.1.7:8225",
    arguments=_store_argument,
)
async def status(context: Context) -> int:
    """Print the configuration's version, services, customers and number of routes."""
    found, revision = await _read_configuration(context.options.at)
    shown = {
        "version": found.version,
        **revision.log_fields(),
        "routes": len(found.routes),
        "services": sorted(found.services),
        "customers": sorted(found.customers),
    }
    context.show(shown, [f"{name}: {value}" for name, value in shown.items()])
    return 0


@command(
    "platform",
    "upstreams",
    help="show the replicas that are registered",
    example="hemlocktrestle platform upstreams --at 10.200.1.7:8225",
    arguments=_store_argument,
)
async def upstreams(context: Context) -> int:
    """Print each registered replica, or the error in its entry."""
    shown: dict[str, Any] = {}
    lines = []
    for replica_id, value in await _read_items(
        context.options.at, REGISTRATIONS_PREFIX
    ):
        try:
            record = decode_registration(replica_id, value)
        except RequestError as error:
            shown[replica_id] = {"error": error.message}
            lines.append(f"{replica_id:16} {error.message}")
            continue
        shown[replica_id] = record._asdict()
        state = "draining" if record.is_draining else "ready"
        lines.append(
            f"{replica_id:16} {record.service:12} {record.address:22} "
            f"{record.zone:14} {state:9} slots={record.slots}"
        )
    context.show(shown, lines)
    return 0


@command(
    "platform",
    "vms",
    help="show the VMs of the system that are registered",
    example="hemlocktrestle platform vms --at 10.200.1.7:8225",
    arguments=_store_argument,
)
async def vms(context: Context) -> int:
    """Print each VM's entry."""
    shown = {
        name: json.loads(value)
        for name, value in await _read_items(context.options.at, VM_PREFIX)
    }
    lines = [
        f"{name:24} {entry['region']:12} {entry['zone']:14} {entry['address']}"
        for name, entry in shown.items()
    ]
    context.show(shown, lines)
    return 0


def _explain_arguments(parser: argparse.ArgumentParser) -> None:
    _store_argument(parser)
    parser.add_argument("host", help="host that the caller names")
    parser.add_argument("path", help="path of the request")
    parser.add_argument("--customer", default="", help="name of the customer")


@command(
    "platform",
    "explain",
    help="show which rules hold for a request of a customer",
    example="hemlocktrestle platform explain --at 10.200.1.7:8225 callers.example /a/1",
    arguments=_explain_arguments,
)
async def explain_rules(context: Context) -> int:
    """Print the route, urgency rank and quota that apply to a request."""
    options = context.options
    found, _ = await _read_configuration(options.at)
    route = found.route(options.host, options.path)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE, "no route for host and path")
    customer = found.customers.get(options.customer)
    if options.customer and customer is None:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"customer {options.customer} is not configured"
        )
    shown: dict[str, Any] = {
        "route": route.name,
        "kind": route.kind.value,
        "services": {target.service: target.weight for target in route.targets},
        "rank": urgency_rank(route, customer),
        "timeout_ms": route.timeout_ms,
        "objective_ms": route.objective_ms,
        "attempts": route.attempts,
        "may_resume": route.may_resume,
        "needs_key": bool(found.customers) and not route.is_public,
    }
    if customer is not None:
        shown["rate_per_s"] = customer.rate_per_s
        shown["burst"] = customer.burst
        shown["counts_tokens"] = customer.counts_tokens
    context.show(shown, [f"{name}: {value}" for name, value in shown.items()])
    return 0


def _file_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("file", type=Path)


@command(
    "platform",
    "validate-settings",
    help="check a settings file of the platform",
    example="hemlocktrestle platform validate-settings settings.toml",
    arguments=_file_argument,
)
async def validate_settings(context: Context) -> int:
    """Validate a settings file; the error names each invalid field."""
    settings = read_settings(context.options.file)
    context.show({"vm": settings.vm}, [f"{context.options.file}: valid"])
    return 0


@command(
    "platform",
    "validate-configuration",
    help="check a configuration as operators write it to the platform's store",
    example="hemlocktrestle platform validate-configuration config.json",
    arguments=_file_argument,
)
async def validate_configuration(context: Context) -> int:
    """Validate a configuration; the error names each invalid field."""
    path: Path = context.options.file
    try:
        data = path.read_bytes()
    except OSError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{path}: {error.strerror}"
        ) from error
    found = decode_configuration(data)
    context.show({"version": found.version}, [f"{path}: version {found.version} valid"])
    return 0
