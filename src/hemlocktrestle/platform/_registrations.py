"""Decodes the entries with which replicas register in the platform's store."""

import json
import re
from typing import Annotated, Any, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.gateway import ReplicaRecord

_ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")


@with_config(ConfigDict(extra="ignore", strict=True))
class _Registration(TypedDict):
    service: Annotated[str, Field(min_length=1)]
    address: Annotated[str, Field(pattern=_ADDRESS.pattern)]
    zone: Annotated[str, Field(min_length=1)]
    slots: Annotated[int, Field(gt=0)]
    state: Literal["ready", "draining"]
    coldRemainingMs: NotRequired[float]
    # Wall-clock milliseconds of the start; distinguishes restarts under one id.
    born: NotRequired[int]


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Registration)


def decode_registration(replica_id: str, data: bytes) -> ReplicaRecord:
    """Validate a replica's entry and convert it.

    Args:
        replica_id: the replica's id, from the entry's key.
        data: the entry.

    Returns:
        The replica.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if the entry is invalid; the
            message names the field.
    """
    try:
        raw = _ADAPTER.validate_python(json.loads(data))
    except ValidationError as error:
        field = ".".join(str(part) for part in error.errors()[0]["loc"])
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"registration {replica_id}: {field}"
        ) from error
    except ValueError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"registration {replica_id}: not JSON"
        ) from error
    return ReplicaRecord(
        replica_id=replica_id,
        service=raw["service"],
        address=raw["address"],
        zone=raw["zone"],
        slots=raw["slots"],
        is_draining=raw["state"] == "draining",
        cold_ms=raw.get("coldRemainingMs", 0.0),
        born_ms=raw.get("born", 0),
    )
