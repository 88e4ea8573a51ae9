"""A bound on the bytes of request bodies that one process holds."""


class BodyMemoryBudget:
    """Memory for request bodies, shared by all connections of callers.

    A body is kept until its request has ended, as it may be sent once more.

    Args:
        bytes_max: bytes that may be held at once.
    """

    def __init__(self, bytes_max: int) -> None:
        self._left = bytes_max

    @property
    def available_bytes(self) -> int:
        """Bytes that may still be taken."""
        return self._left

    def reserve(self, count: int) -> bool:
        """Take bytes; ``False`` if there is no room for them."""
        if count > self._left:
            return False
        self._left -= count
        return True

    def release(self, count: int) -> None:
        """Give bytes back."""
        self._left += count
