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


TELLING_PROMPT_TOKENS = 1_000
"""Prompt tokens from which reading them outweighs an engine's present step."""

UNDISTURBED_QUANTILE = 0.25
"""Share of first tokens that come about as early as if nothing else was read."""

QUANTILE_STEP = 0.2
"""Relative step of the estimate of a quantile for one observation."""


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


class UndisturbedPrefill:
    """Milliseconds per prompt token of an engine that reads one prompt at a time.

    A low quantile of what was seen: most first tokens also waited for other prompts.
    """

    __slots__ = ("_ms_per_token",)

    def __init__(self) -> None:
        self._ms_per_token = 0.0

    def learn(self, tokens: int, first_ms: float) -> None:
        """Take in the time to the first token behind this many prompt tokens."""
        if tokens < TELLING_PROMPT_TOKENS:
            return
        seen = first_ms / tokens
        if not self._ms_per_token:
            self._ms_per_token = seen
        elif seen < self._ms_per_token:
            self._ms_per_token *= 1 - QUANTILE_STEP * (1 - UNDISTURBED_QUANTILE)
        else:
            self._ms_per_token *= 1 + QUANTILE_STEP * UNDISTURBED_QUANTILE

    @property
    def ms_per_token(self) -> float:
        """The estimate, 0 until a long prompt was read."""
        return self._ms_per_token


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

    __slots__ = ("decode", "prefill", "undisturbed")

    def __init__(self) -> None:
        self.prefill = PrefillFit()
        self.undisturbed = UndisturbedPrefill()
        self.decode = DecodeFit()

    def copied(self) -> "Rates":
        """Return rates that start from these."""
        return copy.deepcopy(self)
