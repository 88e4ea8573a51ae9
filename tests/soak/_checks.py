"""Registry of the guarantees that a soak checks on callers' and replicas' records."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tests.platform.documents import SETTINGS
from tests.soak._callers import DEADLINE_MS, CallerRecord
from tests.soak._deployment import EVENT_COUNT, TENANT, Deployment
from tests.soak._timeline import SOAK_PROCESS, STORE
from tests.standins.replica import WHOLE, Run

BOUNDS = SETTINGS["contractBounds"]
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000

ATTEMPTS_MAX = 2
"""Most replicas that a request may run on, by the routes of the soak."""

TOLERANCE_S = 0.5
"""Tolerance for time limits, in seconds, as the contract states."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Evidence(NamedTuple):
    """Records of one soak; runs by attempt id, in order of time."""

    deployment: Deployment
    records: list[CallerRecord]
    runs: dict[str, list[Run]]

    def was_in_contact(self, vm: str, at_s: float) -> bool:
        """Tell whether a VM was undisturbed and in contact with the store."""
        return self.was_undisturbed(vm, at_s - CONTACT_S, at_s)

    def was_undisturbed(self, vm: str, from_s: float, until_s: float) -> bool:
        """Tell whether a VM, the store and the soak itself were undisturbed."""
        is_undisturbed = self.deployment.timeline.is_undisturbed
        return all(
            is_undisturbed(name, from_s, until_s) for name in (vm, STORE, SOAK_PROCESS)
        )

    def has_sound_replica(self, run: Run, from_s: float, until_s: float) -> bool:
        """Tell whether the replica of a run lives and was undisturbed."""
        replica = self.deployment.replicas.get(run.replica)
        return replica is not None and self.deployment.timeline.is_undisturbed(
            replica.key, from_s, until_s
        )


Check = Callable[[Evidence], Iterator[str]]

CHECKS: dict[str, Check] = {}
"""Guarantees that hold at any time."""

TIMED_CHECKS: dict[str, Check] = {}
"""Guarantees with a time limit, which need a machine that is not overloaded."""


def check(registry: dict[str, Check]) -> Callable[[Check], Check]:
    """Register a check under its function's name."""

    def register(function: Check) -> Check:
        registry[function.__name__] = function
        return function

    return register


@check(CHECKS)
def once_at_most(evidence: Evidence) -> Iterator[str]:
    """A request that may not be retried runs at most once."""
    for record in evidence.records:
        runs = evidence.runs.get(record.attempt, [])
        if record.kind == "log" and len(runs) > 1:
            yield f"{record.attempt} ran {len(runs)} times"


@check(CHECKS)
def refused_means_not_run(evidence: Evidence) -> Iterator[str]:
    """A request refused with a status that means not run never runs."""
    for record in evidence.records:
        is_promised = record.status in NOT_RUN_STATUSES and record.kind == "log"
        if is_promised and evidence.runs.get(record.attempt):
            yield f"{record.attempt} got {record.status} and ran"


@check(CHECKS)
def answers_are_the_replicas(evidence: Evidence) -> Iterator[str]:
    """A 200 has the right body and id, and the seal of a replica that ran it."""
    for record in evidence.records:
        if record.status != 200 or record.kind == "advice":
            continue
        seals = {f"seal-{run.replica}" for run in evidence.runs.get(record.attempt, [])}
        if record.seal not in seals or record.echoed != record.attempt:
            yield f"{record.attempt} got seal {record.seal} of {sorted(seals)}"
        elif record.is_whole and record.body != WHOLE:
            yield f"{record.attempt} got body {record.body!r}"


@check(CHECKS)
def streams_are_in_order(evidence: Evidence) -> Iterator[str]:
    """No event is missing, duplicated or foreign; only a full stream ends regularly."""
    for record in evidence.records:
        if record.status != 200 or record.kind != "advice":
            continue
        events = record.body.decode().split("\n\n")
        whole, rest = events[:-1], events[-1]
        expected = [
            f"id: {number}\ndata: {record.attempt}"
            for number in range(1, len(whole) + 1)
        ]
        if whole != expected:
            yield f"{record.attempt} got {whole}"
        is_full = len(whole) == EVENT_COUNT or _ends_with_its_replica(evidence, record)
        if record.is_whole and (rest or not is_full):
            yield f"{record.attempt} ended after {len(whole)} events and {rest!r}"


def _ends_with_its_replica(evidence: Evidence, record: CallerRecord) -> bool:
    """Tell whether a stream without framing ended because its replica did.

    Only an end within an event tells such a stream from a whole one.
    """
    runs = evidence.runs.get(record.attempt, [])
    if not runs or not runs[-1].is_unframed:
        return False
    return any(
        replica.standin.replica_id == runs[-1].replica
        and record.at_s <= replica.ended_s <= record.ended_s
        for replica in evidence.deployment.removed_replicas
    )


@check(CHECKS)
def attempts_are_bounded(evidence: Evidence) -> Iterator[str]:
    """A request runs on no more replicas than its route allows."""
    for attempt, runs in evidence.runs.items():
        if len(runs) > ATTEMPTS_MAX:
            yield f"{attempt} ran on {[run.replica for run in runs]}"


@check(CHECKS)
def nothing_runs_unasked(evidence: Evidence) -> Iterator[str]:
    """Replicas receive the caller's path and customer, and never its key."""
    paths = {record.attempt: record.path for record in evidence.records}
    for attempt, runs in evidence.runs.items():
        for run in runs:
            if attempt in paths and paths[attempt] != run.target:
                yield f"{attempt} ran as {run.target}"
            if "api-key" in run.headers:
                yield f"{attempt} ran with a key"
            expected = TENANT if run.target.startswith("/advice/") else None
            if run.headers.get("x-tenant") != expected:
                yield f"{attempt} ran for {run.headers.get('x-tenant')}"


@check(CHECKS)
def processes_live(evidence: Evidence) -> Iterator[str]:
    """No process exits unexpectedly or writes to standard error."""
    for vm in evidence.deployment.vms.values():
        for what in vm.unexpected:
            yield f"{vm.name}: {what}"


@check(TIMED_CHECKS)
def most_is_served(evidence: Evidence) -> Iterator[str]:
    """At least a quarter of the requests succeed; otherwise little was tested."""
    statuses = Counter(record.status for record in evidence.records)
    if statuses[200] * 4 < len(evidence.records):
        yield f"200 for {statuses[200]} of {len(evidence.records)}"


@check(TIMED_CHECKS)
def draining_replicas_get_nothing(evidence: Evidence) -> Iterator[str]:
    """VMs in contact send nothing to a draining replica after the time limit."""
    deployment = evidence.deployment
    vms = {record.attempt: record for record in evidence.records}
    for replica in [*deployment.replicas.values(), *deployment.removed_replicas]:
        known_s = replica.draining_from_s + DRAIN_S
        for run in replica.standin.runs:
            record = vms.get(run.attempt)
            if run.at_s <= known_s or record is None:
                continue
            if record.at_s > known_s and _was_in_contact_since(
                evidence, record, replica.draining_from_s
            ):
                late_s = run.at_s - known_s
                yield (
                    f"{run.attempt} by {record.vm} {late_s:.2f} s late at {run.replica}"
                )


@check(TIMED_CHECKS)
def new_routes_are_in_force(evidence: Evidence) -> Iterator[str]:
    """VMs in contact serve the newest version's route after the time limit."""
    for record in evidence.records:
        if record.kind != "own" or record.status != 404:
            continue
        version = int(record.path.split("/")[1][1:])
        written_s = {v: at_s for at_s, v in evidence.deployment.versions}[version]
        is_newest = not any(
            at_s <= record.ended_s
            for at_s, v in evidence.deployment.versions
            if v > version
        )
        is_due = record.at_s > written_s + APPLY_S and is_newest
        if is_due and _was_in_contact_since(evidence, record, written_s):
            yield f"{record.attempt} at {record.vm} got 404 for version {version}"


@check(TIMED_CHECKS)
def nothing_goes_back(evidence: Evidence) -> Iterator[str]:
    """VMs in contact serve no removed route after the time limit."""
    dropped = {
        version: at_s
        for (at_s, _), (_, version) in zip(
            evidence.deployment.versions[1:], evidence.deployment.versions, strict=False
        )
    }
    for record in evidence.records:
        if record.kind != "own" or record.status != 200:
            continue
        at_s = dropped.get(int(record.path.split("/")[1][1:]))
        if at_s is None or record.at_s <= at_s + APPLY_S:
            continue
        if _was_in_contact_since(evidence, record, at_s):
            yield f"{record.attempt} at {record.vm} ran on a dropped route"


@check(TIMED_CHECKS)
def processes_end_in_time(evidence: Evidence) -> Iterator[str]:
    """A process that got SIGTERM exits within its grace period."""
    for vm in evidence.deployment.vms.values():
        if vm.overdue_count:
            yield f"{vm.name}: {vm.overdue_count} times"


@check(TIMED_CHECKS)
def all_is_answered(evidence: Evidence) -> Iterator[str]:
    """VMs in contact answer each request by its deadline."""
    for record in evidence.records:
        over_s = record.ended_s - record.at_s - DEADLINE_MS / 1000
        has_contact = evidence.was_in_contact(record.vm, record.ended_s)
        if record.left_s is None and over_s > TOLERANCE_S and has_contact:
            yield (
                f"{record.attempt} at {record.vm} took {over_s:.2f} s more than it had"
            )


@check(TIMED_CHECKS)
def answers_are_whole(evidence: Evidence) -> Iterator[str]:
    """Undisturbed VMs answer in full unless a replica broke off or time ran out."""
    for record in evidence.records:
        took_s = record.ended_s - record.at_s
        is_cut = record.left_s is None and not (record.status and record.is_whole)
        if not is_cut or took_s >= DEADLINE_MS / 1000 - TOLERANCE_S / 2:
            continue
        from_s = record.at_s - CONTACT_S
        runs = evidence.runs.get(record.attempt, [])
        if evidence.was_undisturbed(record.vm, from_s, record.ended_s) and all(
            evidence.has_sound_replica(run, from_s, record.ended_s) for run in runs
        ):
            replicas = [run.replica for run in runs]
            yield (
                f"{record.attempt} at {record.vm} was cut after {took_s:.2f} s, "
                f"sent to {replicas}"
            )


@check(TIMED_CHECKS)
def deadlines_are_handed_on(evidence: Evidence) -> Iterator[str]:
    """A replica gets no more than the rest of the caller's deadline."""
    by_attempt = {record.attempt: record for record in evidence.records}
    for attempt, runs in evidence.runs.items():
        record = by_attempt.get(attempt)
        for run in runs:
            told_ms = float(run.headers.get("x-deadline-ms", "inf"))
            if record is not None and evidence.was_in_contact(record.vm, run.at_s):
                ends_s = run.at_s + told_ms / 1000
                if ends_s > record.at_s + DEADLINE_MS / 1000 + TOLERANCE_S:
                    yield f"{attempt} was told {told_ms} ms"


def _was_in_contact_since(
    evidence: Evidence, record: CallerRecord, from_s: float
) -> bool:
    """Tell whether a VM was in contact from a change until a request ended."""
    from_s = min(from_s, record.at_s) - CONTACT_S
    return evidence.was_undisturbed(record.vm, from_s, record.ended_s)


def collect_evidence(deployment: Deployment, records: list[CallerRecord]) -> Evidence:
    """Combine the records of callers and replicas."""
    runs: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(deployment.runs(), key=lambda run: run.at_s):
        runs[run.attempt].append(run)
    return Evidence(deployment, records, dict(runs))
