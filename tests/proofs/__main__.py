"""Runs the tests of the promises, with or without mutants, or writes the page.

Each promise has a file ``N.toml`` here, with the fields of :class:`Proof`.
A mutant switches one mechanism off; the tests of its promise must then fail.
"""

import argparse
import os
import subprocess
import sys
import tomllib
from collections.abc import Collection
from pathlib import Path

from pydantic import ConfigDict, TypeAdapter, with_config
from typing_extensions import TypedDict

from tests.mutants import MUTANT_VARIABLE

FOLDER = Path(__file__).parent
ROOT = FOLDER.parent.parent
PAGE = ROOT / "docs" / "PROOFS.md"
PROMISES = range(1, 9)

TEST_TIMEOUT_S = 300.0
"""Timeout for the tests of one promise, in seconds."""

TIMED_OUT = -1
"""Exit code used for a run that timed out."""


@with_config(ConfigDict(extra="forbid", strict=True))
class Proof(TypedDict):
    """One promise and how it is proved; ``runs`` is the number of runs of its tests."""

    promise: int
    title: str
    mechanism: str
    tests: list[str]
    mutants: list[str]
    seed: str
    failures: list[str]
    runs: int
    failing_version: str
    not_proved: list[str]
    state: str


ADAPTER: TypeAdapter[Proof] = TypeAdapter(Proof)


CAUGHT = "caught"
VERDICTS = {0: "SURVIVED", 1: CAUGHT, TIMED_OUT: "HUNG"}
"""Verdict on a mutant, by the exit code of the tests run with it."""


def read_proofs() -> list[Proof]:
    """Return the proofs, ordered by promise number."""
    paths = sorted(FOLDER.glob("*.toml"), key=lambda path: int(path.stem))
    return [ADAPTER.validate_python(tomllib.loads(path.read_text())) for path in paths]


def run_tests(tests: list[str], *, mutant: str = "") -> int:
    """Run tests, under a mutant if one is given, and return pytest's exit code."""
    command = [sys.executable, "-m", "pytest", "-q", "-n", "4", *tests]
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env={**os.environ, MUTANT_VARIABLE: mutant},
            capture_output=True,
            text=True,
            check=False,
            timeout=TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return TIMED_OUT
    if done.returncode not in (0, 1):
        print(done.stdout[-2000:], done.stderr[-2000:])
    return done.returncode


def prove(promises: Collection[int]) -> int:
    """Run the tests of some promises, and print a line for each promise."""
    proofs = {proof["promise"]: proof for proof in read_proofs()}
    has_failed = False
    for promise in promises:
        proof = proofs.get(promise)
        if proof is None or not proof["tests"]:
            print(f"promise {promise}: not run: no proof yet")
            continue
        is_passed = run_tests(proof["tests"]) == 0
        has_failed = has_failed or not is_passed
        state = proof["state"] if is_passed else "failed"
        count = len(proof["tests"])
        print(
            f"promise {promise}: {state} ({count} entries): {proof['title']}",
            flush=True,
        )
    return int(has_failed)


def prove_mutants(promises: Collection[int]) -> int:
    """Run the tests of some promises under each mutant; every run must fail."""
    has_survivor = False
    for proof in read_proofs():
        if proof["promise"] not in promises:
            continue
        for mutant in proof["mutants"]:
            verdict = VERDICTS.get(run_tests(proof["tests"], mutant=mutant), "BROKEN")
            has_survivor = has_survivor or verdict != CAUGHT
            print(f"promise {proof['promise']}: {mutant}: {verdict}", flush=True)
    return int(has_survivor)


def page_text() -> str:
    """Return the page generated from the proofs' files."""
    lines = [
        "# Proofs of what must always hold",
        "",
        "Made by `make proofs-page` from `tests/proofs/`.",
        "`make proofs` runs the tests; `make proofs-mutants` shows that they fail",
        "when a mechanism is switched off.",
    ]
    for proof in read_proofs():
        lines += [
            "",
            f"## {proof['promise']}. {proof['title']}",
            "",
            f"- State: {proof['state']}",
            f"- Mechanism: {proof['mechanism']}",
            f"- Tests: {', '.join(f'`{test}`' for test in proof['tests']) or 'none'}",
            f"- Command: `make proofs`; seed: {proof['seed']}; runs: {proof['runs']}",
            f"- Failures injected: {'; '.join(proof['failures']) or 'none'}",
            f"- Mutants: {', '.join(f'`{name}`' for name in proof['mutants'])}",
            f"- Without the mechanism: {proof['failing_version']}",
            f"- Not proved: {'; '.join(proof['not_proved']) or 'nothing known'}",
        ]
    return "\n".join(lines) + "\n"


def main() -> int:
    """Run the action selected on the command line."""
    parser = argparse.ArgumentParser(prog="tests.proofs")
    parser.add_argument("--mutants", action="store_true")
    parser.add_argument("--page", action="store_true")
    parser.add_argument("--only", type=int, choices=PROMISES, help="one promise")
    options = parser.parse_args()
    promises = PROMISES if options.only is None else (options.only,)
    if options.page:
        PAGE.write_text(page_text())
        return 0
    return prove_mutants(promises) if options.mutants else prove(promises)


if __name__ == "__main__":
    sys.exit(main())
