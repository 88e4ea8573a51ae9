"""A caller's request, and the model, cost, deadline and tier that it asks for."""

import json
from typing import Annotated, NamedTuple, NotRequired

import xxhash
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError, with_config
from typing_extensions import TypedDict

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import Rules, tier_rank
from hemlocktrestle.wire import TIERS

BYTES_PER_TOKEN = 4
"""Bytes of prompt text that are estimated as one token."""

PREFIX_BYTES = 1024
"""Bytes at the start of a prompt that its prefix digest covers."""

DEADLINE_MS_MAX = 86_400_000
"""Longest deadline that a caller may ask for, in milliseconds."""

OUTPUT_TOKENS_DEFAULT = 256
"""Output length assumed of a chat that sets no limit, in tokens."""


class CallerRequest(NamedTuple):
    """A complete request from a caller; header names are in lower case."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_ms: float

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or ``None``."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


@with_config(ConfigDict(extra="allow"))
class ChatBody(TypedDict):
    """The fields of a chat completion's body that are read."""

    model: Annotated[str, Field(min_length=1, max_length=200)]
    messages: Annotated[list[dict[str, object]], Field(min_length=1)]
    stream: NotRequired[bool]
    max_tokens: NotRequired[Annotated[int, Field(ge=1)] | None]
    max_completion_tokens: NotRequired[Annotated[int, Field(ge=1)] | None]


_CHAT_ADAPTER: TypeAdapter[ChatBody] = TypeAdapter(ChatBody)


class ChatCost(NamedTuple):
    """Estimated cost of a chat; ``prefix_digest`` is equal for equal prefixes."""

    prompt_tokens: int
    output_tokens: int
    prefix_digest: int


def parse_chat(body: bytes) -> ChatBody:
    """Parse the body of a chat completion.

    Raises:
        RequestError: ``BAD_JSON`` or ``BAD_REQUEST``; the message names the field.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError(ErrorKind.BAD_JSON, "body is not JSON") from error
    try:
        return _CHAT_ADAPTER.validate_python(value, strict=True)
    except ValidationError as error:
        problem = error.errors()[0]
        where = ".".join(str(part) for part in problem["loc"]) or "body"
        reason = problem["msg"]
        raise RequestError(ErrorKind.BAD_REQUEST, f"{where}: {reason}") from error


def chat_cost(chat: ChatBody, rules: Rules) -> ChatCost:
    """Estimate the cost of a chat from its body."""
    text = json.dumps(chat["messages"], ensure_ascii=False).encode()
    wanted = chat.get("max_completion_tokens") or chat.get("max_tokens")
    output_tokens = min(wanted or OUTPUT_TOKENS_DEFAULT, rules["output_tokens_max"])
    return ChatCost(
        max(1, len(text) // BYTES_PER_TOKEN),
        output_tokens,
        xxhash.xxh64_intdigest(text[:PREFIX_BYTES]),
    )


def deadline_of(request: CallerRequest, rules: Rules) -> int:
    """Return the time that a request may take, in milliseconds.

    Raises:
        RequestError: ``DEADLINE_INVALID`` if the header is no positive number.
    """
    text = request.header("x-request-deadline-ms")
    if text is None:
        return rules["deadline_ms"]
    if not text.isascii() or not text.isdigit():
        raise RequestError(
            ErrorKind.DEADLINE_INVALID, "X-Request-Deadline-Ms: not a whole number"
        )
    deadline_ms = int(text[:12])
    if not 1 <= deadline_ms <= DEADLINE_MS_MAX:
        raise RequestError(
            ErrorKind.DEADLINE_INVALID, "X-Request-Deadline-Ms: out of range"
        )
    return min(deadline_ms, rules["deadline_ms"])


def tier_of(request: CallerRequest, rules: Rules) -> int:
    """Return the rank of a request's tier, which a caller may only lower.

    Raises:
        RequestError: ``BAD_REQUEST`` if the header names no tier.
    """
    allowed = tier_rank(rules["tier"])
    wanted = request.header("x-hemlocktrestle-tier")
    if wanted is None:
        return allowed
    if wanted not in TIERS:
        raise RequestError(ErrorKind.BAD_REQUEST, "X-Hemlocktrestle-Tier: no such tier")
    return max(allowed, tier_rank(wanted))
