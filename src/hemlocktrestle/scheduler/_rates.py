"""Estimates of an engine's speed from what holders observed at release."""

import copy

PREFILL_MS_PER_TOKEN_DEFAULT = 0.5
DECODE_MS_PER_TOKEN_DEFAULT = 20.0

MEMORY_TOKENS = 20_000.0
"""Tokens over which a past observation loses most of its weight."""

DEFAULT_TOKENS = 500.0
"""Tokens that the defaults count for."""

RIDGE = 10.0
"""Spread of batch sizes that is assumed beside the observed, against wild slopes."""


class PrefillFit:
    """Milliseconds per prompt token: all time seen over all tokens, newer more.

    Long prompts weigh more than short ones, whose first token mostly shows how far
    the engine's present step had come.
    """

    __slots__ = ("_ms", "_tokens")

    def __init__(self) -> None:
        self._tokens = DEFAULT_TOKENS
        self._ms = DEFAULT_TOKENS * PREFILL_MS_PER_TOKEN_DEFAULT

    def learn(self, tokens: float, first_ms: float) -> None:
        """Take in the time to the first token behind this many prompt tokens."""
        keep = MEMORY_TOKENS / (MEMORY_TOKENS + tokens)
        self._tokens = self._tokens * keep + tokens
        self._ms = self._ms * keep + first_ms

    @property
    def ms_per_token(self) -> float:
        """The estimate."""
        return self._ms / self._tokens


class DecodeFit:
    """Milliseconds per token as a line over the batch size, by tokens, newer more."""

    __slots__ = ("_weight", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        self._weight = DEFAULT_TOKENS / 10
        self._x = self._xx = self._weight
        self._y = self._xy = self._weight * DECODE_MS_PER_TOKEN_DEFAULT

    def learn(self, batch_count: float, tokens: int, decode_ms: float) -> None:
        """Take in the time of an answer's tokens at a batch size."""
        keep = MEMORY_TOKENS / (MEMORY_TOKENS + tokens)
        self._weight = self._weight * keep + tokens
        self._x = self._x * keep + tokens * batch_count
        self._xx = self._xx * keep + tokens * batch_count * batch_count
        self._y = self._y * keep + decode_ms
        self._xy = self._xy * keep + decode_ms * batch_count

    def ms_per_token(self, batch_count: float) -> float:
        """Estimate the time of one token in a batch of this size."""
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        variance = self._xx / self._weight - mean_x * mean_x
        slope = (self._xy / self._weight - mean_x * mean_y) / (variance + RIDGE)
        slope = min(max(slope, 0.0), mean_y / (2 * mean_x))
        return mean_y + slope * (batch_count - mean_x)


class Rates:
    """Speed of one engine when nothing disturbs it."""

    __slots__ = ("decode", "prefill")

    def __init__(self) -> None:
        self.prefill = PrefillFit()
        self.decode = DecodeFit()

    def copied(self) -> "Rates":
        """Return rates that start from these."""
        return copy.deepcopy(self)
