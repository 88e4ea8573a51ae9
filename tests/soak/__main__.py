"""Command line of the soaks."""

import argparse
import signal
import sys
from functools import partial
from pathlib import Path

import trio

from tests.soak._daemons import soak_daemons
from tests.soak._deployment import VM_COUNT
from tests.soak._edge import Report, soak_edge

PROGRAMS = ("edge", "daemons")


def main() -> int:
    """Run soaks with one or more seeds; returns 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="tests.soak")
    parser.add_argument("--program", choices=PROGRAMS, default="edge")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--logs", type=Path, help="folder for logs of broken seeds")
    parser.add_argument("--vms", type=int, default=VM_COUNT, help="how many VMs")
    options = parser.parse_args()
    # Handle SIGTERM like Ctrl-C, so that the started processes are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    if options.program == "daemons":
        return soak_daemons(options.seconds, options.seed)
    if options.logs:
        options.logs.mkdir(parents=True, exist_ok=True)
    is_broken = False
    for seed in range(options.seed, options.seed + options.count):
        path = options.logs / f"soak-{seed}.log" if options.logs else None
        run = partial(
            soak_edge, options.seconds, seed, log_path=path, vm_count=options.vms
        )
        report = trio.run(run)
        _print(seed, report)
        is_broken = is_broken or bool(report.violations)
        if path is not None and not report.violations:
            path.unlink()
    return int(is_broken)


def _print(seed: int, report: Report) -> None:
    total = report.statuses.total()
    print(
        f"seed {seed}: {total} requests, {report.faults.total()} faults,"
        f" {len(report.violations)} broken promises",
        flush=True,
    )
    print(f"  statuses {dict(sorted(report.statuses.items()))}", flush=True)
    for what in report.violations[:20]:
        print(f"  BROKEN {what}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
