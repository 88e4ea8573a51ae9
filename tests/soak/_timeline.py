"""When what was disturbed, so that bounds in time are asked only of calm parts."""

from collections import defaultdict

STORE = "store"

RIG = "rig"
"""The process of the soak, which stalls if the machine has no time for it."""


class Timeline:
    """Disturbances by the name of what they hit; times are in seconds."""

    def __init__(self) -> None:
        self._spans: dict[str, list[tuple[float, float]]] = defaultdict(list)

    def note(self, name: str, from_s: float, until_s: float) -> None:
        """Note that something is disturbed for a while."""
        self._spans[name].append((from_s, until_s))

    def settle(self, name: str, from_s: float, until_s: float) -> None:
        """Note when a disturbance ended that had no end yet."""
        self._spans[name].remove((from_s, float("inf")))
        self.note(name, from_s, until_s)

    def is_calm(self, name: str, from_s: float, until_s: float) -> bool:
        """Tell whether something was undisturbed for a whole span."""
        return not any(
            begins <= until_s and ends >= from_s for begins, ends in self._spans[name]
        )
