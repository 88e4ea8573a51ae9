"""Soak test of the edge daemon: overlapping faults, then a check of all guarantees."""

import json
import random
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import trio

from tests.soak._callers import Caller, CallerRecord
from tests.soak._checks import CHECKS, TIMED_CHECKS, Evidence, collect_evidence
from tests.soak._deployment import VM_COUNT, Deployment
from tests.soak._faults import FAULTS
from tests.soak._timeline import SOAK_PROCESS

CALLER_COUNT = 12

PAUSE_S = (0.2, 1.5)
"""Shortest and longest time between the starts of two faults, in seconds."""

CLOCK_CHECK_S = 0.05
"""Interval at which the soak checks its own clock, in seconds."""

OWN_STALL_S = 0.2
"""Largest lateness of the soak itself, in seconds; the checks tolerate 0.5 s."""

RECOVERY_S = 4.0
"""Time without faults at the end, after which requests must succeed, in seconds."""

RECOVERED_SHARE = 0.5
"""Share of the requests in the last second that must succeed."""


class Report(NamedTuple):
    """Result of one soak; ``violations`` lists violated guarantees with details."""

    statuses: Counter[int]
    faults: Counter[str]
    violations: list[str]


async def soak_edge(
    seconds: float,
    seed: int,
    *,
    is_timed: bool = True,
    log_path: Path | None = None,
    vm_count: int = VM_COUNT,
    without: frozenset[str] = frozenset(),
) -> Report:
    """Run one soak.

    Args:
        seconds: how long faults are injected.
        seed: seed of all random choices.
        is_timed: whether guarantees with a time limit are checked too.
        log_path: file for the log lines of all processes, if any.
        vm_count: how many VMs.
        without: names of faults that are left out.

    Returns:
        The report of the soak.
    """
    rng = random.Random(seed)
    lines: list[dict[str, Any]] = []
    records: list[CallerRecord] = []
    injected: Counter[str] = Counter()
    violations: list[str] = []
    with TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            deployment = Deployment(
                nursery, Path(folder), lines.append, vm_count=vm_count
            )
            try:
                await deployment.start()
                for number in range(CALLER_COUNT):
                    caller = Caller(
                        number, deployment, random.Random(f"{seed}/{number}"), records
                    )
                    nursery.start_soon(caller.run)
                nursery.start_soon(_watch_own_stalls, deployment)
                await trio.sleep(1.0)
                names = sorted(FAULTS.keys() - without)
                await _inject(deployment, rng, names, seconds, injected)
                await trio.sleep(RECOVERY_S)
                if is_timed:
                    violations += _unrecovered(records)
                evidence = collect_evidence(deployment, records)
            finally:
                deployment.kill_all()
            nursery.cancel_scope.cancel()
    violations += _violations(evidence, is_timed=is_timed)
    if log_path is not None:
        log_path.write_text("\n".join(map(json.dumps, lines)), encoding="utf-8")
    return Report(Counter(one.status for one in records), injected, violations)


async def _watch_own_stalls(deployment: Deployment) -> None:
    """Record stalls of this process, during which its own observations are late."""
    while True:
        before_s = trio.current_time()
        await trio.sleep(CLOCK_CHECK_S)
        now_s = trio.current_time()
        if now_s - before_s > CLOCK_CHECK_S + OWN_STALL_S:
            deployment.timeline.record(SOAK_PROCESS, before_s, now_s)


async def _inject(
    deployment: Deployment,
    rng: random.Random,
    names: list[str],
    seconds: float,
    injected: Counter[str],
) -> None:
    """Start faults one after another; they may overlap."""
    end_s = trio.current_time() + seconds
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            name = rng.choice(names)
            injected[name] += 1
            # Each fault has its own random source, independent of concurrent tasks.
            own = random.Random(rng.random())
            nursery.start_soon(FAULTS[name], deployment, own)
            await trio.sleep(rng.uniform(*PAUSE_S))


def _unrecovered(records: list[CallerRecord]) -> list[str]:
    last_s = trio.current_time() - 1.0
    recent = [one for one in records if one.at_s > last_s and one.left_s is None]
    served = [one for one in recent if one.status == 200]
    if len(served) >= len(recent) * RECOVERED_SHARE:
        return []
    return [f"recovery: {len(served)} of {len(recent)} served after the faults"]


def _violations(evidence: Evidence, *, is_timed: bool) -> list[str]:
    checks = {**CHECKS, **(TIMED_CHECKS if is_timed else {})}
    return [
        f"{name}: {what}"
        for name, function in checks.items()
        for what in function(evidence)
    ]
