"""Admission control: limits on the rates, tokens and concurrency of each caller."""

from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import Rules, tier_rank

TOKEN_BURST_S = 10.0
"""Seconds of its token rate that a caller may use at once."""

RESERVE_SHARE = 0.25
"""Share of a caller's limits that its requests in a lowered tier may not use."""


class _Bucket:
    """A token bucket that starts full and may go below zero."""

    __slots__ = ("level", "refilled_ms")

    def __init__(self, level: float, seen_ms: float) -> None:
        self.level = level
        self.refilled_ms = seen_ms

    def refill(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Add the tokens since the last refill."""
        added = (now_ms - self.refilled_ms) / 1000 * rate_per_s
        self.level = min(burst, self.level + added)
        self.refilled_ms = now_ms


class LimitKey(NamedTuple):
    """What limits are counted by: a customer's service and its caller."""

    customer: str
    service: str
    caller: str


class _Usage:
    """One caller's use of its limits."""

    __slots__ = ("requests", "running_count", "tokens")

    def __init__(self, rules: Rules, now_ms: float) -> None:
        self.running_count = 0
        self.requests = _Bucket(float(rules["rate_burst_count"]), now_ms)
        self.tokens = _Bucket(rules["tokens_per_s"] * TOKEN_BURST_S, now_ms)


class Admission:
    """Enforces the rate and concurrency limits of the callers of one VM."""

    def __init__(self) -> None:
        self._usage: dict[LimitKey, _Usage] = {}

    def admit(
        self,
        key: LimitKey,
        rules: Rules,
        now_ms: float,
        *,
        token_count: int = 0,
        tier: int | None = None,
    ) -> None:
        """Admit and count a request; pair it with :meth:`release`.

        A request is admitted if the token bucket is not empty, even if the request
        is larger than what is left; the deficit is refilled before the next one.
        So no request is too large to be ever admitted.

        Args:
            key: the caller to count the request for.
            rules: the rules in force for that caller.
            now_ms: the time in milliseconds.
            token_count: estimated prompt and output tokens of the request.
            tier: rank of the request's tier, if it differs from the rules'.

        Raises:
            RequestError: ``RATE_LIMITED`` or ``CONCURRENCY_LIMITED``; then the
                request is not counted.
        """
        usage = self._usage.setdefault(key, _Usage(rules, now_ms))
        own_tier = tier_rank(rules["tier"])
        is_lowered = tier is not None and tier > own_tier
        reserve = RESERVE_SHARE if is_lowered else 0.0
        limit_count = rules["concurrency_count"]
        if usage.running_count >= max(1, limit_count * (1 - reserve)):
            raise RequestError(
                ErrorKind.CONCURRENCY_LIMITED, "too many requests at once"
            )
        burst = float(rules["rate_burst_count"])
        usage.requests.refill(rules["rate_per_s"], burst, now_ms)
        if usage.requests.level < 1 + int(burst * reserve):
            raise RequestError(ErrorKind.RATE_LIMITED, "request rate exceeded")
        token_burst = rules["tokens_per_s"] * TOKEN_BURST_S
        usage.tokens.refill(rules["tokens_per_s"], token_burst, now_ms)
        if token_count and usage.tokens.level <= token_burst * reserve:
            raise RequestError(ErrorKind.RATE_LIMITED, "token rate exceeded")
        usage.requests.level -= 1
        usage.tokens.level -= token_count
        usage.running_count += 1

    def release(self, key: LimitKey) -> None:
        """Stop counting a request as running."""
        usage = self._usage.get(key)
        if usage is not None and usage.running_count:
            usage.running_count -= 1
