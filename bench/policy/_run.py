"""Runs one policy on one trace, and computes the figures of the run."""

from collections.abc import Callable
from typing import NamedTuple

from bench.policy._engine import Engine, EngineSpec
from bench.policy._front import FRONTS, Front, Result, region_of
from bench.policy._loop import Loop
from bench.policy._scheduler_front import Forecast, SchedulerFront, Variant
from bench.policy._trace import (
    PEAK_S,
    SCENARIOS,
    TRACE_S,
    Request,
    Scenario,
    make_trace,
)
from hemlocktrestle.scheduler import PoolPolicy, policy_named

DRAIN_MS = 70_000.0
"""Simulated time after the trace, longer than any deadline."""

SPEEDS = (("a", 1.0), ("a", 0.6), ("b", 1.3), ("b", 0.7), ("c", 1.0), ("c", 0.5))
"""Zone and speed of the six replicas."""

PRESETS = {"chama": "goodput", "plaine": "tail"}
OWN = "hemlocktrestle"
ORACLE = "oracle"

ORACLE_POLICY = PoolPolicy(
    chooser="oracle",
    slot_bound="engine_batch",
    tier_shares=(1.0,),
    prefill_share=0.5,
    early_refusal="none",
    detects_stragglers=False,
)

ABLATIONS: dict[str, Callable[[Variant], Variant]] = {
    "queue: fifo": lambda v: v._replace(policy=v.policy._replace(queue="fifo")),
    "chooser: least outstanding": lambda v: v._replace(
        policy=v.policy._replace(chooser="least_outstanding")
    ),
    "slots: fixed": lambda v: v._replace(policy=v.policy._replace(slot_bound="fixed")),
    "slots: unbounded": lambda v: v._replace(
        policy=v.policy._replace(slot_bound="unbounded")
    ),
    "tier shares: none": lambda v: v._replace(
        policy=v.policy._replace(tier_shares=(1.0,))
    ),
    "tier shares: 0.85, 0.7": lambda v: v._replace(
        policy=v.policy._replace(tier_shares=(1.0, 0.85, 0.7))
    ),
    "pacing: none": lambda v: v._replace(policy=v.policy._replace(prefill_share=1.0)),
    "early refusal: none": lambda v: v._replace(
        policy=v.policy._replace(early_refusal="none")
    ),
    "prefixes: off": lambda v: v._replace(
        policy=v.policy._replace(uses_prefixes=False)
    ),
    "stragglers: off": lambda v: v._replace(
        policy=v.policy._replace(detects_stragglers=False)
    ),
    "cost learning: off": lambda v: v._replace(learns_cost=False),
    "zone choice: off": lambda v: v._replace(chooses_zone=False),
    "spill budget: off": lambda v: v._replace(has_spill_budget=False),
}


class Run(NamedTuple):
    """Parameters of one run."""

    user: str
    scenario: str
    policy: str
    seed: int


class ForecastErrors(NamedTuple):
    """Relative errors of forecasts: medians and 90th percentiles."""

    first_p50: float
    first_p90: float
    end_p50: float
    end_p90: float


class Figures(NamedTuple):
    """The figures of one run.

    ``goodput`` is the share of useful answers by tier, ``crest`` the share among
    requests that arrived during the load peak, ``polite`` the share among
    normal-tier requests of all customers but the flooding one.
    """

    goodput: tuple[float, float, float]
    useful_count: tuple[int, int, int]
    wasted_tokens: int
    wasted_share: float
    peak: float
    first_ms: tuple[float, float, float]
    polite: float
    reasons: tuple[tuple[str, int], ...]
    forecast: ForecastErrors | None = None


def variant_of(user: str, name: str) -> Variant:
    """Return the variant of the real scheduling code that a name denotes."""
    own = Variant(policy_named(PRESETS[user]))
    if name == OWN:
        return own
    if name == ORACLE:
        return Variant(ORACLE_POLICY, knows_all=True)
    return ABLATIONS[name](own)


def run(what: Run, *, seconds: int = TRACE_S) -> Figures:
    """Run a policy on a trace, and return its figures."""
    scenario = next(s for s in SCENARIOS if s.name == what.scenario)
    trace = [
        request
        for request in make_trace(what.user, scenario, what.seed)
        if request.at_ms < seconds * 1000
    ]
    loop = Loop()
    engines = [
        Engine(loop, EngineSpec(f"{zone}{number}", zone, region_of(zone), speed))
        for number, (zone, speed) in enumerate(SPEEDS)
    ]
    front = _front(what, loop, engines)
    _schedule_slowdown(loop, engines[0], scenario)
    for request in trace:
        loop.after(request.at_ms, _arrival(front, request))
    loop.run(TRACE_S * 1000 + DRAIN_MS)
    figures = _figures(front.results)
    if not isinstance(front, SchedulerFront):
        return figures
    return figures._replace(forecast=_errors(front.forecasts))


def _errors(forecasts: list[Forecast]) -> ForecastErrors:
    first = sorted(forecast.first for forecast in forecasts)
    end = sorted(forecast.end for forecast in forecasts)
    return ForecastErrors(
        _quantile(first, 0.5),
        _quantile(first, 0.9),
        _quantile(end, 0.5),
        _quantile(end, 0.9),
    )


def _front(what: Run, loop: Loop, engines: list[Engine]) -> Front:
    if what.policy in FRONTS:
        return FRONTS[what.policy](loop, engines, what.seed)
    return SchedulerFront(loop, engines, variant_of(what.user, what.policy))


def _arrival(front: Front, request: Request) -> Callable[[], None]:
    return lambda: front.submit(request)


def _schedule_slowdown(loop: Loop, engine: Engine, scenario: Scenario) -> None:
    def slow(factor: float) -> Callable[[], None]:
        return lambda: setattr(engine, "slowdown", factor)

    start_s, end_s = scenario.slow_s
    loop.after(start_s * 1000, slow(scenario.slow))
    loop.after(end_s * 1000, slow(1.0))


def _figures(results: list[Result]) -> Figures:
    tiers = [[r for r in results if r.request.tier == tier] for tier in range(3)]
    computed_tokens = sum(r.computed_tokens for r in results)
    wasted_tokens = sum(r.wasted_tokens for r in results)
    crest = [
        r for r in results if PEAK_S[0] * 1000 <= r.request.at_ms < PEAK_S[1] * 1000
    ]
    polite = [
        r for r in results if r.request.customer != "flooder" and r.request.tier == 1
    ]
    first = sorted(r.first_ms for r in results if r.first_ms)
    reasons: dict[str, int] = {}
    for result in results:
        reasons[result.reason] = reasons.get(result.reason, 0) + 1
    goodput = [_useful_share(tier) for tier in tiers]
    counts = [sum(r.is_useful for r in tier) for tier in tiers]
    return Figures(
        (goodput[0], goodput[1], goodput[2]),
        (counts[0], counts[1], counts[2]),
        wasted_tokens,
        wasted_tokens / max(1, computed_tokens),
        _useful_share(crest),
        (_quantile(first, 0.5), _quantile(first, 0.95), _quantile(first, 0.99)),
        _useful_share(polite),
        tuple(sorted(reasons.items())),
    )


def _useful_share(results: list[Result]) -> float:
    return sum(r.is_useful for r in results) / max(1, len(results))


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
