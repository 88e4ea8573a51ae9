"""Classifies a replica's answer by its head, before any of it is used."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from hemlocktrestle.gateway._request import AnswerMetadata

REFUSAL_STATUSES = frozenset({400, 408, 421, 429, 503})
"""Statuses with which a replica can refuse a request."""


class AnswerClass(Enum):
    """What an answer is, if the rest of it arrives."""

    REFUSAL = "refusal"
    BUFFERED = "buffered"
    STREAM = "stream"
    INVALID = "invalid"


class ExpectedAnswer(NamedTuple):
    """What the answer to a request must match.

    Args:
        request_id: the request's id.
        is_stream: whether the request's route streams its answers.
        is_begun: whether the caller already has part of a stream.
    """

    request_id: str
    is_stream: bool
    is_begun: bool


class AnswerVerdict(NamedTuple):
    """The class of an answer, and why it is invalid if it is."""

    answer_class: AnswerClass
    reason: str


class _Head(NamedTuple):
    status: int
    metadata: AnswerMetadata
    expected: ExpectedAnswer

    @property
    def is_foreign(self) -> bool:
        return self.metadata.request_id != self.expected.request_id

    @property
    def is_stream_of_events(self) -> bool:
        return (
            self.expected.is_stream
            and self.status == 200
            and self.metadata.is_event_stream
        )


_Check = Callable[[_Head], bool]

_CHECKS: tuple[tuple[_Check, AnswerVerdict], ...] = (
    (
        lambda head: head.is_foreign,
        AnswerVerdict(AnswerClass.INVALID, "answer does not name this request"),
    ),
    (
        lambda head: (
            head.metadata.is_not_executed
            and (head.metadata.is_sealed or head.status not in REFUSAL_STATUSES)
        ),
        AnswerVerdict(AnswerClass.INVALID, "refusal contradicts itself"),
    ),
    (
        lambda head: head.metadata.is_not_executed,
        AnswerVerdict(AnswerClass.REFUSAL, ""),
    ),
    (
        lambda head: not head.metadata.is_sealed or head.metadata.is_encoded,
        AnswerVerdict(AnswerClass.INVALID, "answer is not sealed"),
    ),
    (
        lambda head: head.is_stream_of_events,
        AnswerVerdict(AnswerClass.STREAM, ""),
    ),
    (
        lambda head: head.expected.is_begun,
        AnswerVerdict(AnswerClass.INVALID, "answer does not continue the stream"),
    ),
)
"""The checks in order; the first that applies decides."""


def classify_answer(
    status: int, metadata: AnswerMetadata, expected: ExpectedAnswer
) -> AnswerVerdict:
    """Classify an answer by its head.

    Args:
        status: its status code.
        metadata: what its header lines state.
        expected: what it must match.
    """
    head = _Head(status, metadata, expected)
    for applies, verdict in _CHECKS:
        if applies(head):
            return verdict
    return AnswerVerdict(AnswerClass.BUFFERED, "")
