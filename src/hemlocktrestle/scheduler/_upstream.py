"""Scheduler's model of one upstream: its requests in flight and observed speed."""

from itertools import islice
from typing import NamedTuple

from hemlocktrestle.errors import ErrorKind
from hemlocktrestle.membership import UpstreamRecord
from hemlocktrestle.scheduler._prefixes import PREFIX_TOKENS, PrefixRecord
from hemlocktrestle.scheduler._queue import class_of
from hemlocktrestle.scheduler._rates import Rates
from hemlocktrestle.scheduler._slots import SLOT_BOUNDS, SlotObservation
from hemlocktrestle.scheduler._slowdown import Slowdown
from hemlocktrestle.wire import Ask, Pulse, Release

OVERDUE_SAMPLE_COUNT = 8
"""Number of the oldest requests in flight that are checked for being overdue."""

OVERDUE_COUNT_MIN = 3
"""Requests that must be overdue; one or two may just be longer than expected."""

LEARNED_COUNT_MIN = 10
"""Answers after which an upstream's usual speed is known."""

UNTRIED_FACTOR = 0.5
"""Factor on the expected time of an idle upstream with few answers so far.

It makes such an upstream preferred, so that its speed becomes known.
"""

TOKEN_TIME_TOKENS_MIN = 16
"""Output tokens from which the time between them indicates the engine's load."""

OVERDUE_SLACK_MS = 200.0
"""Delay from which a request counts as overdue, in milliseconds."""

PROBE_TIER = 2
"""Rank of the tier whose requests probe a straggler."""

FAILURE_SMOOTHING = 0.1
"""Weight of a new result in the moving average of the share that fails."""

FAILURE_PENALTY = 20.0
"""Increase of the expected time if all requests fail, relative to that time."""

_FAILURES = frozenset(
    {
        ErrorKind.UPSTREAM_BROKEN.value,
        ErrorKind.UPSTREAM_SILENT.value,
        ErrorKind.UPSTREAM_REFUSED.value,
    }
)

NOMINAL_PROMPT_TOKENS = 500
NOMINAL_OUTPUT_TOKENS = 100


UNSTREAMED_SHARE = 0.9
"""An answer whose first token takes this share of its time or more is not streamed."""


class InFlight(NamedTuple):
    """One request that its requester may dispatch or has dispatched.

    ``queued_prefill_ms`` is the prefill time of requests before it.
    ``expected_first_ms`` and ``expected_total_ms`` are the times to the first token
    and to the whole answer as expected at its grant.
    """

    vm: str
    prompt_tokens: int
    output_tokens: int
    since_ms: float
    batch_count: int = 1
    queued_prefill_ms: float = 0.0
    expected_first_ms: float = 0.0
    expected_total_ms: float = 0.0


class UpstreamModel:
    """Requests in flight and speed of one upstream.

    Args:
        record: its entry in the platform's list.
        slot_bound: registered name of the bound on its requests in flight.
        tier_shares: share of the bound that each tier may fill; the last one applies
            to all lower tiers.
        prefill_share: share of its time that long prompts of lower tiers may take.
        uses_prefixes: whether expected times account for cached prefixes.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        *,
        slot_bound: str = "fixed",
        tier_shares: tuple[float, ...] = (1.0,),
        prefill_share: float = 1.0,
        uses_prefixes: bool = True,
    ) -> None:
        self.record = record
        self.in_flight: dict[str, InFlight] = {}
        self.rates = Rates()
        self.prefixes = PrefixRecord()
        self.slowdown = Slowdown()
        self.is_straggler = False
        self.is_reserved = False
        self.change_count = 0
        self.learned_count = 0
        self.failure_share = 0.0
        self._bound = SLOT_BOUNDS[slot_bound]()
        self._tier_shares = tier_shares
        self._prefill_share = prefill_share
        self._uses_prefixes = uses_prefixes
        self.paced_until_ms = 0.0
        self._prefill_until_ms = 0.0

    @property
    def slots(self) -> int:
        """How many requests may be in flight: as listed, else as learned."""
        return self.record.slots or self._bound.slots

    @property
    def free_slots(self) -> int:
        """How many more requests of the highest tier may be granted."""
        return max(0, self.slots - len(self.in_flight))

    def has_room(self, tier: int) -> bool:
        """Tell whether it may be given a request of a tier.

        A straggler gets one request at a time, of the lowest tier, to probe it.
        """
        if self.is_reserved:
            return False
        if self.is_straggler:
            return tier >= PROBE_TIER and not self.in_flight
        share = self._tier_shares[min(tier, len(self._tier_shares) - 1)]
        return len(self.in_flight) < max(1, int(self.slots * share))

    def has_memory(self, ask: Ask) -> bool:
        """Tell whether a request fits its memory beside those in flight.

        One that runs alone may be larger than the memory: the engine refuses it.
        """
        memory_tokens = self.record.memory_tokens
        if not memory_tokens or not self.in_flight:
            return True
        held_tokens = sum(
            item.prompt_tokens + item.output_tokens for item in self.in_flight.values()
        )
        return held_tokens + ask.prompt_tokens + ask.output_tokens <= memory_tokens

    def assign(self, ask: Ask, vm: str, now_ms: float) -> int | None:
        """Count a request as in flight.

        Returns:
            A prefix digest that was evicted for this request's, or ``None``.
        """
        tokens = self._prefill_tokens(ask, now_ms)
        first_ms = self._first_ms(tokens, now_ms)
        total_ms = first_ms + ask.output_tokens * self._decode_ms(ask)
        self._prefill_until_ms = now_ms + first_ms
        if class_of(ask).is_long and self._prefill_share < 1:
            own_ms = tokens * self.rates.prefill.ms_per_token
            self.paced_until_ms = now_ms + own_ms / self._prefill_share
        count = len(self.in_flight) + 1
        self.in_flight[ask.ask_id] = InFlight(
            vm,
            tokens,
            ask.output_tokens,
            now_ms,
            count,
            first_ms - tokens * self.rates.prefill.ms_per_token,
            first_ms,
            total_ms,
        )
        self.change_count += 1
        if not ask.prefix_digest:
            return None
        return self.prefixes.record_sent(ask.prefix_digest, now_ms)

    def adopt(self, ask_id: str, item: InFlight) -> None:
        """Count a request as in flight that an earlier scheduler permitted.

        What is known of a request that is counted already is kept.
        """
        self.in_flight.setdefault(ask_id, item)
        self.change_count += 1

    def drop(self, ask_id: str) -> bool:
        """Remove a request from those in flight; ``False`` if it was not there."""
        self.change_count += 1
        return self.in_flight.pop(ask_id, None) is not None

    def finish(self, release: Release, now_ms: float) -> bool:
        """Remove a request from those in flight and learn from it.

        Returns:
            Whether it was in flight here.
        """
        item = self.in_flight.get(release.ask_id)
        if item is None:
            return False
        if release.sent or release.failure == ErrorKind.UPSTREAM_SILENT.value:
            is_failure = release.failure in _FAILURES
            self.failure_share += FAILURE_SMOOTHING * (is_failure - self.failure_share)
        if release.failure == ErrorKind.DEADLINE_RUNNING.value:
            self._learn_timeout(item, release, now_ms)
        elif release.sent and not release.failure and release.first_token_ms:
            self._learn(item, release, now_ms)
        return self.drop(release.ask_id)

    def record_pulse(self, pulse: Pulse) -> None:
        """Learn from the progress report of a running stream."""
        item = self.in_flight.get(pulse.ask_id)
        if item is None or not pulse.output_tokens:
            return
        self.learned_count += 1
        self.rates.decode.learn(
            len(self.in_flight), pulse.output_tokens, float(pulse.decode_ms)
        )

    def expected_ms(self, ask: Ask, now_ms: float) -> float:
        """Estimate the time to the whole answer, in milliseconds."""
        first_ms = self._first_ms(self._prefill_tokens(ask, now_ms), now_ms)
        decode_ms = ask.output_tokens * self._decode_ms(ask)
        total_ms = (first_ms + decode_ms) * self.slowdown.factor(now_ms)
        total_ms *= 1 + FAILURE_PENALTY * self.failure_share
        is_untried = self.learned_count < LEARNED_COUNT_MIN and not self.in_flight
        return total_ms * UNTRIED_FACTOR if is_untried else total_ms

    def nominal_ms(self) -> float:
        """Estimate the time of an ordinary request at the current load."""
        count = len(self.in_flight) + 1
        decode_ms = NOMINAL_OUTPUT_TOKENS * self.rates.decode.ms_per_token(count)
        return NOMINAL_PROMPT_TOKENS * self.rates.prefill.ms_per_token + decode_ms

    def check_overdue(self, now_ms: float) -> None:
        """Learn from requests that take longer than was expected of them."""
        sample = list(islice(self.in_flight.values(), OVERDUE_SAMPLE_COUNT))
        ratios = sorted(
            (now_ms - item.since_ms - OVERDUE_SLACK_MS) / item.expected_total_ms
            for item in sample
            if item.expected_total_ms
        )
        if len(ratios) >= OVERDUE_COUNT_MIN and self.learned_count >= LEARNED_COUNT_MIN:
            self.slowdown.learn_overdue(ratios[-OVERDUE_COUNT_MIN], now_ms)

    def _prefill_tokens(self, ask: Ask, now_ms: float) -> int:
        if self._uses_prefixes and self.prefixes.has(ask.prefix_digest, now_ms):
            return max(1, ask.prompt_tokens - PREFIX_TOKENS)
        return ask.prompt_tokens

    def _first_ms(self, prefill_tokens: int, now_ms: float) -> float:
        ahead_ms = max(0.0, self._prefill_until_ms - now_ms) if self.in_flight else 0.0
        return ahead_ms + prefill_tokens * self.rates.prefill.ms_per_token

    def _decode_ms(self, ask: Ask) -> float:
        return self.rates.decode.ms_per_token(len(self.in_flight) + 1)

    def _learn_timeout(self, item: InFlight, release: Release, now_ms: float) -> None:
        """Learn from a request that ran into its deadline: a bound on its time."""
        if not item.expected_total_ms or self.learned_count < LEARNED_COUNT_MIN:
            return
        ratio = release.total_ms / item.expected_total_ms
        if ratio > 1:
            self.slowdown.learn(ratio, item.expected_total_ms, now_ms)
            self._bound.record_timeout(now_ms)

    def _learn(self, item: InFlight, release: Release, now_ms: float) -> None:
        batch_count = (item.batch_count + len(self.in_flight)) / 2
        first_ms = float(release.first_token_ms)
        is_streamed = first_ms < release.total_ms * UNSTREAMED_SHARE
        if not is_streamed:
            first_ms = min(item.expected_first_ms, release.total_ms / 2)
        output_tokens = max(1, release.output_tokens)
        expected_ms = (
            item.expected_first_ms
            + output_tokens * self.rates.decode.ms_per_token(batch_count)
        )
        if item.expected_total_ms and self.learned_count >= LEARNED_COUNT_MIN:
            ratio = release.total_ms / max(1.0, expected_ms)
            self.slowdown.learn(ratio, expected_ms, now_ms)
        if self.is_straggler:
            return
        self.learned_count += 1
        self.rates.decode.learn(batch_count, output_tokens, release.total_ms - first_ms)
        if is_streamed and item.expected_first_ms:
            token_ms = (release.total_ms - first_ms) / output_tokens
            if output_tokens < TOKEN_TIME_TOKENS_MIN:
                token_ms = 0.0
            own_ms = item.expected_first_ms - item.queued_prefill_ms
            if item.queued_prefill_ms <= own_ms / 2:
                # With more prefill queued ahead, the estimate of that dominates.
                self.rates.prefill.learn(
                    item.prompt_tokens, max(0.0, first_ms - item.queued_prefill_ms)
                )
            self._bound.learn(
                SlotObservation(
                    item.batch_count, item.expected_first_ms, first_ms, token_ms, now_ms
                )
            )
