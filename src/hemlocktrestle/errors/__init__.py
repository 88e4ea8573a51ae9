"""The closed list of error kinds, and the answer that each of them leads to."""

from hemlocktrestle.errors._groups import first_leaf, forget_frames
from hemlocktrestle.errors._kinds import (
    ANSWERS,
    Answer,
    ErrorKind,
    Outcome,
    RequestError,
    outcome_of,
)
from hemlocktrestle.errors._meanings import MEANINGS

__all__ = [
    "ANSWERS",
    "MEANINGS",
    "Answer",
    "ErrorKind",
    "Outcome",
    "RequestError",
    "first_leaf",
    "forget_frames",
    "outcome_of",
]
