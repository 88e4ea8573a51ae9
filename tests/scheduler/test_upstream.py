"""Tests of what the scheduler learns of an upstream."""

from testtools import TestCase

from hemlocktrestle.scheduler import UpstreamModel
from hemlocktrestle.wire import Release
from tests.scheduler.naive import upstream
from tests.scheduler.test_core import ask_of

TOKEN_MS = 30.0
FIRST_MS = 300


class LearningTests(TestCase):
    """Speeds and slowdowns are learned from releases."""

    def serve(self, model: UpstreamModel, number: int, slowdown: float) -> None:
        """Serve one request on an engine of known speed."""
        ask = ask_of(str(number), prompt_tokens=1_000, output_tokens=100)
        model.assign(ask, "v1", number * 10_000)
        first_ms = int(FIRST_MS * slowdown)
        total_ms = first_ms + int(100 * TOKEN_MS * slowdown)
        release = Release(
            str(number), "m", "u", True, "", first_ms, total_ms, 1_000, 100
        )
        model.finish(release, number * 10_000 + total_ms)

    def test_speeds_are_learned(self) -> None:
        """After 200 answers both rates are within a tenth of the true ones."""
        model = UpstreamModel(upstream("u"))
        for number in range(200):
            self.serve(model, number, 1.0)
        prefill = model.rates.prefill.ms_per_token * 1_000 / FIRST_MS
        decode = model.rates.decode.ms_per_token(1) / TOKEN_MS
        self.assertTrue(0.9 <= prefill <= 1.1, f"prefill {prefill}")
        self.assertTrue(0.9 <= decode <= 1.1, f"decode {decode}")

    def test_a_slowdown_shows_and_fades(self) -> None:
        """One answer ten times slower raises the slowdown, which then decays."""
        model = UpstreamModel(upstream("u"))
        for number in range(50):
            self.serve(model, number, 1.0)
        self.serve(model, 50, 10.0)
        now_ms = 50 * 10_000 + 33_000
        self.assertTrue(model.slowdown.factor(now_ms) > 2)
        self.assertTrue(model.slowdown.factor(now_ms + 60_000) < 1.01)
