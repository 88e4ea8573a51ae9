"""A limit on the memory that one process uses for request bodies."""


class BodyMemoryBudget:
    """Memory budget for request bodies, shared by all connections of callers.

    A body stays in memory until its request has ended, as a retry sends it again.

    Args:
        bytes_max: size of the budget, in bytes.
    """

    def __init__(self, bytes_max: int) -> None:
        self._available_bytes = bytes_max

    @property
    def available_bytes(self) -> int:
        """Bytes that are not reserved."""
        return self._available_bytes

    def reserve(self, count: int) -> bool:
        """Reserve bytes; ``False`` if the budget does not allow it."""
        if count > self._available_bytes:
            return False
        self._available_bytes -= count
        return True

    def release(self, count: int) -> None:
        """Return reserved bytes to the budget."""
        self._available_bytes += count
