"""What one pool scheduler decides and counts while an order runs."""

from typing import NamedTuple

from hemlocktrestle.rollout._evidence import (
    Evidence,
    Sample,
    Tallies,
    Tally,
    TallyKey,
)
from hemlocktrestle.rollout._exposure import ExposureBounds, ExposureLedger
from hemlocktrestle.rollout._judge import Judge, Verdict

IN_FLIGHT_MAX = 50_000
"""Most requests that are followed; the oldest is forgotten beyond it."""


class Started(NamedTuple):
    """A request that a replica got.

    ``may_be_cold`` tells whether the replica has just started and is slow for a while,
    which its version is not blamed for.
    """

    route: str
    replica: str
    is_target: bool
    started_ms: float
    may_be_cold: bool = False

    @property
    def key(self) -> TallyKey:
        """What the request counts for."""
        return TallyKey(
            self.is_target, self.route, self.replica if self.is_target else ""
        )


class AnswerTimes(NamedTuple):
    """How a request ended, as the VM that sent it reports.

    Args:
        first_ms: time to the first part, 0 if none came.
        total_ms: time to the end.
        is_failed: whether the caller sees, or would have seen, a failure.
        is_complete: whether the whole answer came.
    """

    first_ms: float
    total_ms: float
    is_failed: bool
    is_complete: bool


class PoolRollout:
    """Counts one service's requests and answers at one scheduler.

    Args:
        bounds: limits on the exposure.
        scheduler_count: schedulers that share them.
    """

    def __init__(self, bounds: ExposureBounds, *, scheduler_count: int) -> None:
        self._bounds = bounds
        self._scheduler_count = scheduler_count
        self.evidence = Evidence()
        self._started: dict[str, Started] = {}
        self._earlier: dict[str, Started] = {}
        self._judged: set[str] = set()
        self._judge = Judge()
        self.ledger = ExposureLedger(bounds, scheduler_count=scheduler_count)

    def restart(self) -> None:
        """Begin the counts of a new order.

        Requests that run already tell nothing of its target.
        """
        self._earlier = {
            **self._earlier,
            **{
                ask_id: started._replace(is_target=False)
                for ask_id, started in self._started.items()
            },
        }
        self._started.clear()
        self.evidence.restart()
        self._judge = Judge()
        self._judged.clear()
        self.ledger = ExposureLedger(
            self._bounds, scheduler_count=self._scheduler_count
        )

    def record_started(self, ask_id: str, started: Started) -> None:
        """Count a request that got a permit."""
        self._started[ask_id] = started
        if len(self._started) > IN_FLIGHT_MAX:
            self._forget(next(iter(self._started)))
        self.evidence.count(started.key, Tally(request_count=1))
        self.ledger.record(started.route, is_target=started.is_target)

    def record_unsent(self, ask_id: str) -> None:
        """Discount a request whose permit was not used."""
        started = self._forget(ask_id)
        if started is not None:
            self.evidence.count(started.key, Tally(request_count=-1))
            self.ledger.record(started.route, is_target=started.is_target, count=-1)

    def record_first(self, ask_id: str, first_ms: float) -> None:
        """Judge a running request by the time to its first part, if that is slow."""
        started = self._started.get(ask_id)
        if started is not None:
            self._judge_early(ask_id, Sample(started.route, first_ms=first_ms))

    def record_ended(self, ask_id: str, answer: AnswerTimes) -> None:
        """Count the answer of a request, unless it was judged while it ran.

        One that its caller left counts only if it was slow until then.
        """
        started = self._started.get(ask_id)
        if started is None:
            self._forget(ask_id)
            return
        sample = Sample(started.route, answer.first_ms, answer.total_ms)
        self._judge_early(ask_id, sample)
        if answer.is_complete or answer.is_failed or ask_id in self._judged:
            is_new_failure = answer.is_failed and ask_id not in self._judged
            change = Tally(ended_count=1, bad_count=int(is_new_failure))
        else:
            change = Tally(request_count=-1)
        self.evidence.count(started.key, change)
        if answer.is_complete and not started.is_target:
            self.evidence.learn_times(started.route, answer.first_ms, answer.total_ms)
        self._forget(ask_id)

    def examine(self, now_ms: float, *, replica_count: int) -> Verdict | None:
        """Return the verdict on the target by what this scheduler has seen."""
        for ask_id, started in list(self._started.items()):
            if ask_id not in self._judged:
                sample = Sample(started.route, total_ms=now_ms - started.started_ms)
                self._judge_early(ask_id, sample)
        return self._judge.examine(self.tallies, now_ms, replica_count=replica_count)

    @property
    def tallies(self) -> Tallies:
        """The counts since the order."""
        return self.evidence.tallies

    def running_count(self, *, is_target: bool) -> int:
        """Return how many permitted requests run at one of the versions."""
        running = (*self._started.values(), *self._earlier.values())
        return sum(item.is_target == is_target for item in running)

    def _judge_early(self, ask_id: str, sample: Sample) -> None:
        """Count a request that is slow already; its end will not count again."""
        started = self._started[ask_id]
        if started.may_be_cold or ask_id in self._judged:
            return
        if self.evidence.is_slow(sample):
            self._judged.add(ask_id)
            self.evidence.count(started.key, Tally(bad_count=1))

    def _forget(self, ask_id: str) -> Started | None:
        self._judged.discard(ask_id)
        self._earlier.pop(ask_id, None)
        return self._started.pop(ask_id, None)
