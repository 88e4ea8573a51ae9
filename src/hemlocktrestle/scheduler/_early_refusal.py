"""Tests that refuse requests which cannot meet their deadline, by name.

They do not free slots for other requests, so this is not shedding: a request of the
highest tier is refused only if the fastest upstream would be late even when idle.
"""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.scheduler._upstream import UpstreamModel
from hemlocktrestle.scheduler._work import COUNTED_SHARE
from hemlocktrestle.wire import Ask


class DeadlineForecast(NamedTuple):
    """What is expected of a request at the head of the queue.

    ``idle_ms`` is the time that the pool's fastest upstream would take if idle.
    """

    ask: Ask
    model: UpstreamModel
    idle_ms: float
    remaining_ms: float
    now_ms: float


IsUnmeetable = Callable[[DeadlineForecast], bool]

EARLY_REFUSALS: dict[str, IsUnmeetable] = {}
"""Early refusal tests by the name that settings use."""


def early_refusal(name: str) -> Callable[[IsUnmeetable], IsUnmeetable]:
    """Register an early refusal test under the name that settings use."""

    def register(function: IsUnmeetable) -> IsUnmeetable:
        EARLY_REFUSALS[name] = function
        return function

    return register


@early_refusal("none")
def never(prospect: DeadlineForecast) -> bool:
    """Refuse nothing early."""
    return False


@early_refusal("expected")
def by_expected_time(prospect: DeadlineForecast) -> bool:
    """Refuse what would be late on an idle upstream or, in a lower tier, at this load.

    An idle upstream is given requests of any length, so that the times measured
    there correct a wrong estimate.
    """
    if not prospect.model.in_flight:
        return False
    if prospect.idle_ms * COUNTED_SHARE > prospect.remaining_ms:
        return True
    if prospect.ask.tier == 0:
        return False
    expected_ms = prospect.model.expected_ms(prospect.ask, prospect.now_ms)
    return expected_ms * COUNTED_SHARE > prospect.remaining_ms
