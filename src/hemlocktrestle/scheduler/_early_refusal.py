"""Refusing what cannot meet its deadline, in a registry by name.

None of these makes room for anything, so none of them sheds: an ask of the highest
tier is refused only if the fastest upstream would be late with nothing else to do.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.wire import Ask


class Prospect(NamedTuple):
    """What an ask at the head of the queue may hope for.

    ``idle_ms`` is the time that the pool's fastest upstream would take for it alone.
    """

    ask: Ask
    model: UpstreamModel
    idle_ms: float
    remaining_ms: float
    now_ms: float


SURE_SHARE = 0.6
"""Share of the expected time that a request surely takes."""

IsHopeless = Callable[[Prospect], bool]

EARLY_REFUSALS: dict[str, IsHopeless] = {}
"""Tests by the name that settings use."""


def early_refusal(name: str) -> Callable[[IsHopeless], IsHopeless]:
    """Register a test under the name that settings use."""

    def register(function: IsHopeless) -> IsHopeless:
        EARLY_REFUSALS[name] = function
        return function

    return register


@early_refusal("none")
def never(prospect: Prospect) -> bool:
    """Refuse nothing early."""
    return False


@early_refusal("expected")
def by_expected_time(prospect: Prospect) -> bool:
    """Refuse what would be late alone or, in a lower tier, beside what runs.

    An idle upstream gets work of any length, so that a wrong estimate mends itself.
    """
    if not prospect.model.in_flight:
        return False
    if prospect.idle_ms * SURE_SHARE > prospect.remaining_ms:
        return True
    if prospect.ask.tier == 0:
        return False
    expected_ms = prospect.model.expected_ms(prospect.ask, prospect.now_ms)
    return expected_ms * SURE_SHARE > prospect.remaining_ms
