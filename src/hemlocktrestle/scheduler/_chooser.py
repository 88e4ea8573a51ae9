"""Ways to choose an upstream for an ask, in a registry by name."""

from collections.abc import Callable, Sequence
from typing import Protocol

from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.wire import Ask


class CandidateSource(Protocol):
    """The upstreams of a pool."""

    def candidates(self, ask: Ask) -> list[UpstreamModel]:
        """Return a few with room for an ask: the least loaded, and its prefix's."""
        ...


Chooser = Callable[[QueuedAsk, CandidateSource, float], UpstreamModel | None]
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
    waiting: QueuedAsk, upstreams: CandidateSource, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream that is expected to finish the ask first."""
    return _first_to_finish(waiting.ask, upstreams.candidates(waiting.ask), now_ms)


@chooser("least_outstanding")
def by_least_outstanding(
    waiting: QueuedAsk, upstreams: CandidateSource, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream with the fewest requests in hand."""
    return min(
        upstreams.candidates(waiting.ask),
        key=lambda model: (len(model.in_flight), model.record.name),
        default=None,
    )


def _first_to_finish(
    ask: Ask, models: Sequence[UpstreamModel], now_ms: float
) -> UpstreamModel | None:
    return min(
        models,
        key=lambda model: (
            model.expected_ms(ask, now_ms),
            len(model.in_flight),
            model.record.name,
        ),
        default=None,
    )
