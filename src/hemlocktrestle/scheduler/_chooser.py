"""Functions that choose the upstream for a request, in a registry by name."""

from collections.abc import Callable
from typing import Protocol

from hemlocktrestle.locality import ZoneOption, choose_in_region
from hemlocktrestle.scheduler._queue import QueuedAsk
from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.wire import Ask


class CandidateSource(Protocol):
    """Provides the upstreams of a pool that may take a request."""

    def candidates(self, ask: Ask) -> list[UpstreamModel]:
        """Return the least loaded with room, and those with its prefix cached."""
        ...


Chooser = Callable[[QueuedAsk, CandidateSource, float], UpstreamModel | None]
"""Chooses an upstream, or ``None`` to keep the request queued.

The last argument is the time in milliseconds.
"""

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
    """Choose the upstream that is expected to finish the request first.

    One in the zone of the requester is preferred if its caller is served alike.
    """
    ask = waiting.ask
    options = [
        ZoneOption(
            model,
            model.record.name,
            model.expected_ms(ask, now_ms),
            len(model.in_flight),
            model.slots,
            model.record.zone == ask.zone,
        )
        for model in upstreams.candidates(ask)
    ]
    chosen = choose_in_region(options, way_ms=ask.way_ms)
    return chosen.replica if chosen is not None else None


@chooser("least_outstanding")
def by_least_outstanding(
    waiting: QueuedAsk, upstreams: CandidateSource, now_ms: float
) -> UpstreamModel | None:
    """Choose the upstream with the fewest requests in flight."""
    return min(
        upstreams.candidates(waiting.ask),
        key=lambda model: (len(model.in_flight), model.record.name),
        default=None,
    )
