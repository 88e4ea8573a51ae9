"""Document types of the settings tree, and their validation."""

from collections.abc import Mapping
from typing import Annotated, Any, Literal, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.wire import TIERS

TierName = Literal["high", "normal", "low"]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
TokenDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]

_STRICT_CONFIG = ConfigDict(extra="forbid", strict=True)


@with_config(_STRICT_CONFIG)
class Rules(TypedDict, total=False):
    """Rules of one node; what is absent is inherited from above.

    Rates are per second, ``deadline_ms`` is in milliseconds, ``output_tokens_max``
    in tokens, ``weight`` a share relative to other customers of the same tier.
    """

    tier: TierName
    weight: Annotated[float, Field(gt=0, le=1000)]
    rate_per_s: Annotated[float, Field(gt=0)]
    rate_burst_count: Annotated[int, Field(ge=1)]
    tokens_per_s: Annotated[float, Field(gt=0)]
    concurrency_count: Annotated[int, Field(ge=1)]
    deadline_ms: Annotated[int, Field(ge=1, le=86_400_000)]
    output_tokens_max: Annotated[int, Field(ge=1)]
    models: list[Name]
    services: list[Name]
    cross_region: bool


@with_config(_STRICT_CONFIG)
class CallerNode(TypedDict, total=False):
    """One caller of a service."""

    rules: Rules


@with_config(_STRICT_CONFIG)
class ServiceNode(TypedDict, total=False):
    """One service of a customer, with its callers."""

    rules: Rules
    callers: dict[Name, CallerNode]


@with_config(_STRICT_CONFIG)
class TokenNode(TypedDict):
    """What a bearer token stands for; the key of the table is its SHA-256."""

    caller: Name


@with_config(_STRICT_CONFIG)
class CustomerNode(TypedDict, total=False):
    """One customer: rules, services and tokens."""

    rules: Rules
    services: dict[Name, ServiceNode]
    tokens: dict[TokenDigest, TokenNode]


@with_config(_STRICT_CONFIG)
class ServiceSpec(TypedDict, total=False):
    """A plain service that the system routes to.

    ``is_repeatable`` tells whether a call may be made again after a failure;
    ``needs_key`` whether a call with an unsafe method must bring a key.
    """

    is_repeatable: bool
    needs_key: bool


@with_config(_STRICT_CONFIG)
class RootNode(TypedDict, total=False):
    """The root: rules for all, and the plain services."""

    rules: Rules
    services: dict[Name, ServiceSpec]
    policy: Name


ROOT_ADAPTER: TypeAdapter[RootNode] = TypeAdapter(RootNode)
CUSTOMER_ADAPTER: TypeAdapter[CustomerNode] = TypeAdapter(CustomerNode)

DEFAULT_RULES: Rules = {
    "tier": "normal",
    "weight": 1.0,
    "rate_per_s": 50.0,
    "rate_burst_count": 100,
    "tokens_per_s": 100_000.0,
    "concurrency_count": 200,
    "deadline_ms": 120_000,
    "output_tokens_max": 4096,
    "cross_region": True,
}
"""Values of rules that no node sets.

``models`` and ``services`` have no default: where no node sets them, all are allowed.
"""

_Node = TypeVar("_Node")


def check_node(adapter: TypeAdapter[_Node], value: Any, *, where: str) -> _Node:
    """Validate a node of the tree.

    Args:
        adapter: the adapter of the node's type.
        value: the value as read from JSON.
        where: path of the node, for the error message.

    Returns:
        The validated value.

    Raises:
        RequestError: of kind ``SETTINGS_INVALID``; the message names each invalid
            field with its path and the reason.
    """
    try:
        return adapter.validate_python(value)
    except ValidationError as error:
        problems = "; ".join(
            f"{_path_text(problem['loc'])}: {problem['msg']}"
            for problem in error.errors()
        )
        raise RequestError(
            ErrorKind.SETTINGS_INVALID, f"{where}: {problems}"
        ) from error


def _path_text(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "(whole)"


def tier_rank(tier: str) -> int:
    """Return the rank of a tier, 0 for the highest priority."""
    return TIERS.index(tier)


def own_rules(node: Mapping[str, Any]) -> Rules:
    """Return the rules that a node sets itself, without inherited ones."""
    rules: Rules = node.get("rules", {})
    return rules
