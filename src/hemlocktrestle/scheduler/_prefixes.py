"""The scheduler's estimate of which prompt prefixes an engine has cached."""

PREFIXES_MAX = 256
"""Prefixes remembered for one engine; the least recently sent are evicted."""

PREFIX_TOKENS = 256
"""Prompt tokens that a prefix digest covers."""

PREFIX_VALID_MS = 120_000
"""Time after which a prefix no longer counts as cached, in milliseconds."""


class PrefixRecord:
    """Prefix digests sent to one engine, newest last.

    No cache events of the engine are needed: a prefix that was sent recently is
    likely to be cached, and a wrong guess costs some time but never an answer.
    """

    __slots__ = ("_sent_ms",)

    def __init__(self) -> None:
        self._sent_ms: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._sent_ms)

    def record_sent(self, digest: int, now_ms: float) -> int | None:
        """Record that a prefix was sent.

        Returns:
            The digest that was evicted for it, or ``None``.
        """
        self._sent_ms.pop(digest, None)
        self._sent_ms[digest] = now_ms
        if len(self._sent_ms) <= PREFIXES_MAX:
            return None
        oldest = next(iter(self._sent_ms))
        del self._sent_ms[oldest]
        return oldest

    def has(self, digest: int, now_ms: float) -> bool:
        """Tell whether a prefix is likely cached."""
        sent_ms = self._sent_ms.get(digest)
        return sent_ms is not None and now_ms - sent_ms <= PREFIX_VALID_MS

    def clear(self) -> None:
        """Remove all prefixes, as after a restart of the engine."""
        self._sent_ms.clear()
