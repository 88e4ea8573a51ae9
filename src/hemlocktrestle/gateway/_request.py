"""Metadata of requests and answers, independent of their wire format."""

from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in order; names in lower case."""


class RequestMetadata(NamedTuple):
    """What the head of a caller's request states.

    Args:
        request_id: id of this attempt of the caller, empty if none was given.
        host: the host that the caller named, without a port.
        path: the path without its query.
        key: the caller's key, empty if none was given.
        deadline_ms: time that the caller waits for the answer, or ``None``.
        prompt_tokens: tokens of the prompt, 0 if not stated.
        output_tokens_max: most tokens to generate, 0 if not stated.
        output_tokens_hint: the caller's estimate of them, 0 if not stated.
        states_tokens: whether the request states its tokens.
        last_event_id: event after which the caller resumes a stream, empty if none.
        prompt_parts: ids of the parts of its prompt that other requests may share, in
            order.
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
    last_event_id: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def tokens(self) -> int:
        """Tokens that a quota counts."""
        return self.prompt_tokens + self.output_tokens_max

    @property
    def expected_output_tokens(self) -> int:
        """Best estimate of the tokens that will be generated."""
        return self.output_tokens_hint or self.output_tokens_max


class AnswerMetadata(NamedTuple):
    """What the head of a replica's answer states.

    Args:
        is_sealed: whether the replica sealed (signed) the answer.
        is_not_executed: whether the replica states that it did not run the request.
        request_id: the id that the answer names, empty if none; lines that differ
            are joined, and match no id.
        is_encoded: whether the body has a content encoding; callers request none.
        is_event_stream: whether the body is a stream of events.
        is_leaving: whether the replica states that it leaves.
        pause_ms: how long the replica asks for a pause, ``None`` if it does not; any
            number, and NaN for what is none.
        replica_id: the replica that answers, empty if it does not say.
        idle_timeout_ms: after which time the replica closes the connection if it is
            idle, ``None`` if that is not stated.
    """

    is_sealed: bool
    is_not_executed: bool
    request_id: str
    is_encoded: bool
    is_event_stream: bool
    is_leaving: bool = False
    pause_ms: float | None = None
    replica_id: str = ""
    idle_timeout_ms: float | None = None
