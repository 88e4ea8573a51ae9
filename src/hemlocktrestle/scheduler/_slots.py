"""Bounds on the requests in flight at an engine, in a registry by name."""

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

SLOTS_DEFAULT = 8
"""Requests in flight that an upstream may have before anything is learned."""

SLOTS_MIN = 3
SLOTS_MAX = 64
SLOTS_GROWTH = 1.0
"""Slots added when an observation shows that the bound limited the work."""

SHRINK_FACTOR = 0.9
"""Factor on the slots when the engine is overloaded or a request timed out."""

QUEUEING_FACTOR = 3.0
"""Ratio of the observed to the predicted time to first token that shows queueing.

Above it, requests are taken to queue inside the engine.
"""

TOKEN_MS_MAX = 61.0
"""Time between tokens above which an engine is overloaded, in milliseconds."""

SHRINK_INTERVAL_MS = 1_000.0
"""Least time between two reductions of the slots, in milliseconds."""

QUEUEING_SLACK_MS = 1_000.0
"""Delay of a first token up to which no queueing is assumed, in milliseconds."""


class SlotObservation(NamedTuple):
    """What one finished request shows: the engine's load, and its delays.

    ``token_ms`` is the time between tokens, or 0 if there were too few.
    """

    in_flight_count: int
    predicted_first_ms: float
    observed_first_ms: float
    token_ms: float
    now_ms: float


class SlotBound(Protocol):
    """Bound on the requests in flight at an upstream."""

    @property
    def slots(self) -> int:
        """The current bound."""
        ...

    def learn(self, observation: SlotObservation) -> None:
        """Learn from one observation."""
        ...

    def record_timeout(self, now_ms: float) -> None:
        """Learn that a request took longer than expected and passed its deadline."""
        ...


_BoundType = TypeVar("_BoundType", bound=type)

SLOT_BOUNDS: dict[str, Callable[[], SlotBound]] = {}
"""Constructors of bounds by the name that settings use."""


def slot_bound(name: str) -> Callable[[_BoundType], _BoundType]:
    """Register a bound under the name that settings use."""

    def register(bound_type: _BoundType) -> _BoundType:
        SLOT_BOUNDS[name] = bound_type
        return bound_type

    return register


@slot_bound("fixed")
class FixedSlots:
    """A constant number of slots."""

    slots = SLOTS_DEFAULT

    def learn(self, observation: SlotObservation) -> None:
        """Do nothing: the bound is constant."""

    def record_timeout(self, now_ms: float) -> None:
        """Do nothing: the bound is constant."""


@slot_bound("unbounded")
class UnboundedSlots(FixedSlots):
    """In effect no bound, so that all queueing is inside the engine."""

    slots = 1_000_000


@slot_bound("adaptive")
class AdaptiveSlots:
    """Grows while the bound limits the work, shrinks when the engine is overloaded."""

    def __init__(self) -> None:
        self._slots = float(SLOTS_DEFAULT)
        self._shrunk_ms = float("-inf")

    @property
    def slots(self) -> int:
        """The current bound."""
        return int(self._slots)

    def learn(self, observation: SlotObservation) -> None:
        """Learn from one observation."""
        late_ms = observation.observed_first_ms - observation.predicted_first_ms
        limit_ms = observation.predicted_first_ms * QUEUEING_FACTOR
        is_queueing = (
            late_ms > QUEUEING_SLACK_MS and observation.observed_first_ms > limit_ms
        )
        if is_queueing or observation.token_ms > TOKEN_MS_MAX:
            self.record_timeout(observation.now_ms)
        elif observation.in_flight_count >= self.slots - 1:
            self._slots = min(SLOTS_MAX, self._slots + SLOTS_GROWTH)

    def record_timeout(self, now_ms: float) -> None:
        """Reduce the slots, once an interval: one backlog makes many requests late."""
        if now_ms - self._shrunk_ms >= SHRINK_INTERVAL_MS:
            self._slots = max(SLOTS_MIN, self._slots * SHRINK_FACTOR)
            self._shrunk_ms = now_ms
