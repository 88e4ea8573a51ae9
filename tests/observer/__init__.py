"""The observer: checks every promise from the records of one run.

The records come from callers, stand-ins and daemons; see :class:`Run`.
"""

from tests.observer._checks import CHECKS, Violation, check_all
from tests.observer._records import (
    Call,
    Dispatch,
    Effect,
    ProcessExit,
    RevisionApplied,
    Run,
    Shed,
    UpstreamLeaving,
)

__all__ = [
    "CHECKS",
    "Call",
    "Dispatch",
    "Effect",
    "ProcessExit",
    "RevisionApplied",
    "Run",
    "Shed",
    "UpstreamLeaving",
    "Violation",
    "check_all",
]
