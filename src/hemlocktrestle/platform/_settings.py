"""Decodes the settings file that the platform writes for each process."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

from hemlocktrestle.documents import (
    COUNT_MAX,
    PORT_MAX,
    Amount,
    HostAddress,
    ListenAddress,
    Name,
    PositiveAmount,
    PositiveMilliseconds,
    check,
)
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.rollout import ExposureBounds

SETTINGS_VARIABLE = "HEMLOCKTRESTLE_SETTINGS"
"""Environment variable that holds the path of the settings file."""

SETTINGS_PATH_DEFAULT = "/etc/hemlocktrestle/settings.toml"
"""Path of the settings file if the variable is not set."""

QUOTA_WINDOW_DEFAULT_S = 10
"""Default quota window if the platform states none, in seconds."""

KNOWN_WITHIN_DEFAULT_MS = 2_500.0
"""Default time in which changes must be known, in milliseconds: the shortest in use."""

MEMORY_CONTRACT = "pressure"
"""Part of the contract by which requests beyond its memory crash an engine."""
ROLLOUT_CONTRACT = "rollout"
"""Part of the contract with which the operator orders moves to other versions."""

EXPOSED_SHARE_DEFAULT = 0.05
"""Default share of requests that a bad version may get: the canary needs some."""

STOP_DEFAULT_MS = 5_000.0
"""Default time in which nothing more may be sent to a bad version, in ms."""

_OWN_FIELDS = frozenset({"nodeName", "platformSettings", "contractBounds"})
"""Fields that distinguish the platform's files from the project's own settings."""

# The platform adds fields over time, so unknown ones are ignored.
_IGNORE_EXTRA = ConfigDict(extra="ignore")
_Port = Annotated[int, Field(ge=0, le=PORT_MAX)]
_Seconds = Annotated[float, Field(gt=0, le=1e9)]


@with_config(_IGNORE_EXTRA)
class _Listen(TypedDict):
    front: ListenAddress
    readyAddr: ListenAddress


@with_config(_IGNORE_EXTRA)
class _Limits(TypedDict):
    maxFds: Annotated[int, Field(gt=200, le=COUNT_MAX)]
    memoryMb: PositiveAmount
    # Share of one core, and how many times as fast that core is: the settings give
    # the processor time of a VM as the product of the two.
    cpuShare: NotRequired[Amount]
    cores: NotRequired[Amount]
    linkMbps: NotRequired[Amount]


@with_config(_IGNORE_EXTRA)
class _Bounds(TypedDict):
    graceS: _Seconds
    budgetRatio: Amount
    budgetWindowS: _Seconds
    budgetSlack: Amount
    drainMs: NotRequired[PositiveMilliseconds]
    configApplyMs: NotRequired[PositiveMilliseconds]
    quotaWindowS: NotRequired[_Seconds]
    quotaOver: NotRequired[Amount]
    quotaSlack: NotRequired[Amount]
    exposeShare: NotRequired[Amount]
    exposeSlack: NotRequired[Amount]
    rollbackMs: NotRequired[PositiveMilliseconds]


@with_config(_IGNORE_EXTRA)
class _Store(TypedDict):
    address: HostAddress


@with_config(_IGNORE_EXTRA)
class _Settings(TypedDict):
    nodeName: Name
    ipAddr: Name
    zone: Name
    region: Name
    internalPorts: Annotated[list[_Port], Field(min_length=2, max_length=2)]
    zones: dict[Name, Name]
    listen: _Listen
    limits: _Limits
    contractBounds: _Bounds
    platformSettings: _Store
    contracts: NotRequired[list[Any]]


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Settings)


class ContractBounds(NamedTuple):
    """Limits that the platform's contract sets for the system.

    Args:
        grace_ms: time between SIGTERM and SIGKILL.
        retry_ratio: retries allowed for each request to a service.
        retry_window_ms: window over which retries are counted.
        retry_slack: retries allowed beyond the ratio in one window, over all VMs.
        quota_window_ms: window over which quotas are counted.
        quota_excess_share: share by which a quota may be exceeded.
        quota_slack: amount by which a quota may be exceeded beyond that, in a window.
        leaving_known_ms: time in which a VM must know that a replica leaves.
        configuration_known_ms: time in which a new configuration must be in force.
        rollouts: limits on versions that services are moved to, ``None`` if the
            operator orders no such moves.
    """

    grace_ms: float
    retry_ratio: float
    retry_window_ms: float
    retry_slack: float
    quota_window_ms: float
    quota_excess_share: float
    quota_slack: float
    leaving_known_ms: float = KNOWN_WITHIN_DEFAULT_MS
    configuration_known_ms: float = KNOWN_WITHIN_DEFAULT_MS
    rollouts: ExposureBounds | None = None


class EdgeSettings(NamedTuple):
    """Settings of one process.

    Args:
        vm: name of the VM.
        zone: its availability zone.
        region: its region.
        ip: its address.
        callers_address: where callers connect.
        ready_address: where the load balancer checks whether the VM is ready.
        peer_port: port for links between VMs.
        region_of_zone: region by availability zone, of the whole system.
        store_address: address of the platform's store.
        descriptors_max: limit of open file descriptors.
        memory_bytes: memory limit of the process.
        cpu_cores: processor time that the process gets, in cores, 0 if not stated.
        link_mbps: bandwidth of the VM's link, 0 if not stated.
        bounds: limits that the platform's contract sets.
        engines_run_out: whether an engine crashes if its requests exceed its memory.
    """

    vm: str
    zone: str
    region: str
    ip: str
    callers_address: str
    ready_address: str
    peer_port: int
    region_of_zone: dict[str, str]
    store_address: str
    descriptors_max: int
    memory_bytes: int
    cpu_cores: float
    link_mbps: float
    bounds: ContractBounds
    engines_run_out: bool = False


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Return the path of the settings file."""
    return Path(environment.get(SETTINGS_VARIABLE, SETTINGS_PATH_DEFAULT))


def read_settings(path: Path) -> EdgeSettings:
    """Read and check a settings file.

    Args:
        path: the file, in TOML.

    Returns:
        The settings.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    return decode_settings(_parse_toml(path), source=str(path))


def is_edge_settings(path: Path) -> bool:
    """Tell whether a file has the platform's format rather than the project's own.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if it cannot be read as TOML.
    """
    return not _OWN_FIELDS.isdisjoint(_parse_toml(path))


def _parse_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        # ValueError also covers invalid UTF-8 and numbers with too many digits.
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error


def decode_settings(document: dict[str, Any], *, source: str) -> EdgeSettings:
    """Validate a settings document and convert it.

    Args:
        document: the parsed file.
        source: name of the document in error messages.

    Returns:
        The settings.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    raw = check(_ADAPTER, document, source=source)
    bounds = raw["contractBounds"]
    return EdgeSettings(
        vm=raw["nodeName"],
        zone=raw["zone"],
        region=raw["region"],
        ip=raw["ipAddr"],
        callers_address=raw["listen"]["front"],
        ready_address=raw["listen"]["readyAddr"],
        peer_port=raw["internalPorts"][0],
        region_of_zone=dict(raw["zones"]),
        store_address=raw["platformSettings"]["address"],
        descriptors_max=raw["limits"]["maxFds"],
        memory_bytes=int(raw["limits"]["memoryMb"] * 1_000_000),
        cpu_cores=raw["limits"].get("cpuShare", 0.0) * raw["limits"].get("cores", 1.0),
        link_mbps=raw["limits"].get("linkMbps", 0.0),
        bounds=ContractBounds(
            grace_ms=bounds["graceS"] * 1000,
            retry_ratio=bounds["budgetRatio"],
            retry_window_ms=bounds["budgetWindowS"] * 1000,
            retry_slack=bounds["budgetSlack"],
            quota_window_ms=bounds.get("quotaWindowS", QUOTA_WINDOW_DEFAULT_S) * 1000,
            quota_excess_share=bounds.get("quotaOver", 0.0),
            quota_slack=bounds.get("quotaSlack", 0.0),
            leaving_known_ms=bounds.get("drainMs", KNOWN_WITHIN_DEFAULT_MS),
            configuration_known_ms=bounds.get("configApplyMs", KNOWN_WITHIN_DEFAULT_MS),
            rollouts=_rollout_bounds(raw),
        ),
        engines_run_out=MEMORY_CONTRACT in raw.get("contracts", ()),
    )


def _rollout_bounds(raw: dict[str, Any]) -> ExposureBounds | None:
    if ROLLOUT_CONTRACT not in raw.get("contracts", ()):
        return None
    bounds = raw["contractBounds"]
    return ExposureBounds(
        share=bounds.get("exposeShare", EXPOSED_SHARE_DEFAULT),
        slack=bounds.get("exposeSlack", 0.0),
        stop_ms=bounds.get("rollbackMs", STOP_DEFAULT_MS),
    )
