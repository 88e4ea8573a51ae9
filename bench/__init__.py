"""Benchmarks: scheduling policy, relay, capacity, and costs of single parts."""
