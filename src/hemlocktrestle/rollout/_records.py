"""Orders to move a service to another version, and the phases of their execution."""

from enum import Enum
from typing import NamedTuple


class Phase(Enum):
    """How far the execution of an order is.

    ``STOPPED`` is never recorded: the version was found bad, the record of that is
    still to be written.
    """

    CANARY = "canary"
    SHIFTING = "shifting"
    STOPPED = "stopped"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


NEXT_PHASES: dict[Phase, frozenset[Phase]] = {
    Phase.CANARY: frozenset({Phase.SHIFTING, Phase.STOPPED, Phase.ROLLED_BACK}),
    Phase.SHIFTING: frozenset({Phase.COMPLETED, Phase.STOPPED, Phase.ROLLED_BACK}),
    # The outcome that was recorded counts, also for a VM that judged later.
    Phase.STOPPED: frozenset({Phase.ROLLED_BACK, Phase.COMPLETED}),
    Phase.COMPLETED: frozenset(),
    Phase.ROLLED_BACK: frozenset(),
}
"""Phases that may follow each phase of one order; a final phase has none."""

FINAL_PHASES = frozenset(phase for phase, later in NEXT_PHASES.items() if not later)
"""Phases that an order never leaves."""


def is_behind(phase: Phase, other: Phase) -> bool:
    """Tell whether a phase can lead to another one, at once or later."""
    later = NEXT_PHASES[phase]
    return other in later or any(is_behind(found, other) for found in later)


class Order(NamedTuple):
    """An operator's order to move a service to replicas of a version.

    Two documents with the same content are the same order: the operator writes it
    again after the store has lost it.
    """

    service: str
    target: str
    duration_ms: float


class RolloutRecord(NamedTuple):
    """What the store holds of an order's execution.

    ``revision`` is that of the store's item, 0 if there is none yet.
    """

    order: Order
    phase: Phase
    revision: int = 0
