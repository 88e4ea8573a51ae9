"""Estimates of an engine's speed from what requesters measured."""

import copy

PREFILL_MS_PER_TOKEN_DEFAULT = 0.5
DECODE_MS_PER_TOKEN_DEFAULT = 20.0

DECAY_TOKENS = 20_000.0
"""Tokens after which a past observation has lost most of its weight."""

DEFAULT_WEIGHT_TOKENS = 500.0
"""Weight of the default rates, in tokens."""

RIDGE_VARIANCE = 10.0
"""Variance added to that of the observed batch sizes.

It keeps the slope moderate while the observed sizes vary little.
"""


class PrefillFit:
    """Milliseconds per prompt token: total time over total tokens, with decay.

    Long prompts weigh more than short ones, whose time to first token mostly
    depends on how far the engine's current step had progressed.
    """

    __slots__ = ("_ms", "_tokens")

    def __init__(self) -> None:
        self._tokens = DEFAULT_WEIGHT_TOKENS
        self._ms = DEFAULT_WEIGHT_TOKENS * PREFILL_MS_PER_TOKEN_DEFAULT

    def learn(self, tokens: float, first_ms: float) -> None:
        """Learn the time to the first token for this many prompt tokens."""
        keep = DECAY_TOKENS / (DECAY_TOKENS + tokens)
        self._tokens = self._tokens * keep + tokens
        self._ms = self._ms * keep + first_ms

    @property
    def ms_per_token(self) -> float:
        """The estimated time of a prompt token."""
        return self._ms / self._tokens


class DecodeFit:
    """Linear fit of milliseconds per token to the batch size, with decay.

    Observations are weighted by their tokens.
    """

    __slots__ = ("_weight", "_x", "_xx", "_xy", "_y")

    def __init__(self) -> None:
        self._weight = DEFAULT_WEIGHT_TOKENS / 10
        self._x = self._xx = self._weight
        self._y = self._xy = self._weight * DECODE_MS_PER_TOKEN_DEFAULT

    def learn(self, batch_count: float, tokens: int, decode_ms: float) -> None:
        """Learn the time of an answer's tokens at a batch size."""
        keep = DECAY_TOKENS / (DECAY_TOKENS + tokens)
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
        slope = (self._xy / self._weight - mean_x * mean_y) / (
            variance + RIDGE_VARIANCE
        )
        slope = min(max(slope, 0.0), mean_y / (2 * mean_x))
        return mean_y + slope * (batch_count - mean_x)


class Rates:
    """Speed of one engine that is not slowed down."""

    __slots__ = ("decode", "prefill")

    def __init__(self) -> None:
        self.prefill = PrefillFit()
        self.decode = DecodeFit()

    def copied(self) -> "Rates":
        """Return an independent copy."""
        return copy.deepcopy(self)
