"""When the phases of an order begin, and which phase follows now."""

from collections.abc import Callable
from typing import NamedTuple

from hemlocktrestle.rollout._records import Phase

MARGIN_SHARE = 0.1
"""Share of an order's duration that is kept free before its deadline."""

MARGIN_MS_MAX = 2_000.0
"""Most time that is kept free: for a write to the store that is repeated once."""

DRAIN_SHARE_MAX = 0.4
"""Share of the duration that the old version's last requests get at most to end."""

DRAIN_SHARE_MIN = 0.1
"""Share that the target is judged under all of the load, also if they end sooner."""

DRAIN_SHARE_UNKNOWN = 0.25
"""Share for their end if no answer has told how long they take."""

RAMP_FROM = 0.75
"""Share of the canary's time after which it gets more requests."""

CAPACITY_SHARE_MIN = 0.5
"""Slots of the target, as a share of the old version's, with which the shift begins.

With fewer the callers would wait in a queue; replicas of the target still start.
"""


class Schedule(NamedTuple):
    """Times of an order's phases, in milliseconds since the order."""

    ramp_ms: float
    shift_ms: float
    complete_ms: float


def schedule(duration_ms: float, drain_ms: float) -> Schedule:
    """Return the times of the phases.

    The canary lasts as long as possible, since a version may turn bad late.  What
    remains before the deadline is for the old version's last requests.

    Args:
        duration_ms: time from the order to its deadline.
        drain_ms: time in which requests at the old version usually end, or 0.
    """
    complete_ms = duration_ms - min(MARGIN_MS_MAX, duration_ms * MARGIN_SHARE)
    drain_share = drain_ms / duration_ms or DRAIN_SHARE_UNKNOWN
    drain_ms = duration_ms * min(DRAIN_SHARE_MAX, max(DRAIN_SHARE_MIN, drain_share))
    shift_ms = complete_ms - drain_ms
    return Schedule(shift_ms * RAMP_FROM, shift_ms, complete_ms)


class LeaderView(NamedTuple):
    """What the leader of an order knows.

    Args:
        phase: the recorded phase.
        elapsed_ms: time since the order.
        times: times of the phases.
        is_bad: whether any scheduler or the leader has found the target bad.
        target_slots: requests that the target's ready replicas serve at once.
        old_slots: the same of the other replicas.
        old_is_unused: whether all VMs in reach confirm that nothing of theirs runs
            at the old version, and that nothing more will be sent there.
        unheard_count: VMs that have neither confirmed it nor been heard lately.
    """

    phase: Phase
    elapsed_ms: float
    times: Schedule
    is_bad: bool
    target_slots: int
    old_slots: int
    old_is_unused: bool
    unheard_count: int


_Rule = Callable[[LeaderView], bool]


def _is_bad(view: LeaderView) -> bool:
    return view.is_bad


def _always(view: LeaderView) -> bool:
    return True


def _may_shift(view: LeaderView) -> bool:
    has_capacity = view.target_slots >= view.old_slots * CAPACITY_SHARE_MIN
    return (
        view.elapsed_ms >= view.times.shift_ms
        and view.target_slots > 0
        and has_capacity
    )


def _may_complete(view: LeaderView) -> bool:
    """Tell whether nothing needs the old replicas any more.

    A VM that is not heard may still use them; it is waited for until the end of the
    margin is near, and no longer: its callers may be answered by others.
    """
    if view.elapsed_ms < view.times.complete_ms or not view.old_is_unused:
        return False
    margin_ms = view.times.complete_ms * MARGIN_SHARE / 2
    return (
        not view.unheard_count or view.elapsed_ms >= view.times.complete_ms + margin_ms
    )


_RULES: dict[Phase, tuple[tuple[_Rule, Phase], ...]] = {
    Phase.CANARY: ((_is_bad, Phase.ROLLED_BACK), (_may_shift, Phase.SHIFTING)),
    Phase.SHIFTING: ((_is_bad, Phase.ROLLED_BACK), (_may_complete, Phase.COMPLETED)),
    Phase.STOPPED: ((_always, Phase.ROLLED_BACK),),
    Phase.COMPLETED: (),
    Phase.ROLLED_BACK: (),
}
"""What leads from each phase to which one; the first rule that holds counts."""


def next_phase(view: LeaderView) -> Phase | None:
    """Return the phase that is to be recorded now, or ``None`` to wait."""
    return next((phase for rule, phase in _RULES[view.phase] if rule(view)), None)
