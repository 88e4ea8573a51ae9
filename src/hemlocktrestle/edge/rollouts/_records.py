"""The system's own record of an order in the platform's store."""

import json
from typing import Any

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from hemlocktrestle.documents import Name, PositiveAmount, decode_json
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.rollout import Order, Phase, RolloutRecord

RECORDS_PREFIX = "hemlocktrestle/rollouts/"
"""Prefix of the keys of the records, one for each service."""


class _Record(TypedDict):
    target: Name
    duration_ms: PositiveAmount
    phase: Name


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Record)


def encode_record(order: Order, phase: Phase) -> bytes:
    """Return the record of an order's phase."""
    record = {
        "target": order.target,
        "duration_ms": order.duration_ms,
        "phase": phase.value,
    }
    return json.dumps(record).encode()


def decode_record(service: str, data: bytes, revision: int) -> RolloutRecord:
    """Validate a record and convert it.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``.
    """
    source = RECORDS_PREFIX + service
    raw = decode_json(_ADAPTER, data, source=source)
    order = Order(service, raw["target"], raw["duration_ms"])
    try:
        phase = Phase(raw["phase"])
    except ValueError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{source}: unknown phase"
        ) from error
    return RolloutRecord(order, phase, revision)
