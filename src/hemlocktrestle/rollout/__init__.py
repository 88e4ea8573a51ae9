"""Decisions on moving a service to another version: no I/O, no clock.

An *order* names the target version and the time for the move.  A *canary* is the
small share of requests by which the target is judged against the old version.
"""

from hemlocktrestle.rollout._evidence import (
    Evidence,
    Tallies,
    Tally,
    TallyKey,
    merged,
)
from hemlocktrestle.rollout._exposure import (
    ExposureBounds,
    ExposureLedger,
    canary_count,
)
from hemlocktrestle.rollout._follower import Follower, SeenVersions, Use
from hemlocktrestle.rollout._judge import Judge, Verdict, bad_replicas
from hemlocktrestle.rollout._plan import LeaderView, Schedule, next_phase, schedule
from hemlocktrestle.rollout._pool import AnswerTimes, PoolRollout, Started
from hemlocktrestle.rollout._records import (
    FINAL_PHASES,
    NEXT_PHASES,
    Order,
    Phase,
    RolloutRecord,
    is_behind,
)

__all__ = [
    "FINAL_PHASES",
    "NEXT_PHASES",
    "AnswerTimes",
    "Evidence",
    "ExposureBounds",
    "ExposureLedger",
    "Follower",
    "Judge",
    "LeaderView",
    "Order",
    "Phase",
    "PoolRollout",
    "RolloutRecord",
    "Schedule",
    "SeenVersions",
    "Started",
    "Tallies",
    "Tally",
    "TallyKey",
    "Use",
    "Verdict",
    "bad_replicas",
    "canary_count",
    "is_behind",
    "merged",
    "next_phase",
    "schedule",
]
