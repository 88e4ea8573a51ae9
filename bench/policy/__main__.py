"""Runs every policy on every trace, and prints the tables and the goals."""

import argparse
import os
import sys
from concurrent.futures import ProcessPoolExecutor

from bench.policy._report import Report, policy_names
from bench.policy._run import ABLATIONS, OWN, PRESETS, Run, run
from bench.policy._trace import SCENARIOS

SEEDS = (1, 2, 3, 4, 5)
WORKERS_MAX = 3


def main() -> int:
    """Run the benchmark, and print its tables."""
    parser = argparse.ArgumentParser(prog="bench.policy")
    parser.add_argument("--seeds", type=int, nargs="+", default=SEEDS)
    parser.add_argument("--no-ablation", action="store_true")
    options = parser.parse_args()
    seeds = tuple(options.seeds)
    scenarios = [scenario.name for scenario in SCENARIOS]
    policies = policy_names(with_ablation=not options.no_ablation)
    runs = [
        Run(user, scenario, policy, seed)
        for user in PRESETS
        for scenario in scenarios
        for policy in policies
        for seed in seeds
    ]
    workers = min(WORKERS_MAX, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        results = dict(zip(runs, pool.map(run, runs, chunksize=8), strict=True))
    report = Report(results, seeds)
    print(f"seeds {seeds}; mean and standard deviation over them")
    plain = policy_names(with_ablation=False)
    for user in PRESETS:
        print("\n".join(report.table(user, plain, scenarios)))
    if not options.no_ablation:
        print("\nablation: one mechanism off at a time")
        for user in PRESETS:
            lines = report.table(user, [OWN, *ABLATIONS], scenarios)
            print("\n".join(lines))
    for user in PRESETS:
        print("\n".join(report.forecasts(user, scenarios)))
    print()
    for user in PRESETS:
        print("\n".join(report.goals(user)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
