"""Decodes the operator's configuration document from the platform's store."""

import json
from typing import Annotated, Any, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError
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

_IGNORE_EXTRA = ConfigDict(extra="ignore")


@with_config(_IGNORE_EXTRA)
class _Split(TypedDict):
    service: str
    weight: Annotated[float, Field(ge=0)]


@with_config(_IGNORE_EXTRA)
class _Route(TypedDict):
    name: NotRequired[str]
    host: str
    prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeoutMs: Annotated[float, Field(gt=0)]
    # Latency objective of the first event or of the whole answer.
    targetLatencyMs: NotRequired[float]
    targetGapMs: NotRequired[float | None]
    priority: NotRequired[int]
    service: NotRequired[str | None]
    weightedSplit: NotRequired[list[_Split] | None]
    attempts: NotRequired[int]
    # Whether callers need no key; unrelated to the networks they call from.
    public: NotRequired[bool]
    streamResume: NotRequired[bool]


@with_config(_IGNORE_EXTRA)
class _Engine(TypedDict):
    slots: Annotated[int, Field(gt=0)]
    # Tokens per event of a stream.
    stride: NotRequired[int]


@with_config(_IGNORE_EXTRA)
class _Service(TypedDict):
    name: str
    engine: NotRequired[_Engine | None]


@with_config(_IGNORE_EXTRA)
class _Tenant(TypedDict):
    name: str
    apiKeys: NotRequired[list[str]]
    priority: NotRequired[int | None]
    unit: NotRequired[str | None]
    plainTokens: NotRequired[int | None]
    ratePerS: NotRequired[float | None]
    burst: NotRequired[float | None]


@with_config(_IGNORE_EXTRA)
class _CallerLimits(TypedDict):
    maxHeaderBytes: NotRequired[int]
    maxBodyBytes: NotRequired[int]
    headerTimeoutMs: NotRequired[float]
    idleTimeoutMs: NotRequired[float]


@with_config(_IGNORE_EXTRA)
class _Configuration(TypedDict):
    version: int
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
    try:
        raw = _ADAPTER.validate_python(json.loads(data))
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        reason = first["msg"]
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"configuration: {field}: {reason}"
        ) from error
    except ValueError as error:
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, "configuration is not JSON"
        ) from error
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
    )


def _service(raw: Any) -> Service:
    engine = raw.get("engine")
    return Service(
        name=raw["name"],
        engine=engine
        and EngineLimits(
            engine["slots"],
            engine.get("stride", 1),
        ),
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
