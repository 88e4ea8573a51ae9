"""One request as the gateway serves it, apart from its bytes on the wire."""

from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in order; names in lower case."""


class RequestMetadata(NamedTuple):
    """What a caller says of its request in the head.

    Args:
        request_id: id of this attempt of the caller, empty if none was given.
        host: the host that the caller named, without a port.
        path: the path without its query.
        key: the caller's key, empty if none was given.
        deadline_ms: how long the caller waits, or ``None``.
        prompt_tokens: tokens of the prompt, 0 if not stated.
        output_tokens_max: most tokens to generate, 0 if not stated.
        output_tokens_hint: the caller's estimate of them, 0 if not stated.
        states_tokens: whether the request states its tokens.
    """

    request_id: str
    host: str
    path: str
    key: str
    deadline_ms: float | None
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_hint: int
    states_tokens: bool

    @property
    def tokens(self) -> int:
        """Tokens that a quota counts."""
        return self.prompt_tokens + self.output_tokens_max

    @property
    def expected_output_tokens(self) -> int:
        """Best guess of the tokens that will be generated."""
        return self.output_tokens_hint or self.output_tokens_max


class AnswerMetadata(NamedTuple):
    """What a replica says of its answer in the head.

    Args:
        is_sealed: whether the replica signed the answer.
        is_unrun: whether the replica states that it did not run the request.
        request_id: the id that the answer names, empty if none.
        is_encoded: whether the body is encoded, which callers do not ask for.
    """

    is_sealed: bool
    is_not_executed: bool
    request_id: str
    is_encoded: bool
