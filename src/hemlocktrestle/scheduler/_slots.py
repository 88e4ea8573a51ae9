"""Bounds on what is outstanding in an engine, in a registry by name."""

from collections.abc import Callable
from typing import NamedTuple, Protocol, TypeVar

SLOTS_DEFAULT = 8
"""Requests in hand that an upstream may have, until it is known better."""

SLOTS_MIN = 3
SLOTS_MAX = 64
GROWTH = 1.0
"""Slots gained by an observation that the bound itself held the work back."""

SHRINK = 0.9
"""Factor on the slots when first tokens show a queue inside the engine."""

QUEUEING_FACTOR = 3.0
"""First tokens this much later than predicted show a queue inside the engine."""

TOKEN_MS_MAX = 61.0
"""Time between tokens above which an engine has too much at once, in milliseconds."""

SHRINK_MS = 1_000.0
"""Least time between two steps down, in milliseconds."""

QUEUEING_SLACK_MS = 1_000.0
"""First tokens late by less than this show nothing, in milliseconds."""


class SlotObservation(NamedTuple):
    """What one release shows: the engine's load, and its delays.

    ``token_ms`` is the time between tokens, or 0 if there were too few.
    """

    in_hand_count: int
    predicted_first_ms: float
    observed_first_ms: float
    token_ms: float
    now_ms: float


class SlotBound(Protocol):
    """How many requests may be in hand at an upstream."""

    @property
    def slots(self) -> int:
        """The bound at present."""
        ...

    def learn(self, observation: SlotObservation) -> None:
        """Take in one observation."""
        ...

    def record_timeout(self, now_ms: float) -> None:
        """Take in that a request was given up later than it should have ended."""
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
    """The same number of slots for ever."""

    slots = SLOTS_DEFAULT

    def learn(self, observation: SlotObservation) -> None:
        """Take in one observation, which changes nothing."""

    def record_timeout(self, now_ms: float) -> None:
        """Take in a late request, which changes nothing."""


@slot_bound("unbounded")
class UnboundedSlots(FixedSlots):
    """No bound, so that all queueing is inside the engine."""

    slots = 1_000_000


@slot_bound("adaptive")
class AdaptiveSlots:
    """Grows while the bound holds work back, shrinks when the engine queues."""

    def __init__(self) -> None:
        self._slots = float(SLOTS_DEFAULT)
        self._shrunk_ms = float("-inf")

    @property
    def slots(self) -> int:
        """The bound at present."""
        return int(self._slots)

    def learn(self, observation: SlotObservation) -> None:
        """Take in one observation."""
        late_ms = observation.observed_first_ms - observation.predicted_first_ms
        limit_ms = observation.predicted_first_ms * QUEUEING_FACTOR
        is_queueing = (
            late_ms > QUEUEING_SLACK_MS and observation.observed_first_ms > limit_ms
        )
        if is_queueing or observation.token_ms > TOKEN_MS_MAX:
            self.record_timeout(observation.now_ms)
        elif observation.in_hand_count >= self.slots - 1:
            self._slots = min(SLOTS_MAX, self._slots + GROWTH)

    def record_timeout(self, now_ms: float) -> None:
        """Take in a late request; one backlog shows in many, so it counts once."""
        if now_ms - self._shrunk_ms >= SHRINK_MS:
            self._slots = max(SLOTS_MIN, self._slots * SHRINK)
            self._shrunk_ms = now_ms
