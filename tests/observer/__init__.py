"""The observer: checks the system's promises against the records of one test run.

The records come from callers, stand-ins and daemons; see :class:`Run`.
The promises are numbered as in :mod:`tests.proofs`.
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
