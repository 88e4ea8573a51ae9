"""Estimates of output length, learned for each customer and service."""

import math
from collections import OrderedDict
from typing import NamedTuple

QUANTILE = 0.7
"""Share of answers that should be no longer than the estimate."""

STEP = 0.1
"""Final step size of an estimate, in natural logarithm of tokens."""

STEP_DECAY = 0.9
"""Decay of the initial extra step with each answer."""

EXTRA_STEP = 1.0
"""Initial extra step size, by which a new estimate converges sooner."""

ESTIMATES_MAX = 20_000
"""Estimates kept; the least recently updated is evicted."""

LENGTH_CLASS_BOUNDS = (64, 512, 4_096)
"""Bounds between the classes of prompt length, in tokens."""


class CostKey(NamedTuple):
    """Answers with the same key share one estimate."""

    customer: str
    service: str
    length_class: int


class _Estimate:
    """A running quantile of the logarithm of the output length."""

    __slots__ = ("log_tokens", "step")

    def __init__(self, tokens: int) -> None:
        self.log_tokens = math.log(max(1, tokens))
        self.step = EXTRA_STEP

    def learn(self, tokens: int) -> None:
        """Move the estimate so that it converges to the quantile."""
        seen = math.log(max(1, tokens))
        step = STEP + self.step
        self.step *= STEP_DECAY
        if seen > self.log_tokens:
            self.log_tokens += step * QUANTILE
        else:
            self.log_tokens -= step * (1 - QUANTILE)


class CostEstimator:
    """Output lengths by customer, service and class of prompt length.

    Without answers for a customer and service, the estimate is that of all answers
    of the same class, and without any of these, the limit that the request sets.
    """

    def __init__(self) -> None:
        self._by_key: OrderedDict[CostKey, _Estimate] = OrderedDict()
        self._by_class: dict[int, _Estimate] = {}

    def output_tokens(
        self, customer: str, service: str, *, prompt_tokens: int, limit_tokens: int
    ) -> int:
        """Estimate a request's output length, never above its limit."""
        key = CostKey(customer, service, _length_class(prompt_tokens))
        estimate = self._by_key.get(key) or self._by_class.get(key.length_class)
        if estimate is None:
            return limit_tokens
        return max(1, min(limit_tokens, round(math.exp(estimate.log_tokens))))

    def learn(
        self, customer: str, service: str, *, prompt_tokens: int, output_tokens: int
    ) -> None:
        """Learn from the length of a complete answer."""
        key = CostKey(customer, service, _length_class(prompt_tokens))
        common = self._by_class.setdefault(key.length_class, _Estimate(output_tokens))
        common.learn(output_tokens)
        estimate = self._by_key.get(key)
        if estimate is None:
            estimate = self._by_key[key] = _Estimate(output_tokens)
        estimate.learn(output_tokens)
        self._by_key.move_to_end(key)
        if len(self._by_key) > ESTIMATES_MAX:
            self._by_key.popitem(last=False)


def _length_class(prompt_tokens: int) -> int:
    return sum(prompt_tokens > bound for bound in LENGTH_CLASS_BOUNDS)
