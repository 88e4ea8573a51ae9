"""Decodes the operator's configuration document from the platform's store."""

import math
from typing import Annotated, Any, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

from hemlocktrestle.documents import (
    BYTES_MAX,
    Amount,
    Count,
    HeaderText,
    Milliseconds,
    PositiveCount,
    PositiveMilliseconds,
    Revision,
    Text,
    decode_json,
)
from hemlocktrestle.gateway import (
    CallerLimits,
    Configuration,
    Customer,
    EngineLimits,
    RequestKind,
    Route,
    Service,
    Target,
)

TOKENS_PER_EVENT_MAX = 4_096
"""Most tokens in one event of a stream.

The tokens of a million such events fit a field of a message.
"""

PATIENCE_MS_MIN = 2_000.0
"""Shortest time for which callers wait for an event of a stream, in milliseconds."""

TARGETS_PER_PATIENCE = 4
"""Latency targets of a route for which its callers wait for an event."""

GAPS_PER_PATIENCE = 8
"""Longest pauses in time of a route for which its callers wait for an event."""

_IGNORE_EXTRA = ConfigDict(extra="ignore")
_Bytes = Annotated[int, Field(ge=0, le=BYTES_MAX)]


@with_config(_IGNORE_EXTRA)
class _Split(TypedDict):
    service: Text
    weight: Amount


@with_config(_IGNORE_EXTRA)
class _Route(TypedDict):
    name: NotRequired[Text]
    host: Text
    prefix: Text
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeoutMs: PositiveMilliseconds
    # Latency objective of the first event or of the whole answer.
    targetLatencyMs: NotRequired[Milliseconds]
    targetGapMs: NotRequired[Milliseconds | None]
    priority: NotRequired[Count]
    service: NotRequired[Text | None]
    weightedSplit: NotRequired[list[_Split] | None]
    attempts: NotRequired[Count]
    # Whether callers need no key; unrelated to the networks they call from.
    public: NotRequired[bool]
    streamResume: NotRequired[bool]


@with_config(_IGNORE_EXTRA)
class _Engine(TypedDict):
    slots: PositiveCount
    # Tokens per event of a stream.
    stride: NotRequired[Annotated[int, Field(ge=1, le=TOKENS_PER_EVENT_MAX)]]
    # Tokens that the requests of one engine hold together at most.
    kvCapacityTokens: NotRequired[Count | None]


@with_config(_IGNORE_EXTRA)
class _Service(TypedDict):
    name: Text
    engine: NotRequired[_Engine | None]
    maxConns: NotRequired[Count | None]


@with_config(_IGNORE_EXTRA)
class _Tenant(TypedDict):
    name: HeaderText
    apiKeys: NotRequired[list[Text]]
    priority: NotRequired[Count | None]
    unit: NotRequired[Text | None]
    plainTokens: NotRequired[Count | None]
    ratePerS: NotRequired[Amount | None]
    burst: NotRequired[Amount | None]


@with_config(_IGNORE_EXTRA)
class _CallerLimits(TypedDict):
    maxHeaderBytes: NotRequired[_Bytes]
    maxBodyBytes: NotRequired[_Bytes]
    headerTimeoutMs: NotRequired[Milliseconds]
    idleTimeoutMs: NotRequired[Milliseconds]


@with_config(_IGNORE_EXTRA)
class _Configuration(TypedDict):
    version: Revision
    routes: list[_Route]
    services: NotRequired[list[_Service]]
    limits: NotRequired[_CallerLimits]
    tenants: NotRequired[list[_Tenant] | None]


_ADAPTER: TypeAdapter[Any] = TypeAdapter(_Configuration)

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAM,
}


def decode_configuration(data: bytes) -> Configuration:
    """Validate a configuration document and convert it.

    Args:
        data: the JSON document that the operator wrote.

    Returns:
        The configuration.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names the field.
    """
    raw = decode_json(_ADAPTER, data, source="configuration")
    limits = raw.get("limits", {})
    defaults = CallerLimits()
    return Configuration(
        version=raw["version"],
        routes=[_route(route) for route in raw["routes"]],
        services=[_service(service) for service in raw.get("services", ())],
        customers=[_customer(tenant) for tenant in raw.get("tenants") or ()],
        limits=CallerLimits(
            limits.get("maxHeaderBytes", defaults.header_bytes_max),
            limits.get("maxBodyBytes", defaults.body_bytes_max),
            limits.get("headerTimeoutMs", defaults.header_timeout_ms),
            limits.get("idleTimeoutMs", defaults.idle_timeout_ms),
        ),
    )


def _route(raw: Any) -> Route:
    split = raw.get("weightedSplit")
    targets = tuple(Target(part["service"], part["weight"]) for part in split or ())
    if not targets:
        targets = (Target(raw.get("service") or "", 1.0),)
    return Route(
        name=raw.get("name", ""),
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=_KINDS[raw["kind"]],
        timeout_ms=raw["timeoutMs"],
        objective_ms=raw.get("targetLatencyMs") or raw["timeoutMs"],
        rank=raw.get("priority", 0),
        targets=targets,
        attempts=max(1, raw.get("attempts", 1)),
        is_public=raw.get("public", False),
        may_resume=raw.get("streamResume", False),
        gap_ms=raw.get("targetGapMs") or 0.0,
        patience_ms=_patience_ms(raw),
    )


def _patience_ms(raw: Any) -> float:
    """Return after how long a silence the callers of a route leave a stream."""
    if _KINDS[raw["kind"]] is not RequestKind.STREAM:
        return math.inf
    return max(
        PATIENCE_MS_MIN,
        TARGETS_PER_PATIENCE * (raw.get("targetLatencyMs") or 0.0),
        GAPS_PER_PATIENCE * (raw.get("targetGapMs") or 0.0),
    )


def _service(raw: Any) -> Service:
    engine = raw.get("engine")
    return Service(
        name=raw["name"],
        engine=engine
        and EngineLimits(
            engine["slots"],
            engine.get("stride", 1),
            engine.get("kvCapacityTokens") or 0,
        ),
        connections_max=raw.get("maxConns") or 0,
    )


def _customer(raw: Any) -> Customer:
    return Customer(
        name=raw["name"],
        keys=frozenset(raw.get("apiKeys", ())),
        rank=raw.get("priority"),
        counts_tokens=raw.get("unit") == "tokens",
        default_tokens=raw.get("plainTokens") or 0,
        rate_per_s=raw.get("ratePerS") or 0.0,
        burst=raw.get("burst") or 0.0,
    )
