"""Tests of admission by the tree's limits."""

from testtools import TestCase

from hemlocktrestle.entry import Admission, LimitKey
from hemlocktrestle.errors import ErrorKind, RequestError
from hemlocktrestle.tree import DEFAULT_RULES, Rules

PARTY = LimitKey("customer", "chat", "caller")


class AdmissionTests(TestCase):
    """Rates, tokens and concurrency."""

    def enter(self, admission: Admission, now_ms: float = 0, **options: int) -> str:
        """Enter a request and return the kind of the refusal, or nothing."""
        rules: Rules = {
            **DEFAULT_RULES,
            "tier": "high",
            "rate_per_s": 1.0,
            "rate_burst_count": 8,
            "concurrency_count": 8,
            "tokens_per_s": 10.0,
        }
        try:
            admission.admit(PARTY, rules, now_ms, **options)
        except RequestError as error:
            return error.kind.value
        return ""

    def test_a_request_over_the_concurrency_is_refused(self) -> None:
        """The ninth of eight is refused until one leaves."""
        admission = Admission()
        kinds = [self.enter(admission) for _ in range(9)]
        self.assertEqual([""] * 8 + [ErrorKind.CONCURRENCY_LIMITED.value], kinds)

    def test_a_lowered_tier_leaves_a_reserve(self) -> None:
        """Requests of a lowered tier cannot use up what the own tier needs."""
        admission = Admission()
        kinds = [self.enter(admission, tier=2) for _ in range(8)]
        self.assertEqual([""] * 6, kinds[:6])
        self.assertNotIn("", kinds[6:])
        self.assertEqual("", self.enter(admission, tier=0))

    def test_tokens_are_limited_over_time(self) -> None:
        """A large request passes once and is paid off before the next."""
        admission = Admission()
        limited = ErrorKind.RATE_LIMITED.value
        self.assertEqual("", self.enter(admission, token_count=150))
        self.assertEqual(limited, self.enter(admission, 4_000, token_count=1))
        self.assertEqual("", self.enter(admission, 6_000, token_count=1))
