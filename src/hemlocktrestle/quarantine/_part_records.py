"""Crashes that parts of prompts may have caused, and what they lead to."""

from collections.abc import Iterable
from typing import NamedTuple

STARTED_WEIGHT = 2
"""Weight of a crash for parts of a request whose answer had begun without content."""

WAITING_WEIGHT = 1
"""Weight of a crash for the parts of a request whose answer had not begun."""

RETRIAL_MS = 1_200_000
"""Time after the last crash of a quarantined part until it is tried again, in ms."""

SINGLE_CRASH_RETRIAL_MS = 10_000
"""The same for a part that only one crash cannot be explained without, in ms."""


class PartCrash(NamedTuple):
    """A crash of an upstream that ran a request without content in its answer yet.

    Args:
        parts: parts of the request's prompt that other requests may share, in order.
        upstream: the crash by its name; several requests may have run at it.
        fingerprint: digest of the request.
        request_id: id of the request.
        is_started: whether the head of the answer had come.
        at_ms: when it was noticed, by the time of the process.
        born_ms: start of the upstream, 0 if it is not known.
        ran_ms: for how long the request had run, 0 if it is not known.
    """

    parts: tuple[str, ...]
    upstream: str
    fingerprint: str
    request_id: str
    is_started: bool
    at_ms: float
    born_ms: int = 0
    ran_ms: int = 0

    @property
    def weight(self) -> int:
        """How much the crash counts against each of the parts."""
        return STARTED_WEIGHT if self.is_started else WAITING_WEIGHT


class QuarantinedPart(NamedTuple):
    """A part that is quarantined, the crashes behind it, and what else explains them.

    Args:
        part: the part that explains the crashes best.
        crashes: the crashes.
        expires_ms: when the quarantine ends.
        alternatives: sets of parts; one of them is the cause.  The first one is the
            part alone, and the only one if no other part explains the crashes.
        is_certain: whether the crashes cannot have a different cause each, too.
    """

    part: str
    crashes: tuple[PartCrash, ...]
    expires_ms: float
    alternatives: tuple[frozenset[str], ...]
    is_certain: bool

    @property
    def suspects(self) -> frozenset[str]:
        """All parts that may be the cause."""
        return frozenset().union(*self.alternatives)

    @property
    def retrial_ms(self) -> float:
        """Time from which the part may be tried again."""
        is_single = len({crash.upstream for crash in self.crashes}) == 1
        delay_ms = SINGLE_CRASH_RETRIAL_MS if is_single else RETRIAL_MS
        return max(crash.at_ms for crash in self.crashes) + delay_ms

    def explains(self, parts: Iterable[str]) -> bool:
        """Tell whether each alternative expects a request to crash its upstream."""
        found = frozenset(parts)
        return all(found & alternative for alternative in self.alternatives)


class PartChanges(NamedTuple):
    """Parts whose state a fact has changed.

    Args:
        quarantined: parts that are quarantined from now on, or with other alternatives.
        lifted: parts whose quarantine ends, because other facts explain the crashes.
    """

    quarantined: tuple[QuarantinedPart, ...] = ()
    lifted: tuple[QuarantinedPart, ...] = ()
