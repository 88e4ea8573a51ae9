"""Records that callers, stand-ins and daemons made of one test run.

All times are in seconds since the epoch.
"""

from typing import NamedTuple


class Call(NamedTuple):
    """One call as its caller saw it; texts that were not received are empty.

    ``is_whole`` tells that the answer ended properly; ``is_own`` that all of it
    belongs to this call's body; ``key`` is the idempotency key.
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
    """One request as an upstream received it."""

    upstream: str
    request_id: str
    key: str
    at_s: float


class Effect(NamedTuple):
    """One effect performed by a plain service, under the caller's job id."""

    job: str
    request_id: str


class RevisionApplied(NamedTuple):
    """A daemon's process applied a revision; ``boot`` tells its processes apart."""

    vm: str
    boot: str
    revision: int
    at_s: float


class Accepted(NamedTuple):
    """The store accepted a revision; ``vms`` are the VMs that are reachable."""

    revision: int
    at_s: float
    vms: tuple[str, ...]


class UpstreamLeaving(NamedTuple):
    """The platform's list showed that an upstream leaves, or it refused work."""

    upstream: str
    at_s: float


class Shed(NamedTuple):
    """A pool scheduler shed a permit request; tiers are ranks, 0 is the highest."""

    vm: str
    pool: str
    tier: int
    lowest_kept_tier: int


class ProcessExit(NamedTuple):
    """The exit code of a daemon's process that was told to shut down gracefully."""

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
