"""The interface between callers and engines, and baseline policies."""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from bench.policy._engine import Engine, Job
from bench.policy._loop import Loop
from bench.policy._trace import Request

SAME_REGION_LINK_MS = 0.5
OTHER_REGION_LINK_MS = 20.0
REPORT_PERIOD_MS = 1_000.0
REPORT_LAG_MS = 1_000.0


class Result(NamedTuple):
    """The result of one request; times are relative to its arrival.

    ``reason`` names why it failed, and is empty if it succeeded.
    """

    request: Request
    is_useful: bool
    first_ms: float
    wasted_tokens: int
    computed_tokens: int
    reason: str


class Front(Protocol):
    """Accepts requests, and yields one result for each."""

    results: list[Result]

    def submit(self, request: Request) -> None:
        """Handle a request that arrives now."""
        ...


FRONTS: dict[str, Callable[[Loop, list[Engine], int], Front]] = {}
"""Constructors of the baselines by name; the last argument is the seed."""


def region_of(zone: str) -> str:
    """Return the region of a zone."""
    return "second" if zone == "c" else "first"


def link_ms(one: str, other: str) -> float:
    """Return the one-way latency between two zones."""
    return (
        SAME_REGION_LINK_MS
        if region_of(one) == region_of(other)
        else OTHER_REGION_LINK_MS
    )


class EngineCalls:
    """Sends requests to engines without retries, up to their deadlines.

    Collects the results.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.results: list[Result] = []

    def send(
        self, request: Request, engine: Engine, on_end: Callable[[Job, bool], None]
    ) -> None:
        """Send a request to an engine; call ``on_end`` when it ends or times out."""
        delay_ms = link_ms(request.zone, engine.spec.zone)
        is_ended = False

        def finish(job: Job, *, is_useful: bool) -> None:
            nonlocal is_ended
            if is_ended:
                return
            is_ended = True
            engine.cancel(job)
            first_ms = job.first_ms + delay_ms - request.at_ms if job.first_ms else 0.0
            wasted_tokens = 0 if is_useful else job.computed_tokens
            reason = "" if is_useful else "late"
            self.results.append(
                Result(
                    request,
                    is_useful,
                    first_ms,
                    wasted_tokens,
                    job.computed_tokens,
                    reason,
                )
            )
            on_end(job, is_useful)

        job = Job(
            request,
            lambda job: self.loop.after(delay_ms, lambda: finish(job, is_useful=True)),
        )
        job.sent_ms = self.loop.now_ms
        self.loop.after(delay_ms, lambda: engine.submit(job))
        remaining_ms = request.at_ms + request.deadline_ms - self.loop.now_ms
        self.loop.after(max(0.0, remaining_ms), lambda: finish(job, is_useful=False))

    def refuse(self, request: Request, reason: str) -> None:
        """Record the result of a request that was not sent."""
        self.results.append(Result(request, False, 0.0, 0, 0, reason))


class Baseline:
    """Sends each request immediately to the engine chosen by a rule."""

    def __init__(
        self, loop: Loop, engines: list[Engine], rule: Callable[[], Engine]
    ) -> None:
        self._calls = EngineCalls(loop)
        self._rule = rule
        self.results = self._calls.results

    def submit(self, request: Request) -> None:
        """Handle a request that arrives now."""
        self._calls.send(request, self._rule(), lambda job, is_useful: None)


def baseline(
    name: str,
) -> Callable[
    [Callable[[Loop, list[Engine], random.Random], Callable[[], Engine]]], None
]:
    """Register the decorated function, which makes a rule, as a baseline."""

    def register(
        make_rule: Callable[[Loop, list[Engine], random.Random], Callable[[], Engine]],
    ) -> None:
        def make(loop: Loop, engines: list[Engine], seed: int) -> Front:
            rule = make_rule(loop, engines, random.Random(seed))
            return Baseline(loop, engines, rule)

        FRONTS[name] = make

    return register


@baseline("round robin")
def round_robin(
    loop: Loop, engines: list[Engine], rng: random.Random
) -> Callable[[], Engine]:
    """Choose each engine in turn."""
    count = 0

    def rule() -> Engine:
        nonlocal count
        count += 1
        return engines[count % len(engines)]

    return rule


@baseline("least outstanding")
def least_outstanding(
    loop: Loop, engines: list[Engine], rng: random.Random
) -> Callable[[], Engine]:
    """Choose the engine with the fewest outstanding requests, known exactly."""
    return lambda: min(engines, key=lambda engine: engine.outstanding_count)


@baseline("two choices")
def two_choices(
    loop: Loop, engines: list[Engine], rng: random.Random
) -> Callable[[], Engine]:
    """Choose the less loaded of two random engines, by delayed load reports."""
    reported = dict.fromkeys(engines, 0)

    def report() -> None:
        counts = {engine: engine.outstanding_count for engine in engines}
        loop.after(REPORT_LAG_MS, lambda: reported.update(counts))
        loop.after(REPORT_PERIOD_MS, report)

    report()
    return lambda: min(rng.sample(engines, 2), key=lambda engine: reported[engine])
