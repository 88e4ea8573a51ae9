"""The platform's header lines, read into facts and written from them."""

from hemlocktrestle.gateway import AnswerMetadata, Headers, RequestMetadata

_REQUEST_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_KEY = b"api-key"
_CUSTOMER = b"x-tenant"
# Two numbers: tokens of the prompt, and the most tokens to generate.
_TOKENS = b"x-token-usage"
_LENGTH_HINT = b"x-length-hint"
_LAST_EVENT = b"last-event-id"
_EXPECTED_REPLICA = b"x-expect-instance"
_SEAL = b"x-response-seal"
_NOT_RUN = b"x-not-executed"

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
"""Headers that concern one connection only, as RFC 9110 lists them."""

_SET_BY_THE_SYSTEM = frozenset(
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
"""Headers of a caller's request that never reach a replica as they came."""


class HeaderCodec:
    """Reads and writes the platform's header lines; keeps no state."""

    def request_facts(self, target: str, headers: Headers) -> RequestMetadata:
        """Read a caller's request.

        Args:
            target: the request target as it came.
            headers: header lines, names in lower case.

        Returns:
            What the caller says; what cannot be read counts as not stated.
        """
        lines = dict(headers)
        tokens = lines.get(_TOKENS, b"").decode("latin-1").split(",")
        return RequestMetadata(
            request_id=_text(lines, _REQUEST_ID),
            host=_text(lines, b"host").rsplit(":", 1)[0],
            path=target.partition("?")[0],
            key=_text(lines, _KEY),
            deadline_ms=_number(_text(lines, _DEADLINE)),
            prompt_tokens=int(_number(tokens[0]) or 0),
            output_tokens_max=int(_number(tokens[-1]) or 0) if len(tokens) > 1 else 0,
            output_tokens_hint=int(_number(_text(lines, _LENGTH_HINT)) or 0),
            states_tokens=_TOKENS in lines,
        )

    def request_headers(
        self,
        headers: Headers,
        *,
        customer: str,
        deadline_ms: float,
        replica_id: str,
        last_event_id: str,
        body_bytes: int,
    ) -> list[tuple[bytes, bytes]]:
        """Write the header lines of a request to a replica.

        Args:
            headers: the caller's header lines.
            customer: the customer that holds the caller's key, empty if none.
            deadline_ms: how long the caller will still wait.
            replica_id: the replica that the request is meant for.
            last_event_id: event after which the stream goes on, empty at its start.
            body_bytes: length of the body.
        """
        dropped = _HOP_BY_HOP | _SET_BY_THE_SYSTEM | named_by_connection(headers)
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

    def answer_facts(self, headers: Headers) -> AnswerMetadata:
        """Read the head of a replica's answer."""
        lines = dict(headers)
        return AnswerMetadata(
            is_sealed=_SEAL in lines,
            is_not_executed=_NOT_RUN in lines,
            request_id=_text(lines, _REQUEST_ID),
            is_encoded=lines.get(b"content-encoding", b"identity") != b"identity",
        )

    def answer_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the header lines of a replica's answer that the caller gets."""
        dropped = _HOP_BY_HOP | named_by_connection(headers)
        return [line for line in headers if line[0] not in dropped]


def named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the names that a ``Connection`` header ties to the connection."""
    return frozenset(
        name.strip().lower()
        for line, value in headers
        if line == b"connection"
        for name in value.split(b",")
        if name.strip().lower() not in {b"host", _REQUEST_ID}
    )


def _text(lines: dict[bytes, bytes], name: bytes) -> str:
    return lines.get(name, b"").decode("latin-1").strip()


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    # Not-a-number and negative values say nothing.
    return value if 0 <= value < float("inf") else None
