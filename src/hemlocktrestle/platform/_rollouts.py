"""Documents about moving a service to another version."""

import json
from typing import Any

from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from hemlocktrestle.documents import Name, PositiveAmount, Revision, decode_json
from hemlocktrestle.rollout import Order, Phase

ORDERS_PREFIX = "op/rollout/"
"""Prefix of the keys under which the operator orders a move, one for each service."""

STATUS_PREFIX = "status/rollout/"
"""Prefix of the keys under which the operator reads how far an order is."""

_STATES: dict[Phase, str] = {
    Phase.CANARY: "running",
    Phase.SHIFTING: "running",
    Phase.STOPPED: "running",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}
"""The state that the operator reads, by phase."""


@with_config(ConfigDict(extra="ignore"))
class _Order(TypedDict):
    service: Name
    target: Name | Revision
    durationS: PositiveAmount


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Order)


def decode_order(data: bytes, *, source: str) -> Order:
    """Validate an operator's order and convert it.

    Args:
        data: the document.
        source: its key, for error messages.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    raw = decode_json(_ADAPTER, data, source=source)
    return Order(raw["service"], str(raw["target"]), raw["durationS"] * 1000)


def encode_status(order: Order, phase: Phase) -> bytes:
    """Return what the operator reads about an order."""
    status = {
        "service": order.service,
        "target": order.target,
        "state": _STATES[phase],
    }
    return json.dumps(status).encode()
