"""The settings file that the platform writes for each process."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError

SETTINGS_VARIABLE = "HEMLOCKTRESTLE_SETTINGS"
"""Environment variable that holds the path of the settings file."""

SETTINGS_PATH_DEFAULT = "/etc/hemlocktrestle/settings.toml"
"""Path of the settings file if the variable is not set."""

QUOTA_WINDOW_S = 10
"""Window over which quotas are counted if the platform states none, in seconds."""

_OWN_FIELDS = frozenset({"nodeName", "platformSettings", "contractBounds"})
"""Fields of the platform's files that files of the project never have."""

# The platform adds fields over time, so unknown ones are passed over.
_OPEN = ConfigDict(extra="ignore")
_Address = Annotated[str, Field(pattern=r"^[^\s:]+:\d{1,5}$")]
_Positive = Annotated[float, Field(gt=0)]
_Amount = Annotated[float, Field(ge=0)]


@with_config(_OPEN)
class _Listen(TypedDict):
    front: _Address
    readyAddr: _Address


@with_config(_OPEN)
class _Limits(TypedDict):
    maxFds: Annotated[int, Field(gt=200)]
    memoryMb: Annotated[float, Field(gt=0)]


@with_config(_OPEN)
class _Bounds(TypedDict):
    graceS: _Positive
    budgetRatio: _Amount
    budgetWindowS: _Positive
    budgetSlack: _Amount
    quotaWindowS: NotRequired[_Positive]
    quotaOver: NotRequired[_Amount]
    quotaSlack: NotRequired[_Amount]


@with_config(_OPEN)
class _Store(TypedDict):
    address: _Address


@with_config(_OPEN)
class _Settings(TypedDict):
    nodeName: Annotated[str, Field(min_length=1)]
    ipAddr: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(min_length=1)]
    region: Annotated[str, Field(min_length=1)]
    internalPorts: Annotated[list[int], Field(min_length=2, max_length=2)]
    zones: dict[str, str]
    listen: _Listen
    limits: _Limits
    contractBounds: _Bounds
    platformSettings: _Store


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Settings)


class Bounds(NamedTuple):
    """Limits in time and number that the platform holds the system to.

    Args:
        grace_ms: time between the order to stop and the kill.
        repeat_ratio: repeats allowed for each request to a service.
        repeat_window_ms: window over which repeats are counted.
        repeat_slack: repeats allowed beyond the ratio.
        quota_window_ms: window over which quotas are counted.
        quota_over: share by which a quota may be exceeded.
        quota_slack: excess over a quota that is tolerated in a window.
    """

    grace_ms: float
    repeat_ratio: float
    repeat_window_ms: float
    repeat_slack: float
    quota_window_ms: float
    quota_over: float
    quota_slack: float


class EdgeSettings(NamedTuple):
    """What one process learns from the platform.

    Args:
        vm: name of the VM.
        zone: its availability zone.
        region: its region.
        ip: its address.
        callers_address: where callers connect.
        ready_address: where the balancer asks whether the VM takes callers.
        peer_port: first port that is free for links between VMs.
        region_of_zone: region by availability zone, of the whole system.
        store_address: the platform's store.
        descriptors_max: descriptors that the process may hold.
        bounds: the platform's limits in time and number.
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
    bounds: Bounds


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
    return decode_settings(_parsed(path), source=str(path))


def is_edge_settings(path: Path) -> bool:
    """Tell whether a file is one that the platform writes for a process.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if it cannot be read as TOML.
    """
    return not _OWN_FIELDS.isdisjoint(_parsed(path))


def _parsed(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{path}: {error}") from error


def decode_settings(document: dict[str, Any], *, source: str) -> EdgeSettings:
    """Check a settings document and translate it.

    Args:
        document: the parsed file.
        source: what error messages call it.

    Returns:
        The settings.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    try:
        raw = _ADAPTER.validate_python(document)
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        reason = first["msg"]
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{source}: {field}: {reason}"
        ) from error
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
        bounds=Bounds(
            grace_ms=bounds["graceS"] * 1000,
            repeat_ratio=bounds["budgetRatio"],
            repeat_window_ms=bounds["budgetWindowS"] * 1000,
            repeat_slack=bounds["budgetSlack"],
            quota_window_ms=bounds.get("quotaWindowS", QUOTA_WINDOW_S) * 1000,
            quota_over=bounds.get("quotaOver", 0.0),
            quota_slack=bounds.get("quotaSlack", 0.0),
        ),
    )
