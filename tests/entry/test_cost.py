"""Tests of the estimate of output lengths."""

import random

from testtools import TestCase

from hemlocktrestle.entry import CostEstimator


class CostEstimatorTests(TestCase):
    """Output lengths learned by customer, service and prompt length."""

    def test_without_answers_the_limit_stands(self) -> None:
        """Before any answer, the estimate is the request's own limit."""
        estimate = CostEstimator().output_tokens(
            "c", "chat", prompt_tokens=10, limit_tokens=4_096
        )
        self.assertEqual(4_096, estimate)

    def test_lengths_a_hundredfold_apart_are_told_apart(self) -> None:
        """For two customers, the estimates cover a share of 0.7 of the answers."""
        estimator, chance = CostEstimator(), random.Random(1)
        for customer, mean in (("short", 3.0), ("long", 7.6)):
            covered = []
            for _ in range(800):
                length = int(chance.lognormvariate(mean, 0.3))
                estimate = estimator.output_tokens(
                    customer, "chat", prompt_tokens=10, limit_tokens=10_000
                )
                covered.append(length <= estimate)
                estimator.learn(
                    customer, "chat", prompt_tokens=10, output_tokens=length
                )
            share = sum(covered[100:]) / 700
            self.assertTrue(0.65 <= share <= 0.75, f"{customer}: {share}")
