"""Ways to choose an upstream for an ask, in a registry by name."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Protocol

from hemlocktrestle.keeper._queue import Waiting
from hemlocktrestle.keeper._upstream import UpstreamModel
from hemlocktrestle.wire import NO_AIM, Ask

ALIKE_CHANCE = 0.1
"""Difference in the chance to be in time that does not matter for a choice."""

POOR_CHANCE = 0.5
"""Part of the best chance below which an ask rather waits for a better upstream."""

LATE_PLACES_SHARE = 0.5
"""Share of a slow upstream's places that late asks may fill."""


SLOW_FACTOR = 2.0
"""How much longer than on the quickest an ask takes on a slow upstream."""


class Upstreams(Protocol):
    """The upstreams of a pool."""

    def __iter__(self) -> Iterator[UpstreamModel]:
        """Return all that take work."""
        ...

    def candidates(self, ask: Ask) -> list[UpstreamModel]:
        """Return a few with room for an ask: the least loaded, and its prefix's."""
        ...

    def free(self, ask: Ask) -> list[UpstreamModel]:
        """Return all with room for an ask."""
        ...


Chooser = Callable[[Waiting, Upstreams, float], UpstreamModel | None]
"""Chooses an upstream for an ask, or lets it wait; the last argument is the time."""

CHOOSERS: dict[str, Chooser] = {}
"""Choosers by the name that settings use."""


def chooser(name: str) -> Callable[[Chooser], Chooser]:
    """Register a chooser under the name that settings use."""

    def register(function: Chooser) -> Chooser:
        CHOOSERS[name] = function
        return function

    return register


@chooser("expected_finish")
def by_expected_finish(
    waiting: Waiting, upstreams: Upstreams, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream that is expected to finish the ask first."""
    return _first_to_finish(waiting.ask, upstreams.candidates(waiting.ask), now_ms)


@chooser("least_outstanding")
def by_least_outstanding(
    waiting: Waiting, upstreams: Upstreams, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream with the fewest requests in hand."""
    return min(
        upstreams.candidates(waiting.ask),
        key=lambda model: (len(model.in_hand), model.record.name),
        default=None,
    )


@chooser("in_time")
def by_chance_in_time(
    waiting: Waiting, upstreams: Upstreams, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream that finishes first of those that serve the ask in time.

    An ask leaves a place on a slow upstream to others, and waits for a better one,
    while it has time to; a late ask takes few of the places of slow upstreams.
    """
    ask = waiting.ask
    free = upstreams.free(ask)
    left_ms = waiting.aim_at_ms - now_ms
    if ask.aim_ms == NO_AIM:
        return _first_to_finish(ask, free, now_ms)
    models = [model for model in upstreams if model.record.name not in ask.excluded]
    if left_ms <= 0:
        return _first_to_finish(ask, _for_late(ask, free, models, now_ms), now_ms)
    chances = {model: model.in_time_chance(ask, left_ms, now_ms) for model in models}
    best = max((chances[model] for model in free), default=0.0)
    is_poor = best < max(chances.values(), default=0.0) * POOR_CHANCE
    if is_poor and left_ms > _least_first_ms(ask, models):
        return None
    alike = [model for model in free if chances[model] >= best - ALIKE_CHANCE]
    return _first_to_finish(ask, alike, now_ms)


def _for_late(
    ask: Ask,
    free: Sequence[UpstreamModel],
    models: Sequence[UpstreamModel],
    now_ms: float,
) -> list[UpstreamModel]:
    """Return the upstreams that a late ask may go to."""
    quickest_ms = min((model.expected_ms(ask, now_ms) for model in models), default=0.0)
    return [
        model
        for model in free
        if len(model.in_hand) < model.slots * LATE_PLACES_SHARE
        or model.expected_ms(ask, now_ms) < quickest_ms * SLOW_FACTOR
    ]


def _first_to_finish(
    ask: Ask, models: Sequence[UpstreamModel], now_ms: float
) -> UpstreamModel | None:
    return min(
        models,
        key=lambda model: (
            model.expected_ms(ask, now_ms),
            len(model.in_hand),
            model.record.name,
        ),
        default=None,
    )


def _least_first_ms(ask: Ask, models: Iterable[UpstreamModel]) -> float:
    """Return the time to the first part of an answer on the quickest upstream."""
    return min(
        (ask.prompt_tokens * model.rates.prefill.ms_per_token for model in models),
        default=0.0,
    )
