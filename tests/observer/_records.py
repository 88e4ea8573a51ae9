"""What callers, stand-ins and daemons recorded of one run.

All times are in seconds since the epoch.
"""

from typing import NamedTuple


class Call(NamedTuple):
    """One call as its caller saw it; empty texts stand for what never came.

    ``is_whole`` tells that the answer ended as an answer should; ``is_own`` that
    all of it belongs to this call's body; ``key`` is the idempotency key.
    """

    request_id: str
    key: str
    status: int
    outcome: str
    is_whole: bool
    is_own: bool
    sent_s: float
    ended_s: float


class Dispatch(NamedTuple):
    """One request as an upstream saw it."""

    upstream: str
    request_id: str
    key: str
    at_s: float


class Effect(NamedTuple):
    """One effect that a plain service made, under the caller's own job id."""

    job: str
    request_id: str


class RevisionApplied(NamedTuple):
    """A daemon's process put a revision in force; ``boot`` tells processes apart."""

    vm: str
    boot: str
    revision: int
    at_s: float


class Accepted(NamedTuple):
    """The store accepted a revision; ``vms`` are those that can be reached."""

    revision: int
    at_s: float
    vms: tuple[str, ...]


class UpstreamLeaving(NamedTuple):
    """The platform's list said that an upstream leaves, or it refused work."""

    upstream: str
    at_s: float


class Shed(NamedTuple):
    """A keeper shed an ask; ranks count from 0, the highest tier."""

    vm: str
    pool: str
    tier: int
    lowest_kept_tier: int


class ProcessExit(NamedTuple):
    """A daemon's process that was told to end gracefully, and its exit code."""

    vm: str
    exit_code: int


class Run(NamedTuple):
    """All records of one run."""

    calls: tuple[Call, ...] = ()
    dispatches: tuple[Dispatch, ...] = ()
    effects: tuple[Effect, ...] = ()
    in_force: tuple[RevisionApplied, ...] = ()
    accepted: tuple[Accepted, ...] = ()
    leaving: tuple[UpstreamLeaving, ...] = ()
    sheds: tuple[Shed, ...] = ()
    ended: tuple[ProcessExit, ...] = ()
