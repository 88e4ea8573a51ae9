"""Parses a caller's request into a job, with the rules that apply to it."""

import json
from typing import NamedTuple

from hemlocktrestle.claims import fingerprint_of
from hemlocktrestle.daemon._relay import STREAM_END
from hemlocktrestle.entry import (
    CallerRequest,
    LimitKey,
    chat_cost,
    deadline_of,
    parse_chat,
    tier_of,
)
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.membership import Membership
from hemlocktrestle.tree import Identity, Rules, TreeState
from hemlocktrestle.wire import Ask

TICKETS_MAX = 100
"""Most tickets that one request may ask for."""

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
"""Safe HTTP methods, which by definition have no effect."""

CHAT_TARGET = "/v1/chat/completions"
TICKETS_TARGET = "/v1/tickets"
CHAT_SERVICE = "chat"
SERVICES_PREFIX = "/services/"


class Job(NamedTuple):
    """A parsed and authorised request, ready for dispatch."""

    request: CallerRequest
    limit_key: LimitKey
    rules: Rules
    tier: int
    pool: str
    target: str
    ask: Ask
    deadline_at_ms: float
    is_stream: bool
    end_mark: bytes
    is_repeatable: bool
    key: str | None


def parse_request(
    request: CallerRequest,
    identity: Identity,
    *,
    tree: TreeState,
    membership: Membership,
) -> Job:
    """Parse a request into a job.

    Args:
        request: the request.
        identity: customer and caller, from the token.
        tree: the settings in force.
        membership: knows which models are served.

    Raises:
        RequestError: what is wrong with the request.
    """
    path = request.target.partition("?")[0]
    if path == CHAT_TARGET and request.method == "POST":
        return _chat_job(request, identity, tree, membership)
    if path.startswith(SERVICES_PREFIX):
        return _service_job(request, identity, tree)
    raise RequestError(
        ErrorKind.UNKNOWN_ROUTE, f"no route {request.method} {path[:200]}"
    )


def key_fingerprint(job: Job) -> str:
    """Return the digest that a resend under the job's key must match."""
    request = job.request
    return fingerprint_of(
        request.method, request.target, request.body, caller=job.limit_key.caller
    )


def is_chat(job: Job) -> bool:
    """Return whether a job is a chat completion."""
    return job.request.target.partition("?")[0] == CHAT_TARGET


def _idempotency_key(request: CallerRequest) -> str | None:
    """Return the caller's idempotency key, or ``None``.

    Raises:
        RequestError: of kind ``BAD_REQUEST`` if the header is there but empty.
    """
    key = request.header("idempotency-key")
    if key is not None and not key.strip():
        raise RequestError(ErrorKind.BAD_REQUEST, "Idempotency-Key: empty")
    return key


def ticket_count(body: bytes) -> int:
    """Return how many tickets a request asks for; an empty body asks for one.

    Raises:
        RequestError: ``BAD_JSON`` or ``BAD_REQUEST``; the message names the field.
    """
    if not body:
        return 1
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RequestError(ErrorKind.BAD_JSON, "body is not JSON") from error
    count = fields.get("count", 1) if isinstance(fields, dict) else None
    if type(count) is not int or not 1 <= count <= TICKETS_MAX:
        raise RequestError(
            ErrorKind.BAD_REQUEST, f"count: must be a number from 1 to {TICKETS_MAX}"
        )
    return count


def _chat_job(
    request: CallerRequest,
    identity: Identity,
    tree: TreeState,
    membership: Membership,
) -> Job:
    party = LimitKey(identity.customer, CHAT_SERVICE, identity.caller)
    rules = tree.rules_for(*party)
    chat = parse_chat(request.body)
    model = chat["model"]
    if model not in membership.pools("engine"):
        raise RequestError(ErrorKind.UNKNOWN_MODEL, f"model: {model}: not served")
    if "models" in rules and model not in rules["models"]:
        raise RequestError(ErrorKind.NOT_ALLOWED, f"model: {model}: not allowed")
    cost = chat_cost(chat, rules)
    deadline_ms = deadline_of(request, rules)
    tier = tier_of(request, rules)
    ask = Ask(
        request.request_id,
        model,
        identity.customer,
        tier,
        rules["weight"],
        cost.prompt_tokens,
        cost.output_tokens,
        cost.prefix_digest,
        deadline_ms,
    )
    is_stream = chat.get("stream", False)
    return Job(
        request,
        party,
        rules,
        tier,
        model,
        request.target,
        ask,
        request.arrived_ms + deadline_ms,
        is_stream,
        STREAM_END if is_stream else b"",
        True,
        _idempotency_key(request),
    )


def _service_job(request: CallerRequest, identity: Identity, tree: TreeState) -> Job:
    name, slash, rest = request.target.removeprefix(SERVICES_PREFIX).partition("/")
    spec = tree.service_spec(name)
    if spec is None:
        raise RequestError(ErrorKind.UNKNOWN_SERVICE, "no such service")
    party = LimitKey(identity.customer, name, identity.caller)
    rules = tree.rules_for(*party)
    if "services" in rules and name not in rules["services"]:
        raise RequestError(ErrorKind.NOT_ALLOWED, f"service: {name}: not allowed")
    is_safe = request.method in SAFE_METHODS
    is_repeatable = is_safe or spec.get("is_repeatable", False)
    key = _idempotency_key(request)
    if key is None and not is_repeatable and spec.get("needs_key", True):
        raise RequestError(
            ErrorKind.KEY_REQUIRED, "Idempotency-Key: needed for this call"
        )
    deadline_ms = deadline_of(request, rules)
    tier = tier_of(request, rules)
    ask = Ask(
        request.request_id,
        name,
        identity.customer,
        tier,
        rules["weight"],
        1,
        1,
        0,
        deadline_ms,
    )
    return Job(
        request,
        party,
        rules,
        tier,
        name,
        slash + rest or "/",
        ask,
        request.arrived_ms + deadline_ms,
        is_repeatable and key is None,
        b"",
        is_repeatable,
        key,
    )
