"""Parses and builds the platform's header lines."""

import math
import re

from hemlocktrestle.documents import COUNT_MAX, MS_MAX
from hemlocktrestle.gateway import AnswerMetadata, Headers, RequestMetadata

_REQUEST_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"api-key"
_CUSTOMER = b"x-tenant"
# Two numbers: tokens of the prompt, and the largest number of tokens to generate.
_TOKENS = b"x-token-usage"
# The parts of the prompt in order, each with its tokens.
_PROMPT_PARTS = b"x-prompt-prefix"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT = b"last-event-id"
_EXPECTED_REPLICA = b"x-expect-instance"
_SEAL = b"x-response-seal"
_NOT_EXECUTED = b"x-not-executed"
_LEAVING = b"server-leaving"
_REPLICA = b"x-instance-id"
# Seconds, also fractions.
_PAUSE = b"retry-after"
# Parameters; the timeout in whole seconds.
_KEEP_ALIVE = b"keep-alive"

_IDLE_TIMEOUT = re.compile(r"(?:^|,)\s*timeout\s*=\s*([0-9]{1,6})\s*(?:,|$)")

_PROMPT_PART = re.compile(r"\s*([0-9a-f]{1,64}):[0-9]+\s*", re.IGNORECASE)

PROMPT_PARTS_MAX = 32
"""Parts of a prompt that are read; the ones after them are ignored."""

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1)."""

_NOT_FORWARDED = frozenset(
    {
        _KEY,
        _CUSTOMER,
        _DEADLINE,
        _EXPECTED_REPLICA,
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"content-length",
        b"expect",
    }
)
"""Headers of a caller's request that are not forwarded; the edge sets its own."""


class HeaderCodec:
    """Parses and builds the platform's header lines; stateless."""

    def parse_request(self, target: str, headers: Headers) -> RequestMetadata:
        """Parse the head of a caller's request.

        Args:
            target: the request target as received.
            headers: header lines, names in lower case.

        Returns:
            The parsed fields; a malformed value counts as absent.
        """
        lines = dict(headers)
        tokens = lines.get(_TOKENS, b"").decode("latin-1").split(",")
        return RequestMetadata(
            request_id=_text(lines, _REQUEST_ID),
            host=_text(lines, b"host").rsplit(":", 1)[0],
            path=target.partition("?")[0],
            key=_text(lines, _KEY),
            deadline_ms=_number(_text(lines, _DEADLINE), MS_MAX),
            prompt_tokens=_count(tokens[0]),
            output_tokens_max=_count(tokens[-1]) if len(tokens) > 1 else 0,
            output_tokens_hint=_count(_text(lines, _LENGTH_HINT)),
            states_tokens=_TOKENS in lines,
            last_event_id=_text(lines, _LAST_EVENT),
            prompt_parts=_shared_parts(_text(lines, _PROMPT_PARTS)),
        )

    def build_request_headers(
        self,
        headers: Headers,
        *,
        customer: str,
        deadline_ms: float,
        replica_id: str,
        last_event_id: str,
        body_bytes: int,
    ) -> list[tuple[bytes, bytes]]:
        """Build the header lines of a request to a replica.

        Args:
            headers: the caller's header lines.
            customer: the customer that owns the caller's key, empty if none.
            deadline_ms: time that the caller will still wait.
            replica_id: the replica that the request is sent to.
            last_event_id: event after which a stream resumes, empty for a new one.
            body_bytes: length of the body.
        """
        dropped = _HOP_BY_HOP | _NOT_FORWARDED | connection_header_names(headers)
        if last_event_id:
            dropped |= {_LAST_EVENT}
        lines = [line for line in headers if line[0] not in dropped]
        lines.append((_DEADLINE, str(max(1, int(deadline_ms))).encode()))
        lines.append((_EXPECTED_REPLICA, replica_id.encode()))
        if customer:
            lines.append((_CUSTOMER, customer.encode()))
        if last_event_id:
            lines.append((_LAST_EVENT, last_event_id.encode()))
        if body_bytes or any(
            name in {b"content-length", b"transfer-encoding"} for name, _ in headers
        ):
            lines.append((b"content-length", str(body_bytes).encode()))
        return lines

    def parse_answer(self, headers: Headers) -> AnswerMetadata:
        """Parse the head of a replica's answer."""
        lines = dict(headers)
        ids = {value.strip() for name, value in headers if name == _REQUEST_ID}
        content_type = _text(lines, b"content-type").partition(";")[0]
        return AnswerMetadata(
            is_sealed=_SEAL in lines,
            is_not_executed=_NOT_EXECUTED in lines,
            request_id=b", ".join(sorted(ids)).decode("latin-1"),
            is_encoded=lines.get(b"content-encoding", b"identity") != b"identity",
            is_event_stream=content_type.strip().lower() == "text/event-stream",
            is_leaving=any(
                name == _LEAVING and value.strip() == b"1" for name, value in headers
            ),
            pause_ms=_stated_ms(_text(lines, _PAUSE)) if _PAUSE in lines else None,
            replica_id=_text(lines, _REPLICA),
            idle_timeout_ms=_idle_timeout_ms(_text(lines, _KEEP_ALIVE)),
        )

    def forwarded_answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the header lines of a replica's answer to forward to the caller."""
        dropped = _HOP_BY_HOP | connection_header_names(headers)
        return [line for line in headers if line[0] not in dropped]


def connection_header_names(headers: Headers) -> frozenset[bytes]:
    """Return the header names that ``Connection`` headers declare hop-by-hop.

    The host and the request's id are always forwarded, whatever a caller lists.
    """
    return frozenset(
        name.strip().lower()
        for line, value in headers
        if line == b"connection"
        for name in value.split(b",")
        if name.strip().lower() not in {b"host", _REQUEST_ID}
    )


def _text(lines: dict[bytes, bytes], name: bytes) -> str:
    return lines.get(name, b"").decode("latin-1").strip()


def _shared_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which is the request's own."""
    *shared, _ = text.split(",", PROMPT_PARTS_MAX)
    found = [_PROMPT_PART.fullmatch(entry) for entry in shared]
    ids = [match[1].lower() for match in found if match is not None]
    return tuple(dict.fromkeys(ids)) if len(ids) == len(found) else ()


def _stated_ms(seconds: str) -> float:
    try:
        return float(seconds) * 1000
    except ValueError:
        return math.nan


def _idle_timeout_ms(parameters: str) -> float | None:
    found = _IDLE_TIMEOUT.search(parameters.lower())
    return int(found[1]) * 1000.0 if found is not None else None


def _count(text: str) -> int:
    return int(_number(text, COUNT_MAX) or 0)


def _number(text: str, maximum: float) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    # NaN, negative values and those over the maximum count as absent.
    return value if 0 <= value <= maximum else None
