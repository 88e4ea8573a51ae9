"""Record of disturbances, so that time limits are checked only without any."""

from collections import defaultdict

STORE = "store"

SOAK_PROCESS = "rig"
"""The process of the soak itself, which stalls if the machine is overloaded."""


class Timeline:
    """Disturbances by the name of what is disturbed; times are in seconds."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def record(self, name: str, from_s: float, until_s: float) -> None:
        """Record a disturbance."""
        self._spans[name].append((from_s, until_s))

    def record_end(self, name: str, from_s: float, until_s: float) -> None:
        """Set the end of a disturbance that was recorded without one."""
        self._spans[name].remove((from_s, float("inf")))
        self.record(name, from_s, until_s)

    def is_undisturbed(self, name: str, from_s: float, until_s: float) -> bool:
        """Tell whether something was undisturbed during a whole time span."""
        return not any(
            begins <= until_s and ends >= from_s for begins, ends in self._spans[name]
        )
