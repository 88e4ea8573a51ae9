"""The settings of one VM, read from a TOML file and checked."""

import tomllib
from pathlib import Path
from typing import Annotated, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError

_CLOSED = ConfigDict(extra="forbid", strict=True)
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[^\s:]+:\d{1,5}$")]


@with_config(_CLOSED)
class VmSection(TypedDict):
    """Who this VM is."""

    name: Name
    zone: Name
    region: Name


@with_config(_CLOSED)
class ListenSection(TypedDict):
    """Where this VM listens; port 0 takes any free port."""

    callers: Address
    operators: Address
    peers: Address


@with_config(_CLOSED)
class PlatformSection(TypedDict):
    """Where the platform's services are."""

    store: Address
    list: Address


@with_config(_CLOSED)
class SecuritySection(TypedDict):
    """Files with secrets; ``peers_plain`` and ``callers_plain`` turn TLS off."""

    operator_token_file: str
    peers_plain: NotRequired[bool]
    callers_plain: NotRequired[bool]
    ca_file: NotRequired[str]
    certificate_file: NotRequired[str]
    key_file: NotRequired[str]


@with_config(_CLOSED)
class TelemetrySection(TypedDict):
    """Logs and traces; empty texts turn an exporter off."""

    log_level: NotRequired[str]
    trace_file: NotRequired[str]
    otlp_endpoint: NotRequired[str]


@with_config(_CLOSED)
class DrainSection(TypedDict):
    """How a graceful shutdown goes, in milliseconds."""

    notice_ms: NotRequired[Annotated[int, Field(ge=0)]]
    finish_ms: NotRequired[Annotated[int, Field(ge=0)]]


@with_config(_CLOSED)
class VmSettings(TypedDict):
    """All settings of one VM."""

    vm: VmSection
    listen: ListenSection
    platform: PlatformSection
    security: SecuritySection
    telemetry: NotRequired[TelemetrySection]
    drain: NotRequired[DrainSection]


VM_SETTINGS_ADAPTER: TypeAdapter[VmSettings] = TypeAdapter(VmSettings)


def read_vm_settings(path: Path) -> VmSettings:
    """Read and check the settings of a VM.

    Args:
        path: the TOML file.

    Returns:
        The settings.

    Raises:
        RequestError: ``SETTINGS_INVALID``; the message names the file, the path of
            each wrong field, and the reason.
    """
    try:
        value = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{path}: (whole): {error}"
        ) from error
    try:
        settings = VM_SETTINGS_ADAPTER.validate_python(value)
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(str(part) for part in problem['loc'])}: "
            f"{problem['msg']}"
            for problem in error.errors()
        ]
        raise RequestError(ErrorKind.SETTINGS_INVALID, "\n".join(lines)) from error
    _check_security(path, settings["security"])
    return settings


def _check_security(path: Path, security: SecuritySection) -> None:
    files = ("ca_file", "certificate_file", "key_file")
    is_plain = security.get("peers_plain", False) and security.get(
        "callers_plain", False
    )
    missing = [name for name in files if not security.get(name)]
    if missing and not is_plain:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID,
            f"{path}: security.{missing[0]}: needed unless peers_plain and "
            "callers_plain are both true",
        )


def read_secret(path: str, *, field: str) -> str:
    """Read a secret from its file.

    Raises:
        RequestError: ``SETTINGS_INVALID``; the message names the field and the file.
    """
    try:
        secret = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{field}: {path}: not readable"
        ) from error
    if not secret:
        raise RequestError(ErrorKind.SETTINGS_INVALID, f"{field}: {path}: is empty")
    return secret
