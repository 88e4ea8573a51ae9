"""Latency histograms with few significant digits, and moving estimates of times."""

from hemlocktrestle.latency._estimate import Estimate, Estimates
from hemlocktrestle.latency._latencies import Latencies, Percentiles

__all__ = ["Estimate", "Estimates", "Latencies", "Percentiles"]
