"""A limit on the memory that one process uses for bodies."""

from typing import Self


class BodyMemoryBudget:
    """Memory budget for bodies, shared by all connections.

    A request's body stays in memory until the request has ended, as a retry sends it
    again.

    Args:
        bytes_max: size of the budget, in bytes.
    """

    def __init__(self, bytes_max: int) -> None:
        self.bytes_max = bytes_max
        self._available_bytes = bytes_max

    @property
    def available_bytes(self) -> int:
        """Bytes that are not reserved."""
        return self._available_bytes

    def reserve(self, count: int, *, spared_bytes: int = 0) -> bool:
        """Reserve bytes; ``False`` if the budget does not allow it.

        Args:
            count: how many.
            spared_bytes: how many have to be left for others.
        """
        if count + spared_bytes > self._available_bytes:
            return False
        self._available_bytes -= count
        return True

    def release(self, count: int) -> None:
        """Return reserved bytes to the budget."""
        self._available_bytes += count


class BudgetShare:
    """A share of a budget whose size changes; it is returned on exit.

    Args:
        budget: the budget.
    """

    def __init__(self, budget: BodyMemoryBudget) -> None:
        self._budget = budget
        self.size_bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self.resize(0)

    def resize(self, size_bytes: int, *, spared_bytes: int = 0) -> bool:
        """Change the size; ``False`` if the budget does not allow it.

        Args:
            size_bytes: the new size.
            spared_bytes: how much of the budget has to be left for others.
        """
        grown_bytes = size_bytes - self.size_bytes
        if grown_bytes < 0:
            self._budget.release(-grown_bytes)
        elif not self._budget.reserve(grown_bytes, spared_bytes=spared_bytes):
            return False
        self.size_bytes = size_bytes
        return True
