"""Decodes the entries with which replicas register in the platform's store."""

from typing import Any, Literal, NotRequired

from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from hemlocktrestle.documents import (
    Id,
    IpAddress,
    Name,
    PositiveCount,
    Revision,
    SignedMilliseconds,
    Text,
    check,
    decode_json,
)
from hemlocktrestle.gateway import ReplicaRecord


@with_config(ConfigDict(extra="ignore", strict=True))
class _Registration(TypedDict):
    service: Name
    address: IpAddress
    zone: Name
    slots: PositiveCount
    state: Literal["ready", "draining"]
    coldRemainingMs: NotRequired[SignedMilliseconds]
    # Wall-clock milliseconds of the start; distinguishes restarts under one id.
    born: NotRequired[Revision]
    version: NotRequired[Text | Revision]


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Registration)
_ID_ADAPTER: TypeAdapter[str] = TypeAdapter(Id)


def decode_registration(replica_id: str, data: bytes) -> ReplicaRecord:
    """Validate a replica's entry and convert it.

    Args:
        replica_id: the replica's id, from the entry's key.
        data: the entry.

    Returns:
        The replica.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID`` if the entry is invalid; the
            message names the field.  An id that no header line can carry is an error,
            too.
    """
    source = f"registration {replica_id}"
    check(_ID_ADAPTER, replica_id, source=source)
    raw = decode_json(_ADAPTER, data, source=source)
    return ReplicaRecord(
        replica_id=replica_id,
        service=raw["service"],
        address=raw["address"],
        zone=raw["zone"],
        slots=raw["slots"],
        is_draining=raw["state"] == "draining",
        cold_ms=raw.get("coldRemainingMs", 0.0),
        born_ms=raw.get("born", 0),
        version=str(raw.get("version", "")),
    )
