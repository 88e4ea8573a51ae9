"""One check per promise, over the records of a test run."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tests.observer._records import Run

UPSTREAM_LEAVING_LIMIT_S = 3.0
"""Time after which an upstream that leaves must get no new work, in seconds."""

IN_FORCE_LIMIT_S = 12.0
"""Time within which an accepted revision must be in force, in seconds."""


class Violation(NamedTuple):
    """A violation of one promise in a run, with a description."""

    promise: int
    what: str


Check = Callable[[Run], Iterator[str]]

CHECKS: dict[int, Check] = {}


def promise(number: int) -> Callable[[Check], Check]:
    """Register the decorated function as the check of one promise."""

    def register(check: Check) -> Check:
        CHECKS[number] = check
        return check

    return register


def check_all(run: Run) -> list[Violation]:
    """Return every violation of every promise in a run."""
    return [
        Violation(number, what)
        for number, check in sorted(CHECKS.items())
        for what in check(run)
    ]


@promise(1)
def dispatched_at_most_once(run: Run) -> Iterator[str]:
    """Each request id, and each idempotency key, reaches upstreams at most once."""
    by_id = Counter(entry.request_id for entry in run.dispatches)
    by_key = Counter(entry.key for entry in run.dispatches if entry.key)
    for name, count in [*by_id.items(), *by_key.items()]:
        if count > 1:
            yield f"{name} was dispatched {count} times"


@promise(2)
def high_is_not_shed_before_lower(run: Run) -> Iterator[str]:
    """No permit request is shed while one of a lower tier stays queued."""
    for shed in run.sheds:
        if shed.tier < shed.lowest_kept_tier:
            yield f"{shed.vm} shed tier {shed.tier} of {shed.pool}"


@promise(3)
def answers_are_whole_and_own(run: Run) -> Iterator[str]:
    """An answer reported complete is whole, and contains no other call's data."""
    for call in run.calls:
        if not call.is_own:
            yield f"{call.request_id} received data of another call"
        if call.outcome == "complete" and not call.is_whole:
            yield f"{call.request_id} was reported complete but is incomplete"


@promise(4)
def not_run_is_true(run: Run) -> Iterator[str]:
    """A request reported as not run reached no upstream."""
    dispatched = {entry.request_id for entry in run.dispatches}
    for call in run.calls:
        if call.outcome == "not-run" and call.request_id in dispatched:
            yield f"{call.request_id} was reported not-run but was dispatched"


@promise(5)
def effects_happen_once(run: Run) -> Iterator[str]:
    """A job has at most one effect."""
    for job, count in Counter(effect.job for effect in run.effects).items():
        if count > 1:
            yield f"job {job} took effect {count} times"


@promise(6)
def leaving_upstreams_get_no_work(run: Run) -> Iterator[str]:
    """Nothing is dispatched to an upstream after the time limit for its leaving."""
    since = {entry.upstream: entry.at_s for entry in run.leaving}
    for entry in run.dispatches:
        started_s = since.get(entry.upstream)
        if started_s is not None and entry.at_s > started_s + UPSTREAM_LEAVING_LIMIT_S:
            yield f"{entry.upstream} got {entry.request_id} while leaving"


@promise(7)
def graceful_shutdown_is_clean(run: Run) -> Iterator[str]:
    """A process that was told to shut down gracefully exits with code 0."""
    for ended in run.ended:
        if ended.exit_code:
            yield f"{ended.vm} exited with {ended.exit_code}"


@promise(8)
def revisions_never_fall_and_arrive(run: Run) -> Iterator[str]:
    """Revisions never decrease within a process, and accepted ones arrive in time."""
    highest: dict[tuple[str, str], int] = {}
    for entry in run.in_force:
        process = (entry.vm, entry.boot)
        if entry.revision < highest.get(process, 0):
            yield f"{entry.vm} reverted to revision {entry.revision}"
        highest[process] = max(highest.get(process, 0), entry.revision)
    for accepted in run.accepted:
        limit_s = accepted.at_s + IN_FORCE_LIMIT_S
        arrived = {
            entry.vm
            for entry in run.in_force
            if entry.revision >= accepted.revision and entry.at_s <= limit_s
        }
        for vm in accepted.vms:
            if vm not in arrived:
                yield f"{vm} did not get revision {accepted.revision} in time"
