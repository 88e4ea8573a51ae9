"""Tests of the observer, with records that violate each promise."""

from testtools import TestCase

from tests.observer import (
    CHECKS,
    Call,
    Dispatch,
    Effect,
    ProcessExit,
    RevisionApplied,
    Run,
    Shed,
    UpstreamLeaving,
    check_all,
)
from tests.observer._records import Accepted

COMPLETE_CALL = Call("r1", "", 200, "complete", True, True, 0.0, 1.0)

VIOLATING_RUNS: dict[int, list[Run]] = {
    1: [
        Run(dispatches=(Dispatch("e1", "r1", "", 0.0), Dispatch("e2", "r1", "", 1.0))),
        Run(dispatches=(Dispatch("e1", "r1", "k", 0.0), Dispatch("e2", "r2", "k", 1))),
    ],
    2: [Run(sheds=(Shed("v1", "pool", 0, 2),))],
    3: [
        Run(calls=(COMPLETE_CALL._replace(is_whole=False),)),
        Run(calls=(COMPLETE_CALL._replace(is_own=False),)),
    ],
    4: [
        Run(
            calls=(COMPLETE_CALL._replace(outcome="not-run", status=503),),
            dispatches=(Dispatch("e1", "r1", "", 0.0),),
        )
    ],
    5: [Run(effects=(Effect("lamp-7", "r1"), Effect("lamp-7", "r2")))],
    6: [
        Run(
            leaving=(UpstreamLeaving("e1", 10.0),),
            dispatches=(Dispatch("e1", "r", "", 13.1),),
        )
    ],
    7: [Run(ended=(ProcessExit("v1", 1),))],
    8: [
        Run(
            in_force=(
                RevisionApplied("v1", "b", 2, 0.0),
                RevisionApplied("v1", "b", 1, 1.0),
            )
        ),
        Run(
            accepted=(Accepted(2, 0.0, ("v1",)),),
            in_force=(RevisionApplied("v1", "b", 2, 12.1),),
        ),
    ],
}

VALID_RUN = Run(
    calls=(
        COMPLETE_CALL,
        COMPLETE_CALL._replace(request_id="r2", outcome="not-run", status=503),
    ),
    dispatches=(Dispatch("e1", "r1", "k", 12.9),),
    effects=(Effect("lamp-7", "r1"), Effect("lamp-8", "r3")),
    in_force=(RevisionApplied("v1", "b", 1, 0.0), RevisionApplied("v1", "b", 2, 11.9)),
    accepted=(Accepted(2, 0.0, ("v1",)),),
    leaving=(UpstreamLeaving("e1", 10.0),),
    sheds=(Shed("v1", "pool", 2, 2), Shed("v1", "pool", 2, 0)),
    ended=(ProcessExit("v1", 0),),
)


class ObserverTests(TestCase):
    """The observer finds each violation, and reports nothing else."""

    def test_every_promise_has_a_check_and_a_violating_run(self) -> None:
        """Every promise has a check, and every check has a violating run."""
        self.assertEqual(set(range(1, 9)), set(CHECKS))
        self.assertEqual(set(CHECKS), set(VIOLATING_RUNS))

    def test_each_violating_run_violates_only_its_promise(self) -> None:
        """Each violating run is reported by the check of its promise alone."""
        for promise, runs in VIOLATING_RUNS.items():
            for run in runs:
                found = {violation.promise for violation in check_all(run)}
                self.assertEqual({promise}, found)

    def test_a_valid_run_has_no_violation(self) -> None:
        """Records just within each limit are no violation."""
        self.assertEqual([], check_all(VALID_RUN))
