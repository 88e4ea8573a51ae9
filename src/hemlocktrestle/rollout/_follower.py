"""What one VM knows of the order of a service, and where it may send requests."""

from enum import Enum
from typing import NamedTuple

from hemlocktrestle.rollout._plan import schedule
from hemlocktrestle.rollout._records import (
    FINAL_PHASES,
    Order,
    Phase,
    is_behind,
)

GRANT_AGE_SHARE = 0.4
"""Share of the time to stop after which a grant of the leader no longer holds.

The rest is for a verdict to reach the leader, and for requests that were permitted.
"""


class Use(Enum):
    """What replicas of a version may be used for."""

    ALL = "all"
    CANARY = "canary"
    NOTHING = "nothing"


class _Uses(NamedTuple):
    target: Use
    old: Use


_USES: dict[tuple[Phase, bool], _Uses] = {
    (Phase.CANARY, True): _Uses(Use.CANARY, Use.ALL),
    (Phase.CANARY, False): _Uses(Use.NOTHING, Use.ALL),
    (Phase.SHIFTING, True): _Uses(Use.ALL, Use.NOTHING),
    (Phase.SHIFTING, False): _Uses(Use.NOTHING, Use.ALL),
    (Phase.STOPPED, True): _Uses(Use.NOTHING, Use.ALL),
    (Phase.STOPPED, False): _Uses(Use.NOTHING, Use.ALL),
    (Phase.ROLLED_BACK, True): _Uses(Use.NOTHING, Use.ALL),
    (Phase.ROLLED_BACK, False): _Uses(Use.NOTHING, Use.ALL),
    (Phase.COMPLETED, True): _Uses(Use.ALL, Use.NOTHING),
    (Phase.COMPLETED, False): _Uses(Use.ALL, Use.NOTHING),
}
"""Use of both versions by phase, and by whether the leader's grant is fresh."""


class Follower:
    """The order of one service as one VM knows it.

    Args:
        stop_ms: time in which nothing more may be sent to a bad version.
    """

    def __init__(self, stop_ms: float) -> None:
        self._grant_ms_max = stop_ms * GRANT_AGE_SHARE
        self._granted_ms = float("-inf")
        self._began_ms = 0.0
        self._outcomes: dict[Order, Phase] = {}
        self.order: Order | None = None
        self.phase = Phase.CANARY

    def begin(self, order: Order, now_ms: float, *, elapsed_ms: float = 0.0) -> bool:
        """Take an order that was read or heard of; return whether it is new here.

        Until a grant comes, nothing is sent to its target.  What was decided on the
        same order before is never forgotten.
        """
        began_ms = now_ms - elapsed_ms
        if order == self.order:
            self._began_ms = min(self._began_ms, began_ms)
            return False
        self._remember()
        for done in [*self._outcomes]:
            if done.target == order.target and done != order:
                del self._outcomes[done]
        self.order = order
        self.phase = self._outcomes.get(order, Phase.CANARY)
        self._began_ms = began_ms
        self._granted_ms = float("-inf")
        return True

    def apply(
        self, order: Order, phase: Phase, now_ms: float, *, elapsed_ms: float
    ) -> bool:
        """Apply a grant of the leader; return whether anything changed.

        A phase is never left for an earlier one of the same order.
        """
        is_new = self.begin(order, now_ms, elapsed_ms=elapsed_ms)
        if self.phase is phase or is_behind(self.phase, phase):
            is_changed = self.phase is not phase
            self.phase = phase
            self._granted_ms = now_ms
            return is_new or is_changed
        return is_new

    def stop(self) -> bool:
        """Stop the target after a verdict here; return whether it was in use."""
        if self.order is None or not is_behind(self.phase, Phase.STOPPED):
            return False
        self.phase = Phase.STOPPED
        return True

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the order."""
        return max(0.0, now_ms - self._began_ms)

    def is_granted(self, now_ms: float) -> bool:
        """Tell whether the leader's last grant is fresh."""
        return now_ms - self._granted_ms <= self._grant_ms_max

    def is_ramp(self, now_ms: float, drain_ms: float) -> bool:
        """Tell whether the canary gets more requests shortly before the shift."""
        if self.order is None:
            return False
        times = schedule(self.order.duration_ms, drain_ms)
        return self.elapsed_ms(now_ms) >= times.ramp_ms

    @property
    def has_been_granted(self) -> bool:
        """Whether a leader has ever granted this order here."""
        return self._granted_ms > float("-inf") or self.phase is not Phase.CANARY

    @property
    def is_running(self) -> bool:
        """Whether there is an order that has no outcome yet."""
        return self.order is not None and self.phase not in FINAL_PHASES

    def use(self, version: str, now_ms: float) -> Use:
        """Return what replicas of a version may be used for now."""
        if self.order is None:
            return Use.ALL
        uses = _USES[self.phase, self.is_granted(now_ms)]
        return uses.target if version == self.order.target else uses.old

    def is_rejected(self, version: str) -> bool:
        """Tell whether a version was found bad under an earlier order."""
        return any(
            order.target == version and phase is not Phase.COMPLETED
            for order, phase in self._outcomes.items()
        )

    def _remember(self) -> None:
        if self.order is not None and not is_behind(self.phase, Phase.STOPPED):
            self._outcomes[self.order] = self.phase


HOLD_MS = 2_000.0
"""Time for which replicas of a new version wait for the order that explains them.

Replicas and the order are read in separate calls, and in either order.
"""


class SeenVersions:
    """Which versions of each service need no order: they were there before."""

    def __init__(self) -> None:
        self._first_seen_ms: dict[tuple[str, str], float] = {}
        self._usual: dict[str, set[str]] = {}
        self._first_born_ms: dict[tuple[str, str], int] = {}

    def observe(
        self, service: str, born_by_version: dict[str, int], now_ms: float
    ) -> None:
        """Record the versions that are registered, with the first start of each.

        Of the versions that are found first, the one that has run longest counts as
        the usual one.
        """
        if not born_by_version:
            return
        if service not in self._usual:
            oldest = min(
                born_by_version, key=lambda name: (born_by_version[name], name)
            )
            self._usual[service] = {oldest}
        for version, born_ms in born_by_version.items():
            key = service, version
            self._first_seen_ms.setdefault(key, now_ms)
            known_ms = self._first_born_ms.get(key, born_ms)
            self._first_born_ms[key] = min(known_ms, born_ms)

    def admit(self, service: str, confirmed_ms: float) -> None:
        """Admit versions for which no order has come, as the store was read since."""
        usual = self._usual.get(service, set())
        for (found, version), seen_ms in self._first_seen_ms.items():
            if found == service and seen_ms + HOLD_MS <= confirmed_ms:
                usual.add(version)

    def is_newer(self, service: str, version: str, other: str) -> bool:
        """Tell whether the first replica of a version started after that of another."""
        born_ms = self._first_born_ms.get((service, version))
        other_ms = self._first_born_ms.get((service, other))
        return born_ms is not None and other_ms is not None and born_ms > other_ms

    def is_due(self, service: str, version: str, now_ms: float) -> bool:
        """Tell whether a version has waited long enough for its order."""
        seen_ms = self._first_seen_ms.get((service, version), now_ms)
        return not self.is_usual(service, version) and seen_ms + HOLD_MS <= now_ms

    def is_usual(self, service: str, version: str) -> bool:
        """Tell whether a version may be used without an order."""
        usual = self._usual.get(service)
        return usual is None or version in usual
